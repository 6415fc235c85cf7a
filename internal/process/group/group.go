// Package group runs one member of a replicated state machine. It connects the
// raft core, the write-ahead log, a transport and the state machine. Three
// goroutines run each member: one ticks the core, one writes and syncs the log,
// and one applies entries, so that neither a slow disk nor a slow Apply delays
// heartbeats.
//
// A new group is formed by its founder, the bootstrap VM with the smallest
// name, once every VM of Config.Bootstrap has reported an empty data folder.
// Its bootstrap snapshot lists the identities that they reported. A VM whose disk
// was wiped draws a new identity, which is in no member list. A wiped founder
// learns that the other VMs have logs, so it forms no second group; any other
// wiped VM only waits. A wiped VM becomes a member again through Replace.
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
	cfg         Config
	id          MemberID
	wal         *walog.Log
	writeQueue  *queue[writeJob]
	applyQueue  *queue[applyJob]
	lastApplied appliedIndex
	done        chan struct{} // closed when the member stops
	workers     sync.WaitGroup

	mu               sync.Mutex
	node             *raft.Node
	role             raft.Role
	pendingProposals map[uint64]proposal    // by log index
	pendingReads     map[uint64]chan uint64 // by read ID
	nextReadID       uint64
	bootstrap        *bootstrapState
	newcomers        map[MemberID]Member // VMs that have asked to join
	assembler        snapshotAssembler
	stopped          bool
	failure          error
}

// proposal is an accepted entry whose proposer waits for its outcome.
type proposal struct {
	term uint64
	done chan outcome
}

// outcome is the result of the state machine, or the reason why there is none.
type outcome struct {
	result []byte
	err    error
}

var errLostLeadership = errors.New("lost leadership")

// Open starts a member on its data folder. It returns a *walog.LockedError if
// the folder is in use, a *walog.CorruptError if the log is damaged and the
// member must be replaced, or an error from the file system or the state
// machine.
func Open(cfg Config) (*Group, error) {
	if err := cfg.complete(); err != nil {
		return nil, err
	}
	rng := cfg.newRand()
	wal, state, err := walog.Open(walog.Config{
		Folder: cfg.Folder,
		Rand:   rng,
		NewID:  func(rng *mathrand.Rand) string { return string(newMemberID(cfg.VM, rng)) },
	})
	if err != nil {
		return nil, fmt.Errorf("open log: %w", err)
	}
	g := &Group{
		cfg: cfg, id: MemberID(state.ID), wal: wal,
		writeQueue: newQueue[writeJob](), applyQueue: newQueue[applyJob](), done: make(chan struct{}),
		pendingProposals: map[uint64]proposal{}, pendingReads: map[uint64]chan uint64{},
		nextReadID: rng.Uint64(), newcomers: map[MemberID]Member{},
	}
	if err := g.start(state, rng); err != nil {
		_ = wal.Close()
		return nil, err
	}
	return g, nil
}

// complete checks that the required fields are set, and fills in defaults.
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

// newRand returns a random source seeded with Seed or by the operating system.
func (c *Config) newRand() *mathrand.Rand {
	seed := c.Seed
	if seed == 0 {
		var buf [8]byte
		_, _ = rand.Read(buf[:])
		seed = binary.LittleEndian.Uint64(buf[:])
	}
	return mathrand.New(mathrand.NewPCG(seed, 0))
}

type noTransport struct{}

// Send drops the message.
func (noTransport) Send(MemberID, []byte) {}

// start restores the state read from the data folder and starts the
// goroutines of the member.
func (g *Group) start(state *walog.State, rng *mathrand.Rand) error {
	if state.TruncatedBytes > 0 {
		_ = level.Warn(g.cfg.Logger).Log("msg", "truncated incomplete write at end of log", "bytes", state.TruncatedBytes)
	}
	// A bootstrap snapshot holds no state of the state machine.
	if snapshot := state.Snapshot; snapshot.GetIndex() > bootstrapIndex {
		if err := g.cfg.StateMachine.Restore(snapshot.GetData()); err != nil {
			return fmt.Errorf("restore snapshot: %w", err)
		}
	}
	if state.Empty() && len(g.cfg.Bootstrap) > 0 {
		if err := g.startBootstrap(state); err != nil {
			return err
		}
	}
	g.lastApplied.set(state.Snapshot.GetIndex())
	g.node = raft.New(g.cfg.Clock.Now(), raft.Config{
		ID:                string(g.id),
		HeartbeatInterval: g.cfg.HeartbeatInterval,
		ElectionTimeout:   g.cfg.ElectionTimeout,
		Rand:              rng,
		Assert:            g.cfg.OnViolation,
	}, raft.State{HardState: state.HardState, Snapshot: state.Snapshot, Entries: state.Entries})
	g.workers.Add(3)
	go g.tickLoop()
	go g.writeLoop()
	go g.applyLoop(state.Snapshot.GetIndex())
	return nil
}

func (g *Group) tickLoop() {
	defer g.workers.Done()
	for {
		_ = g.withNode(func(now time.Time) {
			g.node.Tick(now)
			g.sendHellos(now)
		})
		select {
		case <-g.done:
			return
		case <-g.cfg.Clock.After(g.cfg.HeartbeatInterval / ticksPerHeartbeat):
		}
	}
}

