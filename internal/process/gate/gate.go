// Package gate implements the reverse proxy on entry VMs, which handles requests of
// any kind according to the routing document. It finds the route and the customer
// of a request, chooses a target among those that the platform lists, forwards the
// request and returns the response. The targets need no sidecar.
package gate

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/guard"
	"cactusline.dev/cactusline/internal/conn/pool"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/budget"
	"cactusline.dev/cactusline/internal/request/place"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/request/room"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/route"
)

// Defaults for the zero fields of Config.
const (
	// DefaultDrainDelay covers the load balancer's readiness checks: it checks each
	// second and stops sending connections after two failures.
	DefaultDrainDelay   = 2500 * time.Millisecond
	DefaultGracePeriod  = 8 * time.Second
	DefaultWriteTimeout = 5 * time.Second
	DefaultDenialLease  = 2 * time.Second
	// DefaultRetryRatio is half of what the platform allows, which leaves room for
	// the retries of other processes.
	DefaultRetryRatio               = 0.1
	DefaultUnearnedRetriesPerSecond = 3.0
	// retryWindow is how long earned retries are kept, in which a burst may use them.
	retryWindow = 5 * time.Second
	// defaultGateCount is the number of gates that UnearnedRetriesPerSecond is
	// divided by while the actual number is not known.
	defaultGateCount = 32
)

const (
	// maxUnconfirmedWait is how long a process waits for a quorum to confirm that
	// its document is the newest. After that it serves by the document anyway.
	maxUnconfirmedWait = 3 * time.Second
	// shutdownMargin is the part of the grace period that is reserved for the exit
	// of the process, and answerMargin the part before it in which requests that are
	// still in flight are answered.
	shutdownMargin = 300 * time.Millisecond
	answerMargin   = 200 * time.Millisecond
	// lateAfterDrain is how long after the drain a request may arrive and outlast the
	// grace period. It covers requests that the process had not read yet.
	lateAfterDrain = 400 * time.Millisecond
)

// Clock tells the time and sleeps.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config configures a Gate. Compile, Dialect, Clock and Logger are required.
// Follower is required as well, but may be set later by SetFollower.
type Config struct {
	Name   string
	Domain ident.DomainName
	// Compile compiles a routing document.
	Compile func(body []byte) (*route.Table, error)
	Dialect Dialect
	Clock   Clock
	Logger  log.Logger
	// Follower receives the document and the targets. It must call Update for each
	// update.
	Follower *watch.Follower
	// Control gets the reports of crashes; nil to report none.
	Control Control
	// Permits grants the requests to targets that limit their rates; nil if this is the
	// only gate and goes by the limits alone.
	Permits PermitSource

	// Origins tells where streams of other gates began; nil if this is the only gate.
	Origins OriginSource

	// LeavingGrace is how long a target that has said that it leaves may get requests
	// that no other target can.
	LeavingGrace time.Duration
	// DrainDelay is how long a stopping process still accepts connections after it
	// has become not ready.
	DrainDelay time.Duration
	// GracePeriod bounds the time from the start of a shutdown to the exit of the
	// process.
	GracePeriod time.Duration
	// WriteTimeout bounds one write to a caller, which may not read.
	WriteTimeout time.Duration
	// DenialLease is how long after its last confirmation by a quorum a document may deny
	// requests. Later, a newer document may allow them.
	DenialLease time.Duration
	// RetryRatio is the number of retries that one request earns.
	RetryRatio float64
	// UnearnedRetriesPerSecond is the number of retries per second that all gates
	// together may make without having earned them.
	UnearnedRetriesPerSecond float64
	// Guard bounds the memory and the descriptors that callers take; nil for the defaults.
	Guard *guard.Budget
	Pool  pool.Config
}

// Gate forwards the requests of callers to targets.
type Gate struct {
	cfg      Config
	balancer *place.Balancer
	pool     *pool.Pool
	budget   *budget.Budget
	crashes  crashDetector
	reporter *crashReporter
	suspects *suspects
	permits  *permitClient
	origins  *streamOrigins
	room     room.Controller
	timeouts routeTimeouts
	// gateCount is the number of gates of the fleet.
	gateCount atomic.Uint32
	// survivals is what this gate saw of targets that survive parts of prompts.
	survivals survivalLog

	routeTable atomic.Pointer[route.Table]
	// firstDocumentAt is when the first document was received.
	firstDocumentAt atomic.Pointer[time.Time]
	// mayServe is set once the first document is confirmed or maxUnconfirmedWait has
	// passed, and never reset.
	mayServe atomic.Bool
	// started is set once the process has a document and targets, and never reset. Until
	// then requests wait in startup.
	started  atomic.Bool
	startup  startupWaiters
	stopping atomic.Bool
	// shutdown is nil until the process stops.
	shutdown atomic.Pointer[shutdownTimes]

	// lastReport holds the loads that were reported last.
	lastReport struct {
		sync.Mutex
		loads *wire.TargetLoads
	}
	server callerServer
}

