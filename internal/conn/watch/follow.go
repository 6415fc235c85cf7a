package watch

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/record"
)

// Defaults of Config.
const (
	DefaultReportInterval = time.Second
	DefaultLease          = 3 * time.Second
	DefaultSilenceTimeout = 1200 * time.Millisecond
	reconnectInterval     = 100 * time.Millisecond
)

// Clock is what the package needs of a clock.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config makes a Follower.
type Config struct {
	// Addresses are the control processes' host:port. Each process tries them
	// in an order of its own, so that the processes spread over them, also
	// those of a control process that fails.
	Addresses []string
	Link      *link.Client
	Clock     Clock
	Logger    log.Logger
	// Process and Role name this process.
	Process string
	Role    string
	// Target is a sidecar's, empty elsewhere.
	Target string
	// ReportInterval is the time between two reports to control.
	ReportInterval time.Duration
	// Lease is how long the set counts as fresh once a quorum has confirmed
	// it.
	Lease time.Duration
	// SilenceTimeout is how long a control process may send nothing before this
	// process turns to another one.
	SilenceTimeout time.Duration
	// FollowLeader makes the process follow the leader where it is known, and turn to
	// another process where no quorum has confirmed anything within Silence.
	FollowLeader bool
	// CollectLoads returns what this process has in flight, nil if that has not
	// changed and the control process is not a new one; it is asked each
	// LoadInterval. Nil for processes that send work to no target.
	CollectLoads func(fresh bool) *wire.TargetLoads
	LoadInterval time.Duration
	// OnUpdate puts an update in force. It is called with one update at a
	// time; the revision is reported, and the lease confirmed, once it has
	// returned.
	OnUpdate func(update *wire.Update, set *record.Set)
}

// Follower keeps a RecordCache at the newest revision.
type Follower struct {
	RecordCache

	cfg Config
	// places are the control processes as far as they are known.
	places places
	// fleet is what updates told besides records.
	fleet fleet
	// taking is held while an update is brought into force.
	taking sync.Mutex
	// verdicts is the highest index of verdicts that were taken.
	verdicts uint64
	// started is where stamps count from, so that they follow the monotonic
	// clock.
	started time.Time
	// confirmed is the stamp of the newest report that came before a quorum
	// confirmed the set.
	confirmed atomic.Int64
}

// NewFollower returns a follower; Run starts it.
func NewFollower(cfg Config) *Follower {
	if cfg.ReportInterval == 0 {
		cfg.ReportInterval = DefaultReportInterval
	}
	if cfg.Lease == 0 {
		cfg.Lease = DefaultLease
	}
	if cfg.SilenceTimeout == 0 {
		cfg.SilenceTimeout = DefaultSilenceTimeout
	}
	f := &Follower{cfg: cfg, started: cfg.Clock.Now().Add(-1)}
	f.places = places{process: cfg.Process, seeds: cfg.Addresses}
	f.places.set(nil)
	return f
}

// SetSeeds replaces the addresses of control processes from the settings.
func (f *Follower) SetSeeds(addresses []string) { f.places.reseed(addresses) }

// HasLease reports whether a quorum has confirmed lately that the set is the
// newest.
func (f *Follower) HasLease() bool {
	confirmed := f.confirmed.Load()
	return confirmed != 0 && time.Duration(f.stamp()-confirmed) < f.cfg.Lease
}

// Confirmed reports whether a quorum has confirmed a set of this process since
// its start. Until then the records may be older than those that the process
// acted on before it was restarted.
func (f *Follower) Confirmed() bool { return f.confirmed.Load() != 0 }

// Run follows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		address := f.places.next()
		err := f.follow(ctx, address)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errElsewhere) {
			continue
		}
		f.places.lose(address)
		_ = level.Warn(f.cfg.Logger).Log("msg", "control lost", "address", address, "err", err)
		_ = f.cfg.Clock.Sleep(ctx, reconnectInterval)
	}
}

// Pull fetches once from a process that stands at a higher revision.
func (f *Follower) Pull(ctx context.Context, address string) error {
	call := &wire.Call{
		Revision: uint64(f.Set().Revision()),
		Body:     &wire.Call_Watch{Watch: &wire.Watch{Process: f.cfg.Process, Role: f.cfg.Role, Once: true}},
	}
	update := new(wire.Update)
	if err := f.cfg.Link.Ask(ctx, address, call, update); err != nil {
		return fmt.Errorf("pull records: %w", err)
	}
	// A peer's word moves the set but never the lease.
	update.Echo = 0
	return f.ApplyUpdate(update)
}

