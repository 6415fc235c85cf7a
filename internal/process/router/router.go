// Package router implements the router role: it accepts callers' requests, chooses a
// target for each and relays the answer.
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

	"cactusline.dev/cactusline/internal/conn/guard"
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

// Default limits and timeouts.
const (
	// DefaultBodyLimit is the maximum size of a request body.
	DefaultBodyLimit ident.Bytes = 8 << 20
	// maxStoredAnswer is the maximum size of an answer stored in the ledger.
	maxStoredAnswer ident.Bytes = 16 << 10
	// DefaultRequestTimeout applies to routes that set no timeout.
	DefaultRequestTimeout = 10 * time.Minute
	// startupRetryAfter is the Retry-After of requests that are rejected while
	// the router starts.
	startupRetryAfter = time.Second
)

// Clock is the clock that the package uses.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config configures a Router.
type Config struct {
	// Process is this router's name, the prefix of its request IDs. It must be
	// unique in the fleet and across restarts.
	Process string
	// Domain is this router's failure domain.
	Domain ident.DomainName
	// Listener accepts callers' connections, with TLS if that is set.
	Listener net.Listener
	TLS      *tls.Config
	// Clock and Logger are required.
	Clock  Clock
	Logger log.Logger
	// Tracer starts a span for each request and attempt. It is required.
	Tracer *trace.Tracer
	// Link makes calls to sidecars and control processes.
	Link *link.Client
	// Control proposes commands to the control processes.
	Control *remote.Client
	// Follower receives the records from control.
	Follower *watch.Follower
	// Seed seeds the random generators for jitter and probe targets, together
	// with the time, so that runs of a router with the same seed still differ.
	Seed uint64
	// BodyLimit is the maximum size of a request body; 0 means
	// DefaultBodyLimit.
	BodyLimit ident.Bytes
	// Guard bounds what callers can take of memory and descriptors; nil for no bound.
	Guard *guard.Budget
	// HedgeAfter is how long to wait for the first byte of a chat's answer before
	// sending a hedge to a second target; 0 disables hedging.
	HedgeAfter time.Duration
	// OnRequestEnded is called with the record of each request that has ended,
	// if not nil.
	OnRequestEnded func(*tries.Record)
	// DrainDelay is how long a stopping router still accepts requests, while the
	// load balancer learns that it is not ready.
	DrainDelay time.Duration
	// DrainTimeout bounds the wait for requests in flight; 0 means no limit.
	DrainTimeout time.Duration
}

// Router routes callers' requests to targets.
type Router struct {
	cfg           Config
	view          *view
	retryBudget   *budget.Budget
	crashVerdicts poison.VerdictSet
	relayConfig   relay.Config
	requestIDs    requestIDs
	random        lockedRand
	limits        limit.Limiter
	startupWait   startupWait
	// routerCount is the number of routers in the fleet; zero if not known yet.
	routerCount atomic.Uint32
}

// New returns a router. Run starts it. Update must be called with each update that
// cfg.Follower receives.
func New(cfg Config) *Router {
	if cfg.BodyLimit == 0 {
		cfg.BodyLimit = DefaultBodyLimit
	}
	r := &Router{
		cfg:         cfg,
		view:        newView(cfg),
		retryBudget: budget.New(budget.Config{}),
		random:      lockedRand{source: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Clock.Now().UnixNano())))},
	}
	r.requestIDs.prefix = cfg.Process
	r.relayConfig = relay.Config{
		Clock:            cfg.Clock,
		Tracer:           cfg.Tracer,
		Links:            cfg.Link,
		Directory:        r.view,
		Ledger:           &ledger{control: cfg.Control, process: cfg.Process, logger: cfg.Logger},
		MaxRecordedBytes: maxStoredAnswer,
	}
	return r
}

// Update applies an update from control.
func (r *Router) Update(update *wire.Update, set *record.Set) {
	r.view.rebuild(set)
	if update.GetRouters() > 0 {
		r.routerCount.Store(update.GetRouters())
	}
	if update.GetVerdictsSet() {
		r.crashVerdicts.Replace(watch.DecodeVerdicts(update.GetVerdicts()))
	}
}

// Handler returns the HTTP handler for callers.
func (r *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+chatPath, r.traceAndAdmit(r.serveChat))
	mux.HandleFunc("GET /v1/models", r.serveModels)
	mux.HandleFunc("/services/{service}/{path...}", r.traceAndAdmit(r.serveService))
	return mux
}

// traceAndAdmit returns a handler that runs serve in a span, as a child of the caller's
// trace if it sent one. It rejects all requests until a quorum has confirmed the
// records at least once since the router started.
func (r *Router) traceAndAdmit(serve http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		ctx, span := r.cfg.Tracer.Start(req.Context(), req.Header.Get(trace.Header), "router.request",
			attribute.String("request", string(httpd.RequestID(req.Context()))))
		defer span.End()
		if !r.cfg.Follower.Confirmed() {
			apiErr := notRunError(http.StatusServiceUnavailable, codeNotReady, "this router is still starting")
			apiErr.RetryAfter = httpd.Delay(startupRetryAfter)
			rejectBeforeClaim(w, req, apiErr)
			return
		}
		serve(w, req.WithContext(ctx))
	}
}

// Run serves callers until ctx ends, and then waits for the requests in flight.
func (r *Router) Run(ctx context.Context) error {
	probing, stopProbing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopProbing()
	go r.view.runProbes(probing)
	go r.awaitTarget(probing)
	server := httpd.New(httpd.Config{
		Handler:      r.Handler(),
		TLS:          r.cfg.TLS,
		BodyLimit:    r.cfg.BodyLimit,
		DrainDelay:   r.cfg.DrainDelay,
		DrainTimeout: r.cfg.DrainTimeout,
		Ready:        r.ready,
		NewID:        r.requestIDs.next,
		Guard:        r.cfg.Guard,
		Logger:       r.cfg.Logger,
	})
	_ = level.Info(r.cfg.Logger).Log("msg", "router serving", "address", r.cfg.Listener.Addr())
	if err := server.Serve(ctx, r.cfg.Listener); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// errNoLease makes a router unready when its records may be out of date, since no
// quorum has confirmed them within the lease time of cfg.Follower.
var errNoLease = errors.New("no quorum has confirmed the records recently")

// ready returns nil if the router may receive requests, or why it may not. The
// readiness endpoint reports it to the load balancer.
func (r *Router) ready() error {
	if !r.cfg.Follower.HasLease() {
		return errNoLease
	}
	if !r.startupWait.done.Load() {
		return errNoTargetYet
	}
	return nil
}

// lockedRand is a random source that is safe for concurrent use.
type lockedRand struct {
	mu     sync.Mutex
	source *rand.Rand
}

// fork returns a new generator, seeded from the source, for use by one goroutine.
func (l *lockedRand) fork() *rand.Rand {
	l.mu.Lock()
	defer l.mu.Unlock()
	return rand.New(rand.NewPCG(l.source.Uint64(), l.source.Uint64()))
}
