// Package group runs one member of a replicated state machine: it joins the
// raft core, the write-ahead log, a transport and the machine. Three
// goroutines serve it: one ticks, one writes and syncs, one applies, so that
// neither a slow disk nor a slow Apply holds up heartbeats.
//
// A fresh group is formed by the bootstrap VM with the smallest name, the
// founder, and only once every VM of Config.Bootstrap has told it that its
// folder is empty; the founder's first snapshot then lists the identities
// that it heard. A VM whose disk was wiped draws a new identity, which no
// member list holds: a wiped founder hears of the others' logs and forms
// nothing, and any other wiped VM only waits. It takes part again after
// Replace.
package group

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/process/raft"
	"cactusline.dev/cactusline/internal/process/raftpb"
	"cactusline.dev/cactusline/internal/process/walog"
)

const ticksPerHeartbeat = 4

// Group is one running member. Its methods are safe for concurrent use.
type Group struct {
	cfg     Config
	id      MemberID
	disk    *walog.Log
	writes  *queue[write]
	applies *queue[apply]
	applied appliedIndex
	done    chan struct{}
	work    sync.WaitGroup

	mu        sync.Mutex
	node      *raft.Node
	role      raft.Role
	proposals map[uint64]proposal
	reads     map[uint64]chan uint64
	nextRead  uint64
	forming   *formation
	newcomers map[MemberID]Member
	partial   partial
	stopped   bool
	failure   error
}

type proposal struct {
	term uint64
	done chan outcome
}

type outcome struct {
	result []byte
	err    error
}

var errLostLeadership = errors.New("lost leadership")

// Open starts a member on its data folder. Errors: *walog.LockedError,
// *walog.CorruptError (the member must be replaced), or what the file system
// or the machine reports.
func Open(cfg Config) (*Group, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	rng := cfg.rand()
	disk, state, err := walog.Open(walog.Config{
		Folder: cfg.Folder,
		Rand:   rng,
		NewID:  func(rng *mathrand.Rand) string { return string(newMemberID(cfg.VM, rng)) },
	})
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	g := &Group{
		cfg: cfg, id: MemberID(state.ID), disk: disk,
		writes: newQueue[write](), applies: newQueue[apply](), done: make(chan struct{}),
		proposals: map[uint64]proposal{}, reads: map[uint64]chan uint64{},
		nextRead: rng.Uint64(), newcomers: map[MemberID]Member{},
	}
	if err := g.start(state, rng); err != nil {
		_ = disk.Close()
		return nil, err
	}
	return g, nil
}

func (c *Config) complete() error {
	if c.VM == "" || c.Folder == "" || c.StateMachine == nil || c.Clock == nil {
		return errors.New("group needs VM, Folder, StateMachine and Clock")
	}
	if c.Transport == nil {
		c.Transport = noTransport{}
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.HeartbeatInterval == 0 {
		c.HeartbeatInterval = DefaultHeartbeatInterval
	}
	if c.ElectionTimeout == 0 {
		c.ElectionTimeout = DefaultElectionTimeout
	}
	if c.SnapshotThreshold == 0 {
		c.SnapshotThreshold = DefaultSnapshotThreshold
	}
	if c.OnViolation == nil {
		c.OnViolation = c.reportViolation
	}
	return nil
}

func (c *Config) reportViolation(invariant, detail string) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_group_violations_total{invariant=%q}", invariant)).Inc()
	_ = level.Error(c.Logger).Log("msg", "invariant broken", "invariant", invariant, "detail", detail)
}

func (c *Config) rand() *mathrand.Rand {
	seed := c.Seed
	if seed == 0 {
		var drawn [8]byte
		_, _ = rand.Read(drawn[:])
		seed = binary.LittleEndian.Uint64(drawn[:])
	}
	return mathrand.New(mathrand.NewPCG(seed, 0))
}

type noTransport struct{}

// Send drops the message.
func (noTransport) Send(MemberID, []byte) {}

func (g *Group) start(state *walog.State, rng *mathrand.Rand) error {
	if state.TruncatedBytes > 0 {
		_ = level.Warn(g.cfg.Logger).Log("msg", "cut the torn tail of an unsynced write", "bytes", state.TruncatedBytes)
	}
	if snapshot := state.Snapshot; snapshot.GetIndex() > baseIndex {
		if err := g.cfg.StateMachine.Restore(snapshot.GetData()); err != nil {
			return fmt.Errorf("restore snapshot: %w", err)
		}
	}
	if state.Empty() && len(g.cfg.Bootstrap) > 0 {
		if err := g.startForming(state); err != nil {
			return err
		}
	}
	g.applied.set(state.Snapshot.GetIndex())
	g.node = raft.New(g.cfg.Clock.Now(), raft.Config{
		ID:                string(g.id),
		HeartbeatInterval: g.cfg.HeartbeatInterval,
		ElectionTimeout:   g.cfg.ElectionTimeout,
		Rand:              rng,
		Assert:            g.cfg.OnViolation,
	}, raft.State{HardState: state.HardState, Snapshot: state.Snapshot, Entries: state.Entries})
	g.work.Add(3)
	go g.tick()
	go g.writeAll()
	go g.applyAll(state.Snapshot.GetIndex())
	return nil
}

