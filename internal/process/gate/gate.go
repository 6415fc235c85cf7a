// Package gate is the role on entry VMs that takes requests of any kind by the
// routing document: it finds the route and the customer, chooses a target
// among those that the platform lists, and carries the request there and the
// answer back. It needs no process beside the target.
package gate

import (
	"context"
	"fmt"
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

	"cactusline.dev/cactusline/internal/conn/pool"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/budget"
	"cactusline.dev/cactusline/internal/request/place"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/route"
)

// Defaults of Config.
const (
	// DefaultDrainDelay is how long a stopping process takes new connections:
	// the balancer asks each second and sends none after two refusals.
	DefaultDrainDelay = 2500 * time.Millisecond
	// DefaultGrace is how long it may take to stop.
	DefaultGrace = 8 * time.Second
	// DefaultWriteTimeout bounds one write to a caller that does not read.
	DefaultWriteTimeout = 5 * time.Second
	// DefaultRetryShare is the number of repeats that one request earns; half
	// of what the platform allows leaves room for what other processes send.
	DefaultRetryShare = 0.1
	// DefaultRetryRate is the repeats a second of all gates that need not be
	// earned.
	DefaultRetryRate = 3.0
	// usualGates is the number of gates over which these are spread while it is
	// not known how many there are.
	usualGates = 32
)

const (
	// unconfirmedLimit is how long a process waits for a quorum's word that its
	// document is the newest before it serves without.
	unconfirmedLimit = 3 * time.Second
	// stopMargin is left of the grace for the end of the process.
	stopMargin = 300 * time.Millisecond
)

// Clock is what the package needs of a clock.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config makes a Gate. Compile, Dialect, Clock, Logger and Follower are
// required.
type Config struct {
	Name   string
	Domain ident.DomainName
	// Compile reads a routing document.
	Compile func(body []byte) (*route.Table, error)
	Dialect Dialect
	Clock   Clock
	Logger  log.Logger
	// Follower brings the document and the targets; its OnUpdate is Update.
	Follower *watch.Follower

	DrainDelay   time.Duration
	GracePeriod  time.Duration
	WriteTimeout time.Duration
	// RetryRatio is the number of repeats that a request earns, and RetryRate
	// the repeats a second of all gates that need not be earned.
	RetryRatio          float64
	MinRetriesPerSecond float64
	Pool                pool.Config
}

// Gate serves callers.
type Gate struct {
	cfg    Config
	field  *place.Field
	pool   *pool.Pool
	budget *budget.Budget

	table atomic.Pointer[route.Table]
	// firstAt is when the first document came.
	firstAt   atomic.Pointer[time.Time]
	confirmed atomic.Bool
	stopping  atomic.Bool

	reported struct {
		sync.Mutex
		loads *wire.TargetLoads
	}
	front frontServer
}

// New returns a gate; Run serves.
func New(cfg Config) *Gate {
	if cfg.DrainDelay == 0 {
		cfg.DrainDelay = DefaultDrainDelay
	}
	if cfg.GracePeriod == 0 {
		cfg.GracePeriod = DefaultGrace
	}
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = DefaultWriteTimeout
	}
	if cfg.RetryRatio == 0 {
		cfg.RetryRatio = DefaultRetryShare
	}
	if cfg.MinRetriesPerSecond == 0 {
		cfg.MinRetriesPerSecond = DefaultRetryRate
	}
	cfg.Pool.Clock = cfg.Clock
	return &Gate{
		cfg:    cfg,
		field:  place.NewField(place.Config{Name: cfg.Name, Domain: cfg.Domain}),
		pool:   pool.New(cfg.Pool),
		front:  frontServer{clock: cfg.Clock},
		budget: budget.New(budget.Config{Share: cfg.RetryRatio, PoolRate: cfg.MinRetriesPerSecond / usualGates}),
	}
}

// SetFollower sets the follower, which is made with Update and Loads of the gate.
func (g *Gate) SetFollower(follower *watch.Follower) { g.cfg.Follower = follower }

// Update puts what the follower has taken in force.
func (g *Gate) Update(update *wire.Update) {
	now := g.cfg.Clock.Now()
	if update.GetDocument() != nil {
		g.takeDocument(now)
	}
	if update.GetRoster() != nil {
		source, targets := g.cfg.Follower.Targets()
		g.field.Update(now, source, targets)
		g.pool.Retain(g.field.Addresses())
	}
	if gates := update.GetRouters(); gates > 0 {
		g.budget.SetPoolRate(g.cfg.MinRetriesPerSecond / float64(gates))
	}
	if loads := update.GetLoads(); loads != nil {
		g.field.TakeLoads(loads)
	}
}

