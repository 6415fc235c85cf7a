// Package side is the sidecar role: the process beside one target that knows
// the truth about it. It is the only one that gives the target work, and so
// decides on admission, keeps what the target answered until the router has
// it, and refuses what may not run.
package side

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/url"
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

// Clock is what the package needs of a clock.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config makes a Sidecar.
type Config struct {
	// Name is the target's, as in its record.
	Name ident.TargetName
	// Target is the base URL of the target.
	Target *url.URL
	// Listener takes calls of other processes of the system.
	Listener net.Listener
	// Clock is required.
	Clock Clock
	// Logger is required.
	Logger log.Logger
	// Tracer starts a span for each attempt; required.
	Tracer *trace.Tracer
	// Control asks the control processes.
	Control *remote.Client
	// ControlAddresses are the control processes' host:port, in the same order
	// for all sidecars.
	ControlAddresses []string
	// Link carries the calls to control.
	Link *link.Client
	// Incarnation is this start's number, unique for the target.
	Incarnation ident.Incarnation
	// CacheTokens is the size of the engine's prefix cache; 0 if not known.
	CacheTokens ident.Tokens
	// Seed draws jitter.
	Seed uint64
}

// Sidecar serves the calls for one target.
type Sidecar struct {
	cfg      Config
	server   *link.Server
	target   *targetClient
	admitted *admit.Controller
	attempts *replay.Table
	poisoned poison.Set
	recent   poison.Recent
	crashes  atomic.Uint64
	warm     *warm.Index
	newest   newest
	waiting  waiting
	runs     runs
	follower atomic.Pointer[watch.Follower]
	leaving  atomic.Bool
	down     atomic.Bool
	stopping atomic.Bool
	// life ends, by end, when the process has nothing left to do.
	life context.Context
	end  context.CancelFunc
}

// New returns a sidecar; Run starts it.
func New(cfg Config) (*Sidecar, error) {
	s := &Sidecar{
		cfg:      cfg,
		target:   newTargetClient(cfg.Target),
		attempts: replay.New(replay.Config{}),
		warm:     warm.New(warm.Config{Capacity: cfg.CacheTokens}),
	}
	s.life, s.end = context.WithCancel(context.Background())
	controller, err := admit.New(admit.Config{
		Target: cfg.Name,
		Rand:   rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation))),
		Assert: s.broken,
	})
	if err != nil {
		return nil, fmt.Errorf("make admission: %w", err)
	}
	s.admitted = controller
	s.server = link.NewServer(s)
	return s, nil
}

// Follow makes the sidecar act on the records of f, whose updates must come
// to Update.
func (s *Sidecar) Follow(f *watch.Follower) { s.follower.Store(f) }

// Life ends when the sidecar has nothing left to do.
func (s *Sidecar) Life() context.Context { return s.life }

// Run serves until ctx ends. Then it refuses new work, lets what runs finish,
// and returns.
func (s *Sidecar) Run(ctx context.Context) error {
	defer s.end()
	stop := context.AfterFunc(ctx, s.shutDown)
	defer stop()
	go s.tick(s.life)
	go s.balance(s.life)
	_ = level.Info(s.cfg.Logger).Log("msg", "sidecar serves", "target", s.cfg.Name, "address", s.cfg.Listener.Addr())
	if err := s.server.Serve(s.life, s.cfg.Listener); err != nil {
		return fmt.Errorf("serve calls: %w", err)
	}
	if err := s.server.Close(); err != nil {
		return fmt.Errorf("close calls: %w", err)
	}
	return nil
}

// shutDown lets the runs finish and then closes the listener. Routers may
// read the answers until the last run has ended and a moment longer.
func (s *Sidecar) shutDown() {
	s.stopping.Store(true)
	s.setLeaving(s.cfg.Clock.Now(), true)
	_ = level.Info(s.cfg.Logger).Log("msg", "sidecar finishes its runs", "runs", s.runs.count())
	for s.runs.count() > 0 {
		if s.cfg.Clock.Sleep(s.life, tickInterval) != nil {
			break
		}
	}
	_ = s.cfg.Clock.Sleep(s.life, lingerTime)
	_ = s.cfg.Listener.Close()
	s.end()
}

