// Package side implements the sidecar, the process that runs beside one target.
// All requests to the target pass through its sidecar, which therefore knows
// the target's exact load. It admits, queues or refuses attempts, and keeps each
// answer until the router has read it.
package side

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/request/admit"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/request/replay"
	"cactusline.dev/cactusline/internal/request/warm"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// Clock is the source of time of a sidecar.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config holds the settings and dependencies of a Sidecar.
type Config struct {
	// TargetName is the name of the target in its record.
	TargetName ident.TargetName
	// TargetURL is the base URL at which the target takes requests.
	TargetURL *url.URL
	// Clock is required.
	Clock Clock
	// Logger is required.
	Logger log.Logger
	// Tracer starts a span for each attempt; required.
	Tracer *trace.Tracer
	// Control sends commands and queries to the control processes.
	Control *remote.Client
	// ControlAddresses holds the host:port of each control process. The order
	// must be the same for all sidecars.
	ControlAddresses []string
	// Link opens streams to control processes and to other sidecars.
	Link *link.Client
	// Incarnation numbers this start of the sidecar. It is unique for the
	// target.
	Incarnation ident.Incarnation
	// CacheTokens is the capacity of the engine's prefix cache; 0 if unknown.
	CacheTokens ident.Tokens
	// TransferRate limits, in bytes per second, how fast a leaving target
	// transfers the cached prefixes of its chats. The zero value means
	// DefaultTransferRate; a negative value disables the transfer.
	TransferRate ident.Bytes
	// TransferTimeout limits the duration of the whole transfer. The zero value
	// means DefaultTransferTimeout.
	TransferTimeout time.Duration
	// DrainTimeout limits how long a stopping sidecar waits for running
	// attempts and for the routers that read their answers; 0 for no limit.
	DrainTimeout time.Duration
	// Seed seeds the jitter of retry times.
	Seed uint64
}

// Sidecar serves the calls for one target and manages the engine there.
type Sidecar struct {
	cfg       Config
	server    *link.Server
	target    *targetClient
	admission *admit.Controller
	// attempts holds the answers of attempts, and tombstones of attempts that
	// must never run here.
	attempts *replay.Table
	// verdicts holds the requests that control suspects of crashing targets, or
	// has quarantined.
	verdicts poison.VerdictSet
	// crashBlocklist holds the requests that were in flight when this target
	// crashed. A request is refused here until its block expires or it has run
	// alone to its end.
	crashBlocklist poison.Blocklist
	crashes        crashTracker
	applied        appliedRecords
	cachedPrefixes *warm.Index
	newestDigest   digestHolder
	engineState    engineState
	// transfer sends cached prefixes to other targets while this one leaves.
	transfer outgoingTransfer
	waiters  decisionWaiters
	runs     runTable
	// openSubmits counts the streams of Submit calls in progress.
	openSubmits atomic.Int64
	follower    atomic.Pointer[watch.Follower]
	// leaving says that the target is being taken out of service, by its record
	// or because the sidecar is stopping.
	leaving atomic.Bool
	// down says that the target does not respond.
	down atomic.Bool
	// stopping says that this sidecar is shutting down.
	stopping atomic.Bool
	// ctx is canceled when the sidecar has finished its work and stops.
	ctx    context.Context
	cancel context.CancelFunc
}

// New returns a sidecar that is not yet serving; Run starts it.
func New(cfg Config) (*Sidecar, error) {
	if cfg.TransferRate == 0 {
		cfg.TransferRate = DefaultTransferRate
	}
	if cfg.TransferTimeout == 0 {
		cfg.TransferTimeout = DefaultTransferTimeout
	}
	s := &Sidecar{
		cfg:            cfg,
		target:         newTargetClient(cfg.TargetURL),
		attempts:       replay.New(replay.Config{}),
		cachedPrefixes: warm.New(warm.Config{Capacity: cfg.CacheTokens}),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	controller, err := admit.New(admit.Config{
		Target:            cfg.TargetName,
		Rand:              rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation))),
		OnInvariantBroken: s.onInvariantBroken,
	})
	if err != nil {
		return nil, fmt.Errorf("create admission controller: %w", err)
	}
	s.admission = controller
	s.server = link.NewServer(s)
	return s, nil
}

