// Package router is the router role: it takes the callers' requests, chooses
// where each one runs and relays the answer.
package router

import (
	"context"
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
	DefaultRecordedLimit  ident.Bytes = 256 << 10
	DefaultRequestTimeout             = 10 * time.Minute

	headerTimeout   = 10 * time.Second
	headerLimit     = 64 << 10
	idleConnTimeout = 2 * time.Minute
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
	// Listener takes callers.
	Listener net.Listener
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
	poisoned poison.Set
	relay    relay.Config
	requests requestNames
	random   lockedRand
	stopping atomic.Bool
	limits   limit.Limiter
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
		r.poisoned.Replace(watch.Verdicts(update.GetVerdicts()))
	}
}

// Handler returns the callers' interface.
func (r *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", r.traced(r.serveChat))
	mux.HandleFunc("GET /v1/models", r.serveModels)
	mux.HandleFunc("/services/{service}/{path...}", r.traced(r.serveService))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /readyz", r.serveReady)
	return mux
}

// traced gives each request an id and a span, which goes on from the caller's
// trace if it sent one. A router that has just started refuses all of them.
func (r *Router) traced(serve func(http.ResponseWriter, *http.Request, ident.RequestID)) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		id := r.requests.next()
		w.Header().Set(headerRequest, string(id))
		ctx, span := r.cfg.Tracer.Start(req.Context(), req.Header.Get(trace.Header), "router.request",
			attribute.String("request", string(id)))
		defer span.End()
		if !r.cfg.Follower.Confirmed() {
			failed := refusal(http.StatusServiceUnavailable, codeNotReady, "this router has just started")
			failed.retryAfter = startRetryAfter
			failed.write(w, id)
			return
		}
		serve(w, req.WithContext(ctx), id)
	}
}

// Run serves callers until ctx ends, then lets the requests in flight finish.
func (r *Router) Run(ctx context.Context) error {
	server := &http.Server{
		Handler:           r.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleConnTimeout,
		MaxHeaderBytes:    headerLimit,
	}
	finished := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { finished <- r.shutDown(ctx, server) })
	defer stop()
	probing, stopProbing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopProbing()
	go r.view.probe(probing)
	_ = level.Info(r.cfg.Logger).Log("msg", "router serves", "address", r.cfg.Listener.Addr())
	if err := server.Serve(r.cfg.Listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve callers: %w", err)
	}
	if err := <-finished; err != nil {
		return fmt.Errorf("finish requests: %w", err)
	}
	return nil
}

// shutDown says that the router is not ready, gives the balancer time to see
// it, closes the listener and lets the requests in flight finish.
func (r *Router) shutDown(ctx context.Context, server *http.Server) error {
	r.stopping.Store(true)
	_ = level.Info(r.cfg.Logger).Log("msg", "router finishes its requests")
	ctx = context.WithoutCancel(ctx)
	_ = r.cfg.Clock.Sleep(ctx, r.cfg.DrainDelay)
	if r.cfg.DrainTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.cfg.DrainTimeout)
		defer cancel()
	}
	if err := server.Shutdown(ctx); err != nil {
		return fmt.Errorf("requests still in flight: %w", err)
	}
	return nil
}

// serveReady tells the balancer whether this router may get callers.
func (r *Router) serveReady(w http.ResponseWriter, _ *http.Request) {
	if r.stopping.Load() || !r.cfg.Follower.Leased() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
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