func (g *Gate) takeDocument(now time.Time) {
	version, body := g.cfg.Follower.Document()
	held := g.table.Load()
	if held != nil && held.Version() >= version {
		return
	}
	table, err := g.cfg.Compile(body)
	if err != nil {
		_ = level.Error(g.cfg.Logger).Log("msg", "document not understood", "version", version, "err", err)
		return
	}
	g.table.Store(table)
	g.firstAt.CompareAndSwap(nil, &now)
	g.front.limit(table.Limits())
	_ = level.Info(g.cfg.Logger).Log("msg", "document in force", "version", version)
}

// Loads returns what this process has in flight, nil if that is as it was
// when last asked, unless a fresh report is wanted.
func (g *Gate) Loads(fresh bool) *wire.TargetLoads {
	loads := g.field.Loads()
	g.reported.Lock()
	defer g.reported.Unlock()
	if !fresh && sameLoads(loads, g.reported.loads) {
		return nil
	}
	g.reported.loads = loads
	return loads
}

func sameLoads(a, b *wire.TargetLoads) bool {
	if b == nil || a.GetRosterSource() != b.GetRosterSource() || len(a.GetTargets()) != len(b.GetTargets()) {
		return false
	}
	loads := make(map[uint32]uint32, len(a.GetTargets()))
	for i, number := range a.GetTargets() {
		loads[number] = a.GetRequests()[i]
	}
	for i, number := range b.GetTargets() {
		if requests, found := loads[number]; !found || requests != b.GetRequests()[i] {
			return false
		}
	}
	return true
}

// inForce returns the table to serve by, nil while it is not known to be one
// that may be served by.
func (g *Gate) inForce() *route.Table {
	table := g.table.Load()
	if table == nil || g.confirmed.Load() {
		return table
	}
	first := g.firstAt.Load()
	if !g.cfg.Follower.Confirmed() && (first == nil || g.cfg.Clock.Now().Sub(*first) < unconfirmedLimit) {
		return nil
	}
	g.confirmed.Store(true)
	return table
}

// Ready reports whether the process takes callers.
func (g *Gate) Ready() bool {
	return !g.stopping.Load() && g.inForce() != nil && g.field.Len() > 0
}

// Run serves callers, and the balancer's question, until ctx ends and the
// requests in flight are answered or the grace is over.
func (g *Gate) Run(ctx context.Context, callers, ready net.Listener) error {
	g.measure()
	readiness := &http.Server{Handler: g.readiness(), ReadHeaderTimeout: defaultHeaderTimeout}
	go func() { _ = readiness.Serve(ready) }()
	go g.front.serve(callers, g)
	<-ctx.Done()
	_ = level.Info(g.cfg.Logger).Log("msg", "stopping", "grace", g.cfg.GracePeriod)
	// The end of ctx is what starts the stop, so that its steps need another.
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), g.cfg.GracePeriod-stopMargin)
	defer cancel()
	g.stopping.Store(true)
	_ = g.cfg.Clock.Sleep(stop, g.cfg.DrainDelay)
	awaitPace(stop, g.cfg.Clock)
	err := g.front.shutdown(stop)
	_ = readiness.Close()
	_ = level.Info(g.cfg.Logger).Log("msg", "stopped", "err", err)
	if err != nil {
		return fmt.Errorf("stop with requests in flight: %w", err)
	}
	return nil
}

func (g *Gate) readiness() http.Handler {
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

// measure publishes what the gate holds.
func (g *Gate) measure() {
	metrics.GetOrCreateGauge("cactusline_document_version", func() float64 {
		if table := g.table.Load(); table != nil {
			return float64(table.Version())
		}
		return 0
	})
	metrics.GetOrCreateGauge("cactusline_targets_listed", func() float64 { return float64(g.field.Len()) })
	metrics.GetOrCreateGauge("cactusline_targets_usable", func() float64 {
		return float64(g.field.Usable(g.cfg.Clock.Now()))
	})
	metrics.GetOrCreateGauge("cactusline_ready", func() float64 {
		if g.Ready() {
			return 1
		}
		return 0
	})
}

const (
	// A refused caller may come back after soonest plus a part of spread, so
	// that callers don't come back together.
	soonest = 150 * time.Millisecond
	spread  = 350 * time.Millisecond
	// startTime is what a process that has no document yet asks for besides: a
	// group that has lost power elects a leader and feeds the gates in it.
	startTime = 700 * time.Millisecond
)

// comeBack draws when a refused caller may ask again.
func comeBack() time.Duration { return soonest + rand.N(spread) }

func splitList(text string) []string {
	parts := strings.Split(text, ",")
	for i := range parts {
		parts[i] = strings.TrimSpace(parts[i])
	}
	return parts
}
