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

// Defaults of Config, and the pause after a lost watch.
const (
	DefaultReportInterval = time.Second
	DefaultLease          = 3 * time.Second
	DefaultSilenceTimeout = 1200 * time.Millisecond
	reconnectDelay        = 100 * time.Millisecond
)

// Clock provides time, so that tests can replace it.
type Clock interface {
	Now() time.Time
	// Elapsed returns the time since an unspecified start, including the time for which
	// the machine was suspended.
	Elapsed() time.Duration
	After(d time.Duration) <-chan time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config configures a Follower.
type Config struct {
	// Addresses are the host:port of the control processes. Each follower tries
	// them in a different order, so that followers spread over the control
	// processes, also when they leave one that failed.
	Addresses []string
	Link      *link.Client
	Clock     Clock
	Logger    log.Logger
	// Process and Role are the name and role of this process.
	Process string
	Role    string
	// Target is the target of a sidecar, empty in other roles.
	Target string
	// ReportInterval is the maximum time between two reports to the control
	// process.
	ReportInterval time.Duration
	// Lease is how long the set counts as the newest after a quorum has
	// confirmed it.
	Lease time.Duration
	// SilenceTimeout is how long a control process may send nothing before the
	// follower tries another one.
	SilenceTimeout time.Duration
	// FirstTimeout is how long a new watch may take until the first update that
	// restarts SilenceTimeout; it is SilenceTimeout by default.
	FirstTimeout time.Duration
	// FollowLeader makes the follower watch the leader if it is known, and try
	// another control process if no quorum has confirmed the set within
	// SilenceTimeout, or within FirstTimeout of the beginning of the watch.
	FollowLeader bool
	// CollectLoads returns the requests that this process has in flight at each
	// target, or nil if they have not changed since the last report. With first
	// set, as for the first report of a watch, it returns them in any case. It is
	// called every LoadInterval. The field is nil in processes that send no
	// requests to targets.
	CollectLoads func(first bool) *wire.TargetLoads
	LoadInterval time.Duration
	// CollectStreams returns where streams of this process began since the last report,
	// or lately if first is set. StreamsBegan receives a value when there are any, and
	// StreamDelay is how long they are collected then. All are zero in processes that
	// have none.
	CollectStreams func(first bool) []*wire.StreamOrigins
	StreamsBegan   <-chan struct{}
	StreamDelay    time.Duration
	// OnUpdate puts an update in force. It is called with one update at a time.
	// The revision is reported, and the lease extended, only after it has
	// returned.
	OnUpdate func(update *wire.Update, set *record.Set)
}

// Follower keeps a RecordCache at the newest revision.
type Follower struct {
	RecordCache

	cfg Config
	// endpoints are the known control processes.
	endpoints endpoints
	// fleet is the state that updates carry besides records.
	fleet fleetState
	// applyMu is held while an update is applied and put in force.
	applyMu sync.Mutex
	// verdictsIndex is the highest VerdictsIndex of the updates applied so far.
	verdictsIndex uint64
	// evacuationsIndex is the highest EvacuationsIndex of the updates applied so far.
	evacuationsIndex uint64
	// epoch is the elapsed time from which stamps count. It is just before the start, so
	// that no stamp is 0.
	epoch time.Duration
	// confirmedStamp is the highest stamp that a control process has echoed, 0 if
	// none has. A control process echoes the stamp of a report once a quorum has
	// confirmed the set after that report.
	confirmedStamp atomic.Int64
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
	if cfg.FirstTimeout == 0 {
		cfg.FirstTimeout = cfg.SilenceTimeout
	}
	f := &Follower{cfg: cfg, epoch: cfg.Clock.Elapsed() - 1}
	f.endpoints = endpoints{process: cfg.Process, seeds: cfg.Addresses}
	f.endpoints.setLearned(nil)
	return f
}

// SetSeeds replaces the addresses of control processes that come from the
// settings.
func (f *Follower) SetSeeds(addresses []string) { f.endpoints.setSeeds(addresses) }

// HasLease reports whether a quorum has confirmed within the lease that the set
// is the newest.
func (f *Follower) HasLease() bool {
	age, confirmed := f.ConfirmedAge()
	return confirmed && age < f.cfg.Lease
}

// ConfirmedAge returns how long ago a quorum last confirmed that what this process
// holds is the newest. It reports false if none has since the process started.
func (f *Follower) ConfirmedAge() (time.Duration, bool) {
	confirmed := f.confirmedStamp.Load()
	if confirmed == 0 {
		return 0, false
	}
	return time.Duration(f.stamp() - confirmed), true
}

// Confirmed reports whether a quorum has confirmed a set since the process
// started. Until then the records may be older than those that the process used
// before it was restarted.
func (f *Follower) Confirmed() bool { return f.confirmedStamp.Load() != 0 }

// ConfirmedText returns the result of ConfirmedAge as it is logged.
func (f *Follower) ConfirmedText() string {
	if age, confirmed := f.ConfirmedAge(); confirmed {
		return age.String()
	}
	return "never"
}

// Run watches one control process after another until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		address := f.endpoints.next()
		began, confirmed := f.cfg.Clock.Now(), f.confirmedStamp.Load()
		err := f.watchControl(ctx, address)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errNotLeader) {
			continue
		}
		f.endpoints.markLost(f.cfg.Clock.Now(), address, f.confirmedStamp.Load() > confirmed)
		_ = level.Warn(f.cfg.Logger).Log("msg", "control lost", "address", address, "watched", f.cfg.Clock.Now().Sub(began),
			"confirmed", f.ConfirmedText(), "err", err)
		_ = f.cfg.Clock.Sleep(ctx, reconnectDelay)
	}
}

