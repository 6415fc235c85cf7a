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

// Clock is what the package needs of a clock.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config makes a Sidecar.
type Config struct {
	// TargetName is the target's, as in its record.
	TargetName ident.TargetName
	// TargetURL is the base URL of the target.
	TargetURL *url.URL
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
	// TransferRate bounds the bytes per second in which a leaving target hands
	// its chats' prefixes over; below zero for none.
	TransferRate ident.Bytes
	// TransferTimeout bounds the whole of that.
	TransferTimeout time.Duration
	// DrainTimeout bounds how long a stopping sidecar waits for its runs and
	// their readers; 0 for no bound.
	DrainTimeout time.Duration
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
	poisoned poison.VerdictSet
	recent   poison.Blocklist
	crash    crashNote
	applied  applied
	warm     *warm.Index
	newest   newest
	deployed deployment
	// departing hands prefixes over.
	departing departure
	waiting   waiting
	runs      runs
	// serving counts the streams on which an attempt is answered.
	serving  atomic.Int64
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
	if cfg.TransferRate == 0 {
		cfg.TransferRate = DefaultTransferRate
	}
	if cfg.TransferTimeout == 0 {
		cfg.TransferTimeout = DefaultTransferTimeout
	}
	s := &Sidecar{
		cfg:      cfg,
		target:   newTargetClient(cfg.TargetURL),
		attempts: replay.New(replay.Config{}),
		warm:     warm.New(warm.Config{Capacity: cfg.CacheTokens}),
	}
	s.life, s.end = context.WithCancel(context.Background())
	controller, err := admit.New(admit.Config{
		Target:            cfg.TargetName,
		Rand:              rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Incarnation))),
		OnInvariantBroken: s.broken,
	})
	if err != nil {
		return nil, fmt.Errorf("make admission: %w", err)
	}
	s.admitted = controller
	s.server = link.NewServer(s)
	return s, nil
}

// SetFollower makes the sidecar act on the records of f, whose updates must come
// to Update.
func (s *Sidecar) SetFollower(f *watch.Follower) { s.follower.Store(f) }

// Context ends when the sidecar has nothing left to do.
func (s *Sidecar) Context() context.Context { return s.life }

// Run serves until ctx ends. Then it refuses new work, lets what runs finish,
// and returns.
func (s *Sidecar) Run(ctx context.Context) error {
	defer s.end()
	stop := context.AfterFunc(ctx, s.shutDown)
	defer stop()
	s.measure()
	go s.tick(s.life)
	go s.balance(s.life)
	go s.deploy(s.life)
	go s.followCache(s.life)
	_ = level.Info(s.cfg.Logger).Log("msg", "sidecar serves", "target", s.cfg.TargetName, "address", s.cfg.Listener.Addr())
	if err := s.server.Serve(s.life, s.cfg.Listener); err != nil {
		return fmt.Errorf("serve calls: %w", err)
	}
	if err := s.server.Close(); err != nil {
		return fmt.Errorf("close calls: %w", err)
	}
	return nil
}

// shutDown lets the work that was taken on finish and its answers be read,
// and then closes the listener. A router may come back for an answer for a
// moment after that.
func (s *Sidecar) shutDown() {
	s.stopping.Store(true)
	s.setLeaving(s.cfg.Clock.Now(), true)
	_ = level.Info(s.cfg.Logger).Log("msg", "sidecar finishes its runs", "runs", s.runs.held())
	began := s.cfg.Clock.Now()
	for quiet := time.Duration(0); quiet < lingerTime; quiet += tickInterval {
		if s.cfg.Clock.Sleep(s.life, tickInterval) != nil {
			break
		}
		if limit := s.cfg.DrainTimeout; limit > 0 && s.cfg.Clock.Now().Sub(began) >= limit {
			_ = level.Warn(s.cfg.Logger).Log("msg", "sidecar ends with work in flight", "runs", s.runs.held())
			break
		}
		if s.busy() {
			quiet = 0
		}
	}
	_ = s.cfg.Listener.Close()
	s.end()
}

// busy reports whether an attempt holds a place or is answered.
func (s *Sidecar) busy() bool { return s.runs.held() > 0 || s.serving.Load() > 0 }

