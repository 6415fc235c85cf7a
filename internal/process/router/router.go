// Package router is the router role: it takes the callers' requests, chooses
// where each one runs and relays the answer.
package router

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"go.opentelemetry.io/otel/attribute"

	"cactusline.dev/cactusline/internal/conn/httpd"
	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/request/budget"
	"cactusline.dev/cactusline/internal/request/limit"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/request/relay"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// Defaults of Config.
const (
	DefaultBodyLimit      ident.Bytes = 8 << 20
	DefaultRecordedLimit  ident.Bytes = 16 << 10
	DefaultRequestTimeout             = 10 * time.Minute

	// startRetryAfter is when callers of a router that has just started may
	// come back.
	startRetryAfter = time.Second
)

// Clock is what the package needs of a clock.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config makes a Router.
type Config struct {
	// Process names this router, unique in the fleet and over restarts, since
	// the ids of its requests start with it.
	Process string
	// Domain is this router's failure domain.
	Domain ident.DomainName
	// Listener takes callers, over TLS if that is set.
	Listener net.Listener
	TLS      *tls.Config
	// Clock and Logger are required.
	Clock  Clock
	Logger log.Logger
	// Tracer starts a span for each request and attempt; required.
	Tracer *trace.Tracer
	// Link carries the calls to sidecars and control.
	Link *link.Client
	// Control asks the control processes.
	Control *remote.Client
	// Follower holds the records.
	Follower *watch.Follower
	// Seed draws jitter and probes.
	Seed uint64
	// BodyLimit bounds a request's body.
	BodyLimit ident.Bytes
	// HedgeAfter is the wait for a chat's first byte after which it is sent to a
	// second target as well; 0 means never.
	HedgeAfter time.Duration
	// Decided takes the record of each request that has ended; nil drops them.
	Decided func(*tries.Record)
	// DrainDelay is how long a stopping router still takes callers while the
	// balancer learns that it is not ready.
	DrainDelay time.Duration
	// DrainTimeout bounds the wait for requests in flight; 0 for no bound.
	DrainTimeout time.Duration
}

// Router serves callers.
type Router struct {
	cfg      Config
	view     *view
	budget   *budget.Budget
	poisoned poison.VerdictSet
	relay    relay.Config
	requests requestNames
	random   lockedRand
	limits   limit.Limiter
	start    start
	// routers counts the routers of the fleet; zero if not known yet.
	routers atomic.Uint32
}

// New returns a router. Run starts it; Update must be called with what the
// follower takes.
func New(cfg Config) *Router {
	if cfg.BodyLimit == 0 {
		cfg.BodyLimit = DefaultBodyLimit
	}
	r := &Router{
		cfg:    cfg,
		view:   newView(cfg),
		budget: budget.New(budget.Config{}),
		random: lockedRand{source: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Clock.Now().UnixNano())))},
	}
	r.requests.prefix = cfg.Process
	r.relay = relay.Config{
		Clock:            cfg.Clock,
		Tracer:           cfg.Tracer,
		Links:            cfg.Link,
		Directory:        r.view,
		Ledger:           &ledger{control: cfg.Control, process: cfg.Process, logger: cfg.Logger},
		MaxRecordedBytes: DefaultRecordedLimit,
	}
	return r
}

// Update takes news from control.
func (r *Router) Update(update *wire.Update, set *record.Set) {
	r.view.rebuild(set)
	if update.GetRouters() > 0 {
		r.routers.Store(update.GetRouters())
	}
	if update.GetVerdictsSet() {
		r.poisoned.Replace(watch.DecodeVerdicts(update.GetVerdicts()))
	}
}

// Handler returns the callers' interface.
func (r *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+chatPath, r.traced(r.serveChat))
	mux.HandleFunc("GET /v1/models", r.serveModels)
	mux.HandleFunc("/services/{service}/{path...}", r.traced(r.serveService))
	return mux
}

// traced gives each request a span, which goes on from the caller's trace if
// it sent one. A router that has just started refuses all of them.
func (r *Router) traced(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		ctx, span := r.cfg.Tracer.Start(req.Context(), req.Header.Get(trace.Header), "router.request",
			attribute.String("request", string(httpd.RequestID(req.Context()))))
		defer span.End()
		if !r.cfg.Follower.Confirmed() {
			failed := refusal(http.StatusServiceUnavailable, codeNotReady, "this router has just started")
			failed.RetryAfter = httpd.Delay(startRetryAfter)
			writeEarly(w, req, failed)
			return
		}
		serve(w, req.WithContext(ctx))
	}
}

// Run serves callers until ctx ends, then lets the requests in flight finish.
func (r *Router) Run(ctx context.Context) error {
	probing, stopProbing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopProbing()
	go r.view.probe(probing)
	go r.awaitTarget(probing)
	server := httpd.New(httpd.Config{
		Handler:      r.Handler(),
		TLS:          r.cfg.TLS,
		BodyLimit:    r.cfg.BodyLimit,
		DrainDelay:   r.cfg.DrainDelay,
		DrainTimeout: r.cfg.DrainTimeout,
		Ready:        r.ready,
		NewID:        r.requests.next,
		Logger:       r.cfg.Logger,
	})
	_ = level.Info(r.cfg.Logger).Log("msg", "router serves", "address", r.cfg.Listener.Addr())
	if err := server.Serve(ctx, r.cfg.Listener); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// errNotLeased is why a router that no quorum vouches for gets no callers.
var errNotLeased = errors.New("no quorum has confirmed the records lately")

// ready tells the balancer whether this router may get callers.
func (r *Router) ready() error {
	if !r.cfg.Follower.HasLease() {
		return errNotLeased
	}
	if !r.start.reached.Load() {
		return errNoTargetYet
	}
	return nil
}

// lockedRand draws numbers for several goroutines.
type lockedRand struct {
	mu     sync.Mutex
	source *rand.Rand
}

// fork returns a generator for one request.
func (l *lockedRand) fork() *rand.Rand {
	l.mu.Lock()
	defer l.mu.Unlock()
	return rand.New(rand.NewPCG(l.source.Uint64(), l.source.Uint64()))
}