// SetFollower sets the follower whose records the sidecar acts on. The follower
// must pass its updates to ApplyUpdate.
func (s *Sidecar) SetFollower(f *watch.Follower) { s.follower.Store(f) }

// Context returns a context that is canceled when the sidecar has finished its
// work and stops.
func (s *Sidecar) Context() context.Context { return s.ctx }

// Run serves calls of routers, control processes and other sidecars until ctx ends.
// It then refuses new attempts, waits for the running ones to finish, at most for
// DrainTimeout if that is set, closes the listener and returns.
func (s *Sidecar) Run(ctx context.Context, listener net.Listener) error {
	defer s.cancel()
	stop := context.AfterFunc(ctx, func() { s.shutDown(listener) })
	defer stop()
	s.registerMetrics()
	go s.runPeriodicTasks(s.ctx)
	go s.reportLoad(s.ctx)
	go s.reconcileEngine(s.ctx)
	go s.pollCacheEvents(s.ctx)
	_ = level.Info(s.cfg.Logger).Log("msg", "sidecar is serving", "target", s.cfg.TargetName, "address", listener.Addr())
	if err := s.server.Serve(s.ctx, listener); err != nil {
		return fmt.Errorf("serve calls: %w", err)
	}
	if err := s.server.Close(); err != nil {
		return fmt.Errorf("close call server: %w", err)
	}
	return nil
}

// shutDown makes the target leave and waits until the admitted attempts have
// finished and their answers have been read. It then waits for lingerTime, in
// which a router may come back for an answer, closes the listener and cancels
// s.ctx. DrainTimeout limits the wait.
func (s *Sidecar) shutDown(listener net.Listener) {
	s.stopping.Store(true)
	s.setLeaving(s.cfg.Clock.Now(), true)
	_ = level.Info(s.cfg.Logger).Log("msg", "sidecar is stopping and waits for running attempts", "runs", s.runs.slotsHeld())
	started := s.cfg.Clock.Now()
	for idleTime := time.Duration(0); idleTime < lingerTime; idleTime += tickInterval {
		if s.cfg.Clock.Sleep(s.ctx, tickInterval) != nil {
			break
		}
		if limit := s.cfg.DrainTimeout; limit > 0 && s.cfg.Clock.Now().Sub(started) >= limit {
			_ = level.Warn(s.cfg.Logger).Log("msg", "drain timeout reached, sidecar stops with attempts in flight", "runs", s.runs.slotsHeld())
			break
		}
		if s.busy() {
			idleTime = 0
		}
	}
	_ = listener.Close()
	s.cancel()
}

// busy reports whether an attempt holds a slot or a Submit call is in progress.
func (s *Sidecar) busy() bool { return s.runs.slotsHeld() > 0 || s.openSubmits.Load() > 0 }

// lingerTime is how long a stopping sidecar goes on serving after it was last
// busy.
const lingerTime = 200 * time.Millisecond

// appliedRecords holds the revision of the records last applied. Its lock
// serializes the goroutines that apply records or change the leaving state.
type appliedRecords struct {
	mu       sync.Mutex
	revision ident.Revision
}

// ApplyUpdate applies an update from control and the set of records that
// resulted from it. A set older than the last one applied is ignored.
func (s *Sidecar) ApplyUpdate(update *wire.Update, set *record.Set) {
	now := s.cfg.Clock.Now()
	s.applied.mu.Lock()
	defer s.applied.mu.Unlock()
	if update.GetVerdictsSet() {
		s.verdicts.Replace(watch.DecodeVerdicts(update.GetVerdicts()))
	}
	if set.Revision() == 0 || set.Revision() < s.applied.revision {
		return
	}
	s.applied.revision = set.Revision()
	s.admission.SetLimits(s.admissionLimits(set))
	s.setLeavingLocked(now, set.TargetLeaving(s.cfg.TargetName))
}

func (s *Sidecar) setLeaving(now time.Time, leaving bool) {
	s.applied.mu.Lock()
	defer s.applied.mu.Unlock()
	s.setLeavingLocked(now, leaving)
}