// Pull fetches the records once from a process that has a higher revision.
func (f *Follower) Pull(ctx context.Context, address string) error {
	call := &wire.Call{
		Revision: uint64(f.Set().Revision()),
		Body:     &wire.Call_Watch{Watch: &wire.Watch{Process: f.cfg.Process, Role: f.cfg.Role, Once: true}},
	}
	update := new(wire.Update)
	if err := f.cfg.Link.Ask(ctx, address, call, update); err != nil {
		return fmt.Errorf("pull records: %w", err)
	}
	// An update that was pulled changes the set but must not extend the lease.
	update.Echo = 0
	return f.ApplyUpdate(update)
}

// watchControl applies updates from one control process until the watch fails,
// falls silent or has to move to the leader.
func (f *Follower) watchControl(ctx context.Context, address string) error {
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
	_ = level.Info(f.cfg.Logger).Log("msg", "control watched", "address", address, "sessionAge", stream.SessionAge(), "sessionQuiet", stream.SessionQuiet())
	context.AfterFunc(ctx, func() { f.closeStream(ctx, stream) })
	alive := make(chan struct{}, 1)
	go f.detectSilence(ctx, cancel, alive)
	go f.sendReports(ctx, stream)
	for {
		update := new(wire.Update)
		if err := stream.Receive(update); err != nil {
			return fmt.Errorf("watch %s: %w", address, errors.Join(err, context.Cause(ctx)))
		}
		// With FollowLeader, only an update that a quorum has confirmed restarts
		// the timeout.
		if !f.cfg.FollowLeader || update.GetEcho() != 0 {
			select {
			case alive <- struct{}{}:
			default:
			}
		}
		if err := f.ApplyUpdate(update); err != nil {
			return err
		}
		if f.cfg.FollowLeader && f.endpoints.hasOtherLeader(f.cfg.Clock.Now(), address) {
			return errNotLeader
		}
	}
}

// closeStream ends a watch. After silence it also closes the connection, which the
// next watch must not use: a network cut may have silenced it.
func (f *Follower) closeStream(ctx context.Context, stream *link.Stream) {
	if errors.Is(context.Cause(ctx), errSilent) && (f.cfg.FollowLeader || stream.SessionQuiet() >= f.cfg.SilenceTimeout) {
		stream.CloseSession()
		return
	}
	stream.Abort()
}

// errNotLeader ends a watch because another control process is the leader.
var errNotLeader = errors.New("another control process is the leader")

// ApplyUpdate applies an update and puts it in force. Only then does it report
// the revision and extend the lease.
func (f *Follower) ApplyUpdate(update *wire.Update) error {
	f.applyMu.Lock()
	defer f.applyMu.Unlock()
	if _, err := f.ApplyRecords(update); err != nil {
		return err
	}
	f.dropStaleVerdicts(update)
	f.dropStaleEvacuations(update)
	set := f.Set()
	if err := f.applyFleetState(update); err != nil {
		return err
	}
	if f.cfg.OnUpdate != nil {
		f.cfg.OnUpdate(update, set)
	}
	f.recordIndexes(update)
	f.setInForce(set.Revision())
	if echo := update.GetEcho(); echo > f.confirmedStamp.Load() {
		f.confirmedStamp.Store(echo)
	}
	return nil
}