// lingerTime is how long a stopping sidecar serves after its last answer.
const lingerTime = 200 * time.Millisecond

// applied is what is in force of the records. Its lock orders those who put
// them into force.
type applied struct {
	mu       sync.Mutex
	revision ident.Revision
}

// ApplyUpdate takes news from control. A set older than the one in force changes
// nothing.
func (s *Sidecar) ApplyUpdate(update *wire.Update, set *record.Set) {
	now := s.cfg.Clock.Now()
	s.applied.mu.Lock()
	defer s.applied.mu.Unlock()
	if update.GetVerdictsSet() {
		s.poisoned.Replace(watch.DecodeVerdicts(update.GetVerdicts()))
	}
	if set.Revision() == 0 || set.Revision() < s.applied.revision {
		return
	}
	s.applied.revision = set.Revision()
	s.admitted.SetLimits(s.limitsOf(set))
	s.putLeaving(now, set.TargetLeaving(s.cfg.TargetName))
}

func (s *Sidecar) setLeaving(now time.Time, leaving bool) {
	s.applied.mu.Lock()
	defer s.applied.mu.Unlock()
	s.putLeaving(now, leaving)
}

// putLeaving starts or ends the departure; a sidecar that stops is leaving
// whatever it is told. The caller holds the lock of applied.
func (s *Sidecar) putLeaving(now time.Time, leaving bool) {
	leaving = leaving || s.stopping.Load()
	was := s.leaving.Swap(leaving)
	s.settle(s.admitted.SetLeaving(now, leaving))
	s.depart(was, leaving)
}

// ServeCall implements link.Handler.
func (s *Sidecar) ServeCall(ctx context.Context, call *wire.Call, stream *link.Stream) {
	switch body := call.GetBody().(type) {
	case *wire.Call_Submit:
		s.serveSubmit(call, body.Submit, stream)
	case *wire.Call_Tombstone:
		_ = stream.Send(s.bury(body.Tombstone))
	case *wire.Call_Probe:
		_ = stream.Send(&wire.ProbeReply{
			Load:     s.Load(),
			Target:   string(s.cfg.TargetName),
			Revision: uint64(s.revision()),
			Starting: !s.confirmed(),
		})
	case *wire.Call_Served:
		s.noteServed(body.Served)
	case *wire.Call_Transfer:
		s.takeTransfer(ctx, body.Transfer, stream)
	case *wire.Call_Watch:
		s.serveRecords(call, stream)
	case *wire.Call_Push:
		s.takePush(body.Push, stream)
	}
}

// noteServed remembers which other target served a chat whose home this is.
func (s *Sidecar) noteServed(served *wire.Served) {
	s.admitted.RecordChatLocation(s.cfg.Clock.Now(), ident.ChatKey(served.GetChat()), admit.ChatLocation{
		Target: ident.TargetName(served.GetTarget()),
		Tokens: ident.Tokens(served.GetTokens()),
	})
}

// bury answers whether an attempt will never run.
func (s *Sidecar) bury(tombstone *wire.Tombstone) *wire.TombstoneReply {
	reply := &wire.TombstoneReply{Incarnation: uint64(s.cfg.Incarnation)}
	if tombstone.GetIncarnation() == reply.Incarnation {
		reply.Buried = s.attempts.Tombstone(s.cfg.Clock.Now(), ident.AttemptID(tombstone.GetAttempt()))
	}
	return reply
}

// serveRecords sends a router that is behind what it lacks.
func (s *Sidecar) serveRecords(call *wire.Call, stream *link.Stream) {
	if f := s.follower.Load(); f != nil && uint64(f.Set().Revision()) > call.GetRevision() {
		_ = stream.Send(watch.EncodeDelta(f.Set().FullDelta()))
		return
	}
	_ = stream.Send(new(wire.Update))
}

// takePush takes records from a router that is ahead.
func (s *Sidecar) takePush(update *wire.Update, stream *link.Stream) {
	// A peer's word moves the set but never the lease.
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
	s.countBroken()
	_ = level.Error(s.cfg.Logger).Log("msg", "invariant broken", "target", s.cfg.TargetName, "err", err)
}