// follow takes updates from one control process until it falls silent.
func (f *Follower) follow(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := f.cfg.Link.Open(ctx, address, &wire.Call{
		Revision: uint64(f.Set().Revision()),
		Body:     &wire.Call_Watch{Watch: f.report()},
	})
	if err != nil {
		return fmt.Errorf("watch %s: %w", address, err)
	}
	defer func() { _ = stream.Close() }()
	context.AfterFunc(ctx, func() { f.leave(ctx, stream) })
	heard := make(chan struct{}, 1)
	go f.expectNews(ctx, cancel, heard)
	go f.reportChanges(ctx, stream)
	for {
		update := new(wire.Update)
		if err := stream.Receive(update); err != nil {
			return fmt.Errorf("watch %s: %w", address, errors.Join(err, context.Cause(ctx)))
		}
		if !f.cfg.FollowLeader || update.GetEcho() != 0 {
			select {
			case heard <- struct{}{}:
			default:
			}
		}
		if err := f.ApplyUpdate(update); err != nil {
			return err
		}
		if f.cfg.FollowLeader && f.places.elsewhere(address) {
			return errElsewhere
		}
	}
}

// leave ends a watch. A connection on which nothing came may be one that a cut
// has silenced, which the next watch must not use.
func (f *Follower) leave(ctx context.Context, stream *link.Stream) {
	if f.cfg.FollowLeader && errors.Is(context.Cause(ctx), errSilent) {
		stream.CloseSession()
		return
	}
	stream.Abort()
}

// errElsewhere ends a watch because another control process leads.
var errElsewhere = errors.New("another control process leads")

// ApplyUpdate brings an update into force. Only then does it tell of it.
func (f *Follower) ApplyUpdate(update *wire.Update) error {
	f.taking.Lock()
	defer f.taking.Unlock()
	if _, err := f.ApplyRecords(update); err != nil {
		return err
	}
	f.dropOldVerdicts(update)
	set := f.Set()
	if err := f.takeFleet(update); err != nil {
		return err
	}
	if f.cfg.OnUpdate != nil {
		f.cfg.OnUpdate(update, set)
	}
	f.enforce(set.Revision())
	if echo := update.GetEcho(); echo > f.confirmed.Load() {
		f.confirmed.Store(echo)
	}
	return nil
}

// dropOldVerdicts takes verdicts out of an update that are older than those
// taken before, as a control process that lags sends. The caller holds taking.
func (f *Follower) dropOldVerdicts(update *wire.Update) {
	index := update.GetVerdictsIndex()
	if !update.GetVerdictsSet() || index == 0 {
		return
	}
	if index < f.verdicts {
		update.Verdicts, update.VerdictsSet = nil, false
		return
	}
	f.verdicts = index
}

// errSilent ends a watch whose control process sends nothing.
var errSilent = errors.New("control sends nothing")

func (f *Follower) expectNews(ctx context.Context, cancel context.CancelCauseFunc, heard <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-heard:
		case <-f.cfg.Clock.After(f.cfg.SilenceTimeout):
			cancel(errSilent)
			return
		}
	}
}

// reportChanges tells control which revision is in force, as it rises and at
// each interval.
func (f *Follower) reportChanges(ctx context.Context, stream *link.Stream) {
	due := f.cfg.Clock.Now().Add(f.cfg.ReportInterval)
	for fresh := true; ; {
		changed := f.Changed()
		loads, sooner := f.nextLoads(due, fresh)
		report := f.cfg.Clock.After(sooner)
		if loads == nil {
			select {
			case <-ctx.Done():
				return
			case <-changed:
			case <-report:
				if f.cfg.Clock.Now().Before(due) {
					continue
				}
			}
		}
		message := f.report()
		message.Loads = loads
		if stream.Send(message) != nil {
			return
		}
		due = f.cfg.Clock.Now().Add(f.cfg.ReportInterval)
		fresh = false
	}
}

// nextLoads returns the loads to report now, nil if there are none, and else
// how long to wait until they or the next report are due.
func (f *Follower) nextLoads(due time.Time, fresh bool) (*wire.TargetLoads, time.Duration) {
	wait := max(0, due.Sub(f.cfg.Clock.Now()))
	if f.cfg.CollectLoads == nil {
		return nil, wait
	}
	return f.cfg.CollectLoads(fresh), min(wait, f.cfg.LoadInterval)
}

func (f *Follower) report() *wire.Watch {
	source, step, document := f.standing()
	return &wire.Watch{
		RosterSource: source, RosterStep: step, Document: uint64(document),
		Process: f.cfg.Process,
		Role:    f.cfg.Role,
		InForce: uint64(f.InForce()),
		Target:  f.cfg.Target,
		Stamp:   f.stamp(),
	}
}

// stamp returns the nanoseconds since the follower was made.
func (f *Follower) stamp() int64 {
	return int64(f.cfg.Clock.Now().Sub(f.started))
}