// dropStaleVerdicts removes the verdicts from an update if they are older than
// those applied before. A control process that lags behind sends such verdicts.
// Verdicts without an index are kept. The caller holds applyMu.
func (f *Follower) dropStaleVerdicts(update *wire.Update) {
	index := update.GetVerdictsIndex()
	if !update.GetVerdictsSet() || index == 0 {
		return
	}
	if index < f.verdictsIndex {
		update.Verdicts, update.VerdictsSet = nil, false
	}
}

// dropStaleEvacuations removes the evacuations from an update if they are older than
// those applied before, as dropStaleVerdicts does. The caller holds applyMu.
func (f *Follower) dropStaleEvacuations(update *wire.Update) {
	if update.GetEvacuationsSet() && update.GetEvacuationsIndex() < f.evacuationsIndex {
		update.Evacuated, update.EvacuationsSet = nil, false
	}
}

// recordIndexes records the indexes of an update that is in force. One that could not be
// applied must not make those of the next control process look stale. The caller holds
// applyMu.
func (f *Follower) recordIndexes(update *wire.Update) {
	if update.GetVerdictsSet() && update.GetVerdictsIndex() != 0 {
		f.verdictsIndex = update.GetVerdictsIndex()
	}
	if update.GetEvacuationsSet() {
		f.evacuationsIndex = update.GetEvacuationsIndex()
	}
}

// errSilent ends a watch that detectSilence has canceled.
var errSilent = errors.New("control sends nothing")

// detectSilence cancels a watch if alive is not signaled for FirstTimeout at first, and
// for SilenceTimeout later.
func (f *Follower) detectSilence(ctx context.Context, cancel context.CancelCauseFunc, alive <-chan struct{}) {
	for timeout := f.cfg.FirstTimeout; ; timeout = f.cfg.SilenceTimeout {
		select {
		case <-ctx.Done():
			return
		case <-alive:
		case <-f.cfg.Clock.After(timeout):
			cancel(errSilent)
			return
		}
	}
}

// sendReports reports the revision in force to the control process, whenever it
// rises, whenever the loads change and at each ReportInterval.
func (f *Follower) sendReports(ctx context.Context, stream *link.Stream) {
	due := f.cfg.Clock.Now().Add(f.cfg.ReportInterval)
	for first := true; ; {
		changed := f.InForceChanged()
		loads, wait := f.nextLoads(due, first)
		timer := f.cfg.Clock.After(wait)
		if loads == nil {
			select {
			case <-ctx.Done():
				return
			case <-changed:
			case <-f.cfg.StreamsBegan:
				_ = f.cfg.Clock.Sleep(ctx, f.cfg.StreamDelay)
			case <-timer:
				if f.cfg.Clock.Now().Before(due) {
					continue
				}
			}
		}
		message := f.report()
		message.Loads = loads
		if f.cfg.CollectStreams != nil {
			message.Streams = f.cfg.CollectStreams(first)
		}
		if stream.Send(message) != nil {
			return
		}
		due = f.cfg.Clock.Now().Add(f.cfg.ReportInterval)
		first = false
	}
}

// nextLoads returns the loads to report now, or nil if there are none, and the
// time until the loads are collected again or the next report is due.
func (f *Follower) nextLoads(due time.Time, first bool) (*wire.TargetLoads, time.Duration) {
	wait := max(0, due.Sub(f.cfg.Clock.Now()))
	if f.cfg.CollectLoads == nil {
		return nil, wait
	}
	return f.cfg.CollectLoads(first), min(wait, f.cfg.LoadInterval)
}

func (f *Follower) report() *wire.Watch {
	source, step, document := f.position()
	return &wire.Watch{
		RosterSource: source, RosterStep: step, Document: uint64(document),
		Process: f.cfg.Process,
		Role:    f.cfg.Role,
		InForce: uint64(f.InForce()),
		Target:  f.cfg.Target,
		Stamp:   f.stamp(),
	}
}

// stamp returns the nanoseconds since epoch.
func (f *Follower) stamp() int64 {
	return int64(f.cfg.Clock.Elapsed() - f.epoch)
}