// New returns a gate, which serves once Run is called.
func New(cfg Config) *Gate {
	if cfg.DrainDelay == 0 {
		cfg.DrainDelay = DefaultDrainDelay
	}
	if cfg.GracePeriod == 0 {
		cfg.GracePeriod = DefaultGracePeriod
	}
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = DefaultWriteTimeout
	}
	if cfg.DenialLease == 0 {
		cfg.DenialLease = DefaultDenialLease
	}
	if cfg.RetryRatio == 0 {
		cfg.RetryRatio = DefaultRetryRatio
	}
	if cfg.UnearnedRetriesPerSecond == 0 {
		cfg.UnearnedRetriesPerSecond = DefaultUnearnedRetriesPerSecond
	}
	if cfg.Guard == nil {
		cfg.Guard = guard.New(guard.Config{FDsPerConn: FDsPerRequest, Logger: cfg.Logger})
	}
	cfg.Pool.Clock = cfg.Clock
	g := &Gate{
		cfg:      cfg,
		permits:  newPermitClient(),
		origins:  newStreamOrigins(),
		balancer: place.NewBalancer(place.Config{Name: cfg.Name, Domain: cfg.Domain, LeavingGrace: cfg.LeavingGrace}),
		pool:     pool.New(cfg.Pool),
		server:   callerServer{clock: cfg.Clock, guard: cfg.Guard},
		reporter: newCrashReporter(cfg.Logger),
		suspects: newSuspects(),
		budget: budget.New(budget.Config{
			RetryRatio: cfg.RetryRatio, Window: retryWindow, PoolRate: cfg.UnearnedRetriesPerSecond / defaultGateCount,
		}),
	}
	g.gateCount.Store(defaultGateCount)
	return g
}

// SetFollower sets the follower. It must be called before Update and Run. The
// follower can be created only after the gate, since it calls Update and Loads.
func (g *Gate) SetFollower(follower *watch.Follower) { g.cfg.Follower = follower }

// Update applies an update that the follower has received.
func (g *Gate) Update(update *wire.Update) {
	now := g.cfg.Clock.Now()
	if update.GetEvacuationsSet() {
		g.updateEvacuations(now, update)
	}
	if update.GetDocument() != nil {
		g.updateDocument(now)
	}
	if update.GetRoster() != nil {
		source, targets := g.cfg.Follower.Targets()
		g.balancer.Update(now, source, targets)
		g.pool.CloseIdleExcept(g.balancer.Addresses())
	}
	if update.GetVerdictsSet() {
		g.updateVerdicts(watch.DecodeVerdicts(update.GetVerdicts()))
	}
	g.updateRateLimits(now, update)
	if gates := update.GetRouters(); gates > 0 {
		g.gateCount.Store(gates)
		g.budget.SetPoolRate(g.cfg.UnearnedRetriesPerSecond / float64(gates))
	}
	if loads := update.GetLoads(); loads != nil {
		g.balancer.SetRemoteLoads(now, loads)
	}
	if silence := update.GetSilence(); silence != nil {
		g.balancer.SetSilent(now, silence)
	}
}

// updateVerdicts applies control's list of verdicts, and reports what this gate saw of
// the parts of prompts in it.
func (g *Gate) updateVerdicts(verdicts []poison.VerdictChange) {
	g.suspects.replaceFleet(g.cfg.Clock.Now(), verdicts)
	for _, verdict := range verdicts {
		if verdict.Part.Depth > 0 {
			g.reportSurvival(verdict.Fingerprint)
		}
	}
}

// updateDocument compiles the follower's document and serves by it if it is newer
// than the current one.
func (g *Gate) updateDocument(now time.Time) {
	version, body := g.cfg.Follower.Document()
	current := g.routeTable.Load()
	if current != nil && current.Version() >= version {
		return
	}
	table, err := g.cfg.Compile(body)
	if err != nil {
		_ = level.Error(g.cfg.Logger).Log("msg", "routing document failed to compile", "version", version, "err", err)
		return
	}
	g.timeouts.replaced(now, current, table)
	g.balancer.SetColdness(coldnessOf(table))
	g.routeTable.Store(table)
	g.firstDocumentAt.CompareAndSwap(nil, &now)
	g.server.setLimits(table.Limits())
	_ = level.Info(g.cfg.Logger).Log("msg", "routing document applied", "version", version)
}

// servingTable returns the route table to serve by. It returns nil if there is no
// document yet, or until a quorum has confirmed the document or maxUnconfirmedWait
// has passed since the first one.
func (g *Gate) servingTable() *route.Table {
	table := g.routeTable.Load()
	if table == nil || g.mayServe.Load() {
		return table
	}
	firstAt := g.firstDocumentAt.Load()
	if !g.cfg.Follower.Confirmed() && (firstAt == nil || g.cfg.Clock.Now().Sub(*firstAt) < maxUnconfirmedWait) {
		return nil
	}
	g.mayServe.Store(true)
	return table
}