// lingerTime is how long a stopping sidecar serves after its last run.
const lingerTime = 200 * time.Millisecond

// Update takes news from control.
func (s *Sidecar) Update(update *wire.Update, set *record.Set) {
	now := s.cfg.Clock.Now()
	if update.GetVerdictsSet() {
		s.poisoned.Replace(watch.Verdicts(update.GetVerdicts()))
	}
	if set.Revision() > 0 {
		s.admitted.SetLimits(s.limitsOf(set))
		s.setLeaving(now, set.Leaving(s.cfg.Name))
	}
}

func (s *Sidecar) setLeaving(now time.Time, leaving bool) {
	leaving = leaving || s.stopping.Load()
	s.leaving.Store(leaving)
	s.settle(s.admitted.SetLeaving(now, leaving))
}

// ServeCall implements link.Handler.
func (s *Sidecar) ServeCall(ctx context.Context, call *wire.Call, stream *link.Stream) {
	switch body := call.GetBody().(type) {
	case *wire.Call_Submit:
		s.serveSubmit(call, body.Submit, stream)
	case *wire.Call_Tombstone:
		_ = stream.Send(s.bury(body.Tombstone))
	case *wire.Call_Probe:
		_ = stream.Send(&wire.ProbeReply{Load: s.Load(), Target: string(s.cfg.Name), Revision: uint64(s.revision())})
	case *wire.Call_Drain:
		s.setLeaving(s.cfg.Clock.Now(), body.Drain.GetLeaving())
		_ = stream.Send(&wire.DrainReply{Load: s.Load()})
	case *wire.Call_Served:
		s.noteServed(body.Served)
	case *wire.Call_Watch:
		s.serveRecords(call, stream)
	case *wire.Call_Push:
		s.takePush(body.Push, stream)
	}
	_ = ctx
}

// noteServed remembers which other target served a chat whose home this is.
func (s *Sidecar) noteServed(served *wire.Served) {
	s.admitted.Note(s.cfg.Clock.Now(), ident.ChatKey(served.GetChat()), admit.Forward{
		Target: ident.TargetName(served.GetTarget()),
		Tokens: ident.Tokens(served.GetTokens()),
	})
}

// bury answers whether an attempt will never run.
func (s *Sidecar) bury(tombstone *wire.Tombstone) *wire.TombstoneReply {
	reply := &wire.TombstoneReply{Incarnation: uint64(s.cfg.Incarnation)}
	if tombstone.GetIncarnation() == reply.Incarnation {
		reply.Buried = s.attempts.Bury(s.cfg.Clock.Now(), ident.AttemptID(tombstone.GetAttempt()))
	}
	return reply
}

// serveRecords sends a router that is behind what it lacks.
func (s *Sidecar) serveRecords(call *wire.Call, stream *link.Stream) {
	if f := s.follower.Load(); f != nil && uint64(f.Set().Revision()) > call.GetRevision() {
		_ = stream.Send(watch.Encode(f.Set().Full()))
		return
	}
	_ = stream.Send(new(wire.Update))
}

// takePush takes records from a router that is ahead.
func (s *Sidecar) takePush(update *wire.Update, stream *link.Stream) {
	if f := s.follower.Load(); f != nil {
		_ = f.Take(update)
	}
	_ = stream.Send(&wire.PushReply{Revision: uint64(s.revision())})
}

func (s *Sidecar) revision() ident.Revision {
	if f := s.follower.Load(); f != nil {
		return f.Set().Revision()
	}
	return 0
}

// confirmed reports whether a quorum has confirmed the records since the start.
func (s *Sidecar) confirmed() bool {
	f := s.follower.Load()
	return f != nil && f.Confirmed()
}

// Load returns the target's load for replies and reports.
func (s *Sidecar) Load() *wire.Load {
	return watch.EncodeLoad(s.admitted.Load(), s.cfg.Incarnation, s.leaving.Load())
}

// broken notes an invariant that does not hold.
func (s *Sidecar) broken(err error) {
	_ = level.Error(s.cfg.Logger).Log("msg", "invariant broken", "target", s.cfg.Name, "err", err)
}
