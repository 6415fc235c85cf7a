package ctrl

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

const (
	// digestInterval is how often the loads are summed.
	digestInterval = 200 * time.Millisecond
	// loadTimeout is how long a target's last report counts.
	loadTimeout = 3 * time.Second
)

// loads holds the last report of each target and sums them by pool.
type loads struct {
	clock Clock

	mu      sync.Mutex
	reports map[ident.TargetName]report
	sums    []*wire.LoadDigest
	number  uint64
	fresh   chan struct{}
}

type report struct {
	load *wire.Load
	at   time.Time
}

func newLoads(clock Clock) *loads {
	return &loads{
		clock:   clock,
		reports: make(map[ident.TargetName]report),
		fresh:   make(chan struct{}),
	}
}

func (l *loads) set(target ident.TargetName, load *wire.Load) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reports[target] = report{load: load, at: l.clock.Now()}
}

// changed returns a channel that is closed at the next sum.
func (l *loads) changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fresh
}

// digests returns the last sums and their number.
func (l *loads) digests() ([]*wire.LoadDigest, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sums, l.number
}

// run sums the loads at each interval until ctx ends.
func (l *loads) run(ctx context.Context, set func() *record.Set) {
	for l.clock.Sleep(ctx, digestInterval) == nil {
		l.sum(set())
	}
}

// sum adds up the reports by pool.
func (l *loads) sum(set *record.Set) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	byPool := make(map[string]*wire.LoadDigest)
	for _, target := range set.Targets() {
		reported, ok := l.reports[target.Name]
		age := now.Sub(reported.at)
		if !ok || age > loadTimeout || set.Leaving(target.Name) {
			continue
		}
		for _, pool := range poolsOf(target) {
			add(byPool, pool, reported.load, age)
		}
	}
	l.number++
	l.sums = l.sums[:0:0]
	for _, d := range byPool {
		d.Stamp = uint64(now.UnixNano())
		l.sums = append(l.sums, d)
	}
	slices.SortFunc(l.sums, func(a, b *wire.LoadDigest) int { return cmp.Compare(a.GetPool(), b.GetPool()) })
	close(l.fresh)
	l.fresh = make(chan struct{})
}

func add(byPool map[string]*wire.LoadDigest, pool string, load *wire.Load, age time.Duration) {
	d, ok := byPool[pool]
	if !ok {
		d = &wire.LoadDigest{Pool: pool}
		byPool[pool] = d
	}
	d.Targets++
	d.Requests += uint64(load.GetRequests())
	d.Tokens += load.GetTokens()
	d.AgeMs = max(d.GetAgeMs(), uint32(age.Milliseconds()))
}

// poolsOf names the pools that a target belongs to.
func poolsOf(target *record.Target) []string {
	if target.Service != "" {
		return []string{"service/" + string(target.Service)}
	}
	var pools []string
	for _, model := range target.Models {
		if pool := "model/" + string(model.Name); !slices.Contains(pools, pool) {
			pools = append(pools, pool)
		}
	}
	return pools
}
