package gate

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"cactusline.dev/cactusline/internal/version/route"
)

const (
	// maxStartupWait bounds how long a request waits for a process that has just started
	// to be able to serve, and startupWaitShare is the part of its timeout that it may
	// wait. After a power loss, control has a leader again within some hundred
	// milliseconds of the first starts, and a request that waits for that is served within
	// its objective. One that is rejected comes back later than that.
	maxStartupWait   = 400 * time.Millisecond
	startupWaitShare = 4
	// maxStartupWaiters bounds the memory of requests that wait.
	maxStartupWaiters = 256
	// startupCheckInterval is the interval at which the process checks whether it can
	// serve.
	startupCheckInterval = 10 * time.Millisecond
)

// startupWaiters are the requests that wait until this process can serve.
type startupWaiters struct {
	mu    sync.Mutex
	count int
	// ready is closed once the process can serve or no request waits; nil while none does.
	ready chan struct{}
}

// join counts a waiting request and returns the channel that it waits for, and whether it
// is the first. It returns nil if too many wait.
func (w *startupWaiters) join() (ready chan struct{}, first bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.count >= maxStartupWaiters {
		return nil, false
	}
	w.count++
	if w.ready == nil {
		w.ready, first = make(chan struct{}), true
	}
	return w.ready, first
}

func (w *startupWaiters) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.count--
}

// end closes the channel if the process can serve or if no request waits any more, and
// reports whether it did.
func (w *startupWaiters) end(canServe bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !canServe && w.count > 0 {
		return false
	}
	close(w.ready)
	w.ready = nil
	return true
}

// canServe reports whether this process has a document and targets.
func (g *Gate) canServe() bool { return g.servingTable() != nil && g.balancer.TargetCount() > 0 }

// awaitStartup returns the route table to serve by. If there is none yet, because the
// process has just started, it waits for a part of the request's timeout.
func (g *Gate) awaitStartup(ctx context.Context, timeout time.Duration) *route.Table {
	if g.started.Load() || g.canServe() {
		g.started.Store(true)
		return g.servingTable()
	}
	ready, first := g.startup.join()
	if ready == nil {
		return nil
	}
	defer g.startup.leave()
	if first {
		go g.checkStartup(context.WithoutCancel(ctx))
	}
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, min(timeout/startupWaitShare, maxStartupWait))
	defer cancel()
	metrics.GetOrCreateCounter("cactusline_startup_waits_total").Inc()
	select {
	case <-ready:
	case <-ctx.Done():
	}
	return g.servingTable()
}

// checkStartup checks whether this process can serve, until it can or no request waits.
func (g *Gate) checkStartup(ctx context.Context) {
	for !g.startup.end(g.canServe()) {
		_ = g.cfg.Clock.Sleep(ctx, startupCheckInterval)
	}
}