func (g *Group) tick() {
	defer g.work.Done()
	for {
		_ = g.do(func(now time.Time) {
			g.node.Tick(now)
			g.hello(now)
		})
		select {
		case <-g.done:
			return
		case <-g.cfg.Clock.After(g.cfg.HeartbeatInterval / ticksPerHeartbeat):
		}
	}
}

// do runs f on the core and passes on what the core then wants done. It
// returns *StoppedError, without running f, once the member has stopped.
func (g *Group) do(f func(now time.Time)) error {
	g.mu.Lock()
	if g.stopped {
		err := &StoppedError{Cause: g.failure}
		g.mu.Unlock()
		return err
	}
	f(g.cfg.Clock.Now())
	messages := g.drain()
	g.mu.Unlock()
	g.send(messages)
	return nil
}

// drain queues what the core wants done, and returns the messages that go
// out at once.
func (g *Group) drain() []*raftpb.Message {
	var messages []*raftpb.Message
	for {
		ready, ok := g.node.Ready(g.cfg.Clock.Now())
		if !ok {
			break
		}
		messages = append(messages, ready.Messages...)
		if ready.Seq > 0 {
			g.writes.push(write{ready: ready})
		}
		for _, entry := range ready.Committed {
			g.applies.push(apply{entry: entry})
		}
		for _, read := range ready.Reads {
			g.finishRead(read)
		}
	}
	g.noteRole()
	return messages
}

// noteRole ends the proposals of a leader that leads no more.
func (g *Group) noteRole() {
	role := g.node.Status().Role
	if g.role == raft.Leader && role != raft.Leader {
		g.endProposals(&OutcomeUnknownError{Cause: errLostLeadership})
	}
	g.role = role
}

func (g *Group) endProposals(err error) {
	for index, waiting := range g.proposals {
		waiting.done <- outcome{err: err}
		delete(g.proposals, index)
	}
}

func (g *Group) send(messages []*raftpb.Message) {
	for _, m := range messages {
		for _, part := range split(m) {
			data, err := proto.Marshal(part)
			if err != nil {
				g.cfg.OnViolation("messages encode", err.Error())
				continue
			}
			g.cfg.Transport.Send(MemberID(m.GetTo()), data)
		}
	}
}

// Receive takes a message that a transport brought from a member, of which
// only the VM counts. Messages that are malformed, of another format, from
// another VM or for another identity are dropped.
func (g *Group) Receive(from MemberID, message []byte) {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(message, m); err != nil || m.GetFormat() != raftpb.Format {
		_ = level.Warn(g.cfg.Logger).Log("msg", "dropped a message", "from", from, "format", m.GetFormat(), "err", err)
		return
	}
	if MemberID(m.GetFrom()).VM() != from.VM() {
		return
	}
	_ = g.do(func(now time.Time) {
		if g.meet(now, m) {
			return
		}
		if whole := g.partial.join(m); whole != nil {
			g.node.Step(now, whole)
		}
	})
}

// Status returns what the member knows of its group.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	core := g.node.Status()
	status := Status{
		ID: g.id, Role: core.Role, Term: core.Term, Leader: MemberID(core.Leader),
		Commit: core.Commit, Applied: g.applied.get(), Failure: g.failure,
	}
	for _, view := range core.Members {
		status.Members = append(status.Members, MemberStatus{
			Member:      memberOf(view.Member),
			Learner:     view.Member.GetLearner(),
			Match:       view.Match,
			LastContact: view.LastContact,
		})
		delete(g.newcomers, MemberID(view.Member.GetId()))
	}
	for _, newcomer := range g.newcomers {
		status.Newcomers = append(status.Newcomers, newcomer)
	}
	slices.SortFunc(status.Newcomers, func(a, b Member) int {
		return compareIDs(a.ID, b.ID)
	})
	return status
}

// Close stops the member and releases its folder. A leader first hands over
// to the voter that is furthest ahead, where there is one.
func (g *Group) Close() error {
	if to, ok := g.heir(); ok {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			select {
			case <-g.cfg.Clock.After(g.cfg.ElectionTimeout):
				cancel()
			case <-ctx.Done():
			}
		}()
		_ = g.TransferLeadership(ctx, to) // best effort: the others elect one otherwise
	}
	if !g.stop(nil) {
		g.work.Wait()
		return nil
	}
	g.work.Wait()
	return g.disk.Close()
}

// stop ends the member's work, and reports whether this call did so.
func (g *Group) stop(cause error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return g.failure != nil && cause == nil
	}
	g.stopped = true
	g.failure = cause
	g.endProposals(&OutcomeUnknownError{Cause: &StoppedError{Cause: cause}})
	close(g.done)
	g.writes.close()
	g.applies.close()
	return true
}

// fail stops a member whose disk or machine no longer works. It holds its
// folder until Close.
func (g *Group) fail(cause error) {
	if g.stop(cause) {
		_ = level.Error(g.cfg.Logger).Log("msg", "member failed", "err", cause)
	}
}