// mayDeny reports whether a route table may deny requests: a quorum has confirmed the
// follower's document within DenialLease, and the table is of that document.
func (g *Gate) mayDeny(table *route.Table) bool {
	age, confirmed := g.cfg.Follower.ConfirmedAge()
	version, _ := g.cfg.Follower.Document()
	return confirmed && age <= g.cfg.DenialLease && table.Version() >= version
}

// Ready reports whether this process should get requests.
func (g *Gate) Ready() bool {
	return !g.stopping.Load() && g.servingTable() != nil && g.balancer.TargetCount() > 0
}

// Run serves callers and readiness checks until ctx ends. It then shuts down
// gracefully: the readiness check fails, and after DrainDelay it stops accepting
// connections and waits for the requests in flight until GracePeriod ends. Requests
// that are in flight then are answered as of unknown outcome.
func (g *Gate) Run(ctx context.Context, callerListener, readinessListener net.Listener) error {
	g.registerMetrics()
	g.cfg.Guard.RegisterMetrics()
	readinessServer := &http.Server{
		Handler: guard.Handler(g.readinessHandler()), ReadHeaderTimeout: defaultHeaderTimeout, IdleTimeout: defaultIdleTimeout, ConnContext: guard.ConnContext, ConnState: guard.ConnState,
	}
	go func() { _ = readinessServer.Serve(g.cfg.Guard.Listener(readinessListener)) }()
	requestCtx, endRequests := context.WithCancelCause(context.WithoutCancel(ctx))
	defer endRequests(nil)
	go g.server.serve(requestCtx, callerListener, g)
	// Reports continue while the process stops, for the requests in flight.
	reportCtx, stopReports := context.WithCancel(context.WithoutCancel(ctx))
	defer stopReports()
	if g.cfg.Control != nil {
		go g.reportCrashes(reportCtx)
	}
	if g.cfg.Permits != nil {
		go g.reportRateLimits(reportCtx)
	}
	<-ctx.Done()
	return g.stop(ctx, readinessServer, endRequests)
}

func (g *Gate) readinessHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+g.cfg.Dialect.ReadyPath(), func(w http.ResponseWriter, _ *http.Request) {
		if !g.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
	})
	return mux
}

// registerMetrics registers the gauges of the gate.
func (g *Gate) registerMetrics() {
	metrics.GetOrCreateGauge("cactusline_document_version", func() float64 {
		if table := g.routeTable.Load(); table != nil {
			return float64(table.Version())
		}
		return 0
	})
	metrics.GetOrCreateGauge("cactusline_document_confirmed_age_seconds", func() float64 {
		if age, confirmed := g.cfg.Follower.ConfirmedAge(); confirmed {
			return age.Seconds()
		}
		return math.Inf(1)
	})
	metrics.GetOrCreateGauge("cactusline_targets_listed", func() float64 { return float64(g.balancer.TargetCount()) })
	metrics.GetOrCreateGauge("cactusline_targets_usable", func() float64 {
		return float64(g.balancer.UsableCount(g.cfg.Clock.Now()))
	})
	metrics.GetOrCreateGauge("cactusline_targets_silent", func() float64 {
		return float64(g.balancer.SilentCount(g.cfg.Clock.Now()))
	})
	metrics.GetOrCreateGauge("cactusline_targets_limited", func() float64 { return float64(g.balancer.LimitedCount()) })
	metrics.GetOrCreateGauge("cactusline_targets_cold", func() float64 { return float64(g.balancer.ColdCount(g.cfg.Clock.Now())) })
	metrics.GetOrCreateGauge("cactusline_targets_announced_leaving", func() float64 { return float64(g.countNotices(isLeaving)) })
	metrics.GetOrCreateGauge("cactusline_evacuated_domains", func() float64 { return float64(g.balancer.EvacuatedCount()) })
	metrics.GetOrCreateGauge("cactusline_targets_paused", func() float64 { return float64(g.countNotices(isPaused)) })
	metrics.GetOrCreateGauge("cactusline_targets_slow", func() float64 { return float64(g.balancer.SlowCount(g.cfg.Clock.Now())) })
	metrics.GetOrCreateGauge("cactusline_quarantines", func() float64 { return float64(g.suspects.fleet.CountQuarantined()) })
	metrics.GetOrCreateGauge("cactusline_ready", func() float64 {
		if g.Ready() {
			return 1
		}
		return 0
	})
}

const (
	// A rejected caller is told to retry after minRetryAfter plus a random part of
	// retryAfterJitter, so that callers do not retry at the same time.
	minRetryAfter    = 150 * time.Millisecond
	retryAfterJitter = 350 * time.Millisecond
	// startupRetryAfter is added while this process has no document, or none that is
	// confirmed. After a power loss the control processes first elect a leader, which then
	// sends the document.
	startupRetryAfter = 700 * time.Millisecond
)

// randomRetryAfter returns how long a rejected caller is told to wait.
func randomRetryAfter() time.Duration { return minRetryAfter + rand.N(retryAfterJitter) }

// splitList splits a comma-separated list and trims its items.
func splitList(text string) []string {
	items := strings.Split(text, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}
