package ctrl

import (
	"context"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// digestInterval is the interval between two digests of a pool.
	digestInterval = 50 * time.Millisecond
	// queuedDigestInterval is the interval after a report with queued requests,
	// which wait for the mean load to rise. queuedDigestTargetDelay is added to it
	// for each target, so that a large pool does not overload the control process.
	queuedDigestInterval    = 5 * time.Millisecond
	queuedDigestTargetDelay = 100 * time.Microsecond
)

// loadAggregator sums the reported loads of each pool into a digest. The
// sidecars of a pool choose its control process by hashing, so that one process
// sums all of its loads.
type loadAggregator struct {
	clock Clock

	mu    sync.Mutex
	pools map[digest.PoolName]*poolLoads
}

// poolLoads holds the reported loads of a pool and their last digest.
type poolLoads struct {
	mu    sync.Mutex
	table *digest.Table
	// lastDigest is the last digest, and digestUpdated is closed when a new one
	// replaces it.
	lastDigest    digest.Digest
	digestUpdated chan struct{}
	// digestTime is the time of the last digest.
	digestTime time.Time
	// requestsQueued says whether a report since the last digest had queued
	// requests.
	requestsQueued bool
	// lastReports has the last report of each target, for operators.
	lastReports map[ident.TargetName]TargetLoad
}

func newLoadAggregator(clock Clock) *loadAggregator {
	return &loadAggregator{clock: clock, pools: make(map[digest.PoolName]*poolLoads)}
}

// pool returns the loads of a pool, which it creates if needed.
func (a *loadAggregator) pool(name digest.PoolName) *poolLoads {
	a.mu.Lock()
	defer a.mu.Unlock()
	p, ok := a.pools[name]
	if !ok {
		p = &poolLoads{
			table:         digest.NewTable(digest.Config{Pool: name}),
			digestUpdated: make(chan struct{}),
		}
		a.pools[name] = p
	}
	return p
}

// run makes digests of every pool when they are due, until ctx is done.
func (a *loadAggregator) run(ctx context.Context) {
	for a.clock.Sleep(ctx, queuedDigestInterval) == nil {
		now := a.clock.Now()
		for _, p := range a.allPools() {
			p.updateDigestIfDue(now)
		}
	}
}

// allPools returns the loads of all pools.
func (a *loadAggregator) allPools() []*poolLoads {
	a.mu.Lock()
	defer a.mu.Unlock()
	pools := make([]*poolLoads, 0, len(a.pools))
	for _, p := range a.pools {
		pools = append(pools, p)
	}
	return pools
}

// updateDigestIfDue makes a new digest if the interval has passed. Its version
// is the current time, so that the digests of a control process that takes over
// a pool count as newer.
func (p *poolLoads) updateDigestIfDue(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	interval := digestInterval
	if p.requestsQueued {
		interval = min(interval, queuedDigestInterval+time.Duration(p.lastDigest.Targets)*queuedDigestTargetDelay)
	}
	if now.Sub(p.digestTime) < interval {
		return
	}
	p.digestTime = now
	p.requestsQueued = false
	p.lastDigest = p.table.Sum(now)
	p.lastDigest.Version = uint64(now.UnixNano())
	close(p.digestUpdated)
	p.digestUpdated = make(chan struct{})
}

// addReport adds a target's report.
func (p *poolLoads) addReport(now time.Time, target ident.TargetName, report *wire.LoadReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.requestsQueued = p.requestsQueued || report.GetLoad().GetQueued() > 0
	p.setLastReport(now, target, report)
	p.table.Put(now, digest.Report{
		Target:  target,
		Load:    watch.DecodeLoad(report.GetLoad()),
		Leaving: report.GetLeaving(),
	})
}

// latestDigest returns the last digest, and a channel that is closed when there
// is a newer one.
func (p *poolLoads) latestDigest() (digest.Digest, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastDigest, p.digestUpdated
}

// serveReports receives the reports of one sidecar and sends it the digests of
// its pool.
func (a *loadAggregator) serveReports(ctx context.Context, request *wire.Balance, stream *link.Stream) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p := a.pool(digest.PoolName(request.GetPool()))
	go func() {
		defer cancel()
		for {
			report := new(wire.LoadReport)
			if stream.Receive(report) != nil {
				return
			}
			p.addReport(a.clock.Now(), ident.TargetName(request.GetTarget()), report)
		}
	}()
	var throttle digestThrottle
	for {
		now := a.clock.Now()
		d, digestUpdated := p.latestDigest()
		if d.Targets > 0 && throttle.shouldSend(now, d) && stream.Send(watch.EncodeDigest(now, d)) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-digestUpdated:
		}
	}
}

// idleDigestInterval is the interval at which the digest of a pool without
// requests is sent while its number of targets does not change.
const idleDigestInterval = 400 * time.Millisecond

// digestThrottle limits how often digests of an idle pool are sent. Its zero
// value is ready to use.
type digestThrottle struct {
	last   digest.Digest
	sentAt time.Time
}

// shouldSend reports whether a digest must be sent, and if so records it as
// sent.
func (t *digestThrottle) shouldSend(now time.Time, d digest.Digest) bool {
	idle := d.Requests == 0 && t.last.Requests == 0 && d.Targets == t.last.Targets
	if idle && now.Sub(t.sentAt) < idleDigestInterval {
		return false
	}
	t.last = d
	t.sentAt = now
	return true
}