// withNode calls f with g.mu held, then queues the work that the raft core has
// ready and sends its messages. If the member has stopped, it returns a
// *StoppedError without calling f.
func (g *Group) withNode(f func(now time.Time)) error {
	g.mu.Lock()
	if g.stopped {
		err := &StoppedError{Cause: g.failure}
		g.mu.Unlock()
		return err
	}
	f(g.cfg.Clock.Now())
	messages := g.processReady()
	g.mu.Unlock()
	g.send(messages)
	return nil
}

// processReady queues the writes and committed entries that the raft core has
// ready, completes its reads, and returns the messages to send at once. The
// caller must hold g.mu.
func (g *Group) processReady() []*raftpb.Message {
	var messages []*raftpb.Message
	for {
		ready, ok := g.node.Ready(g.cfg.Clock.Now())
		if !ok {
			break
		}
		messages = append(messages, ready.Messages...)
		if ready.Seq > 0 {
			g.writeQueue.push(writeJob{ready: ready})
		}
		for _, entry := range ready.Committed {
			g.applyQueue.push(applyJob{entry: entry})
		}
		for _, read := range ready.Reads {
			g.completeRead(read)
		}
	}
	g.updateRole()
	return messages
}

// updateRole records the role and fails the pending proposals when this member
// stops being the leader. The caller must hold g.mu.
func (g *Group) updateRole() {
	role := g.node.Status().Role
	if g.role == raft.Leader && role != raft.Leader {
		g.failProposals(&OutcomeUnknownError{Cause: errLostLeadership})
	}
	g.role = role
}

// failProposals ends all pending proposals with err. The caller must hold g.mu.
func (g *Group) failProposals(err error) {
	for index, p := range g.pendingProposals {
		p.done <- outcome{err: err}
		delete(g.pendingProposals, index)
	}
}

// send encodes messages and passes them to the transport.
func (g *Group) send(messages []*raftpb.Message) {
	for _, m := range messages {
		for _, part := range splitSnapshot(m) {
			data, err := proto.Marshal(part)
			if err != nil {
				g.cfg.OnViolation("messages encode", err.Error())
				continue
			}
			g.cfg.Transport.Send(MemberID(m.GetTo()), data)
		}
	}
}

// Receive handles a message that a transport received. Only the VM of from is
// significant. Messages that are malformed, of another format, sent by another
// VM or addressed to another identity are dropped.
func (g *Group) Receive(from MemberID, message []byte) {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(message, m); err != nil || m.GetFormat() != raftpb.Format {
		_ = level.Warn(g.cfg.Logger).Log("msg", "dropped message that is malformed or of another format", "from", from, "format", m.GetFormat(), "err", err)
		return
	}
	if MemberID(m.GetFrom()).VM() != from.VM() {
		return
	}
	_ = g.withNode(func(now time.Time) {
		if g.handleDiscovery(now, m) {
			return
		}
		if complete := g.assembler.reassemble(m); complete != nil {
			g.node.Step(now, complete)
		}
	})
}

// Status returns this member's view of its group. It also forgets the
// newcomers that are in the member list by now.
func (g *Group) Status() Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	raftStatus := g.node.Status()
	status := Status{
		ID: g.id, Role: raftStatus.Role, Term: raftStatus.Term, Leader: MemberID(raftStatus.Leader),
		Commit: raftStatus.Commit, Applied: g.lastApplied.get(), Failure: g.failure,
	}
	for _, view := range raftStatus.Members {
		status.Members = append(status.Members, newMemberStatus(view))
		delete(g.newcomers, MemberID(view.Member.GetId()))
	}
	for _, view := range raftStatus.Leaving {
		status.Leaving = append(status.Leaving, newMemberStatus(view))
	}
	for _, newcomer := range g.newcomers {
		status.Newcomers = append(status.Newcomers, newcomer)
	}
	slices.SortFunc(status.Newcomers, func(a, b Member) int {
		return compareIDs(a.ID, b.ID)
	})
	return status
}

func newMemberStatus(view raft.MemberView) MemberStatus {
	return MemberStatus{
		Member:      memberFromProto(view.Member),
		Learner:     view.Member.GetLearner(),
		Match:       view.Match,
		LastContact: view.LastContact,
		DiskLost:    view.DiskLost,
	}
}

// Close stops the member and releases its data folder. A leader first tries,
// for at most ElectionTimeout, to transfer leadership to the voter with the
// highest match index.
func (g *Group) Close() error {
	if to, ok := g.transferee(); ok {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go func() {
			select {
			case <-g.cfg.Clock.After(g.cfg.ElectionTimeout):
				cancel()
			case <-ctx.Done():
			}
		}()
		_ = g.TransferLeadership(ctx, to) // best effort: otherwise the others elect a leader
	}
	if !g.stop(nil) {
		g.workers.Wait()
		return nil
	}
	g.workers.Wait()
	return g.wal.Close()
}

// stop ends the goroutines and fails the pending proposals. It returns true if
// this call stopped the member, or if the member had failed before and cause
// is nil: Close must then still close the log, which a failure leaves open.
func (g *Group) stop(cause error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.stopped {
		return g.failure != nil && cause == nil
	}
	g.stopped = true
	g.failure = cause
	g.failProposals(&OutcomeUnknownError{Cause: &StoppedError{Cause: cause}})
	close(g.done)
	g.writeQueue.close()
	g.applyQueue.close()
	return true
}

// fail stops a member whose disk or state machine returned an error. The
// member keeps its data folder locked until Close.
func (g *Group) fail(cause error) {
	if g.stop(cause) {
		_ = level.Error(g.cfg.Logger).Log("msg", "member failed", "err", cause)
	}
}