// setLeavingLocked sets whether the target is leaving. A stopping sidecar is
// always leaving, whatever the argument. The caller must hold s.applied.mu.
func (s *Sidecar) setLeavingLocked(now time.Time, leaving bool) {
	leaving = leaving || s.stopping.Load()
	wasLeaving := s.leaving.Swap(leaving)
	s.deliverDecisions(s.admission.SetLeaving(now, leaving))
	s.updateTransfer(wasLeaving, leaving)
}

// ServeCall implements link.Handler.
func (s *Sidecar) ServeCall(ctx context.Context, call *wire.Call, stream *link.Stream) {
	switch body := call.GetBody().(type) {
	case *wire.Call_Submit:
		s.serveSubmit(call, body.Submit, stream)
	case *wire.Call_Tombstone:
		_ = stream.Send(s.serveTombstone(body.Tombstone))
	case *wire.Call_Probe:
		_ = stream.Send(&wire.ProbeReply{
			Load:     s.Load(),
			Target:   string(s.cfg.TargetName),
			Revision: uint64(s.revision()),
			Starting: !s.confirmed(),
		})
	case *wire.Call_Served:
		s.recordServed(body.Served)
	case *wire.Call_Transfer:
		s.serveTransfer(ctx, body.Transfer, stream)
	case *wire.Call_Watch:
		s.serveRecords(call, stream)
	case *wire.Call_Push:
		s.servePush(body.Push, stream)
	}
}

// recordServed records which other target served a chat whose home is this
// target.
func (s *Sidecar) recordServed(served *wire.Served) {
	s.admission.RecordChatLocation(s.cfg.Clock.Now(), ident.ChatKey(served.GetChat()), admit.ChatLocation{
		Target: ident.TargetName(served.GetTarget()),
		Tokens: ident.Tokens(served.GetTokens()),
	})
}

// serveTombstone tries to make sure that an attempt never runs here, and
// reports whether that is certain. For an attempt meant for another incarnation
// it is not.
func (s *Sidecar) serveTombstone(tombstone *wire.Tombstone) *wire.TombstoneReply {
	reply := &wire.TombstoneReply{Incarnation: uint64(s.cfg.Incarnation)}
	if tombstone.GetIncarnation() == reply.Incarnation {
		reply.Buried = s.attempts.Tombstone(s.cfg.Clock.Now(), ident.AttemptID(tombstone.GetAttempt()))
	}
	return reply
}

// serveRecords sends the records to a router whose revision is older.
func (s *Sidecar) serveRecords(call *wire.Call, stream *link.Stream) {
	if f := s.follower.Load(); f != nil && uint64(f.Set().Revision()) > call.GetRevision() {
		_ = stream.Send(watch.EncodeDelta(f.Set().FullDelta()))
		return
	}
	_ = stream.Send(new(wire.Update))
}

// servePush applies records from a router whose revision is newer.
func (s *Sidecar) servePush(update *wire.Update, stream *link.Stream) {
	// A push from a peer may advance the records but must not renew the lease,
	// which the field Echo would do.
	update.Echo = 0
	if f := s.follower.Load(); f != nil {
		_ = f.ApplyUpdate(update)
	}
	_ = stream.Send(&wire.PushReply{Revision: uint64(s.revision())})
}

func (s *Sidecar) revision() ident.Revision {
	if f := s.follower.Load(); f != nil {
		return f.Set().Revision()
	}
	return 0
}

// confirmed reports whether a quorum has confirmed the records since this
// sidecar started.
func (s *Sidecar) confirmed() bool {
	f := s.follower.Load()
	return f != nil && f.Confirmed()
}

// Load returns the target's current load, as sent in replies and load reports.
func (s *Sidecar) Load() *wire.Load {
	return watch.EncodeLoad(s.admission.Load(), s.cfg.Incarnation, s.leaving.Load())
}

// onInvariantBroken counts and logs a violated invariant of admission.
func (s *Sidecar) onInvariantBroken(err error) {
	s.countInvariantBroken()
	_ = level.Error(s.cfg.Logger).Log("msg", "invariant broken", "target", s.cfg.TargetName, "err", err)
}
