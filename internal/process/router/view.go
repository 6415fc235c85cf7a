package router

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/conn/health"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/rank"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

const nodeShards = 16

// pool is what a route chooses from.
type pool struct {
	ranking *rank.Pool
	digest  digest.PoolName
	targets []*record.Target
	// news orders the digests, and stamp is that of the newest.
	news  *sync.Mutex
	stamp *atomic.Uint64
}

// view is what the router knows of the targets: their records, and what their
// replies said.
type view struct {
	cfg     Config
	current atomic.Pointer[snapshot]
	nodes   nodes
	health  *health.Checker

	mu sync.Mutex // serializes rebuild
}

// snapshot is the view at one revision. It does not change.
type snapshot struct {
	set    *record.Set
	routes map[string]*pool
	// holding lists, by target, the pools that hold it.
	holding map[ident.TargetName][]*pool
}

func newView(cfg Config) *view {
	v := &view{cfg: cfg, health: health.New(health.Config{})}
	v.current.Store(&snapshot{set: new(record.Set)})
	return v
}

// rebuild takes a new set of records.
func (v *view) rebuild(set *record.Set) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.current.Load()
	if set.Revision() <= old.set.Revision() {
		return
	}
	v.enlist(old.set, set)
	next := &snapshot{
		set:     set,
		routes:  make(map[string]*pool, len(set.Routes())),
		holding: make(map[ident.TargetName][]*pool),
	}
	for _, route := range set.Routes() {
		p := v.poolOf(old, set, route)
		next.routes[route.Name] = p
		for _, target := range p.targets {
			next.holding[target.Name] = append(next.holding[target.Name], p)
		}
	}
	v.current.Store(next)
}

// poolOf returns the pool of a route. What the old one believed is kept.
func (v *view) poolOf(old *snapshot, set *record.Set, route *record.Route) *pool {
	p := &pool{targets: set.Candidates(route), digest: digest.RoutePool(route)}
	if before, ok := old.routes[route.Name]; ok {
		p.ranking = before.ranking
		p.news, p.stamp = before.news, before.stamp
		p.ranking.SetLoadBound(route.LoadBound)
	} else {
		p.news, p.stamp = new(sync.Mutex), new(atomic.Uint64)
		p.ranking = rank.New(rank.Config{Domain: v.cfg.Domain, LoadBound: route.LoadBound, Seed: v.cfg.Seed})
	}
	targets := make([]rank.Target, 0, len(p.targets))
	for _, target := range p.targets {
		targets = append(targets, rank.Target{Name: target.Name, Domain: target.Domain})
	}
	p.ranking.Update(targets)
	return p
}

// ObservePoolLoad implements relay.Directory.
func (v *view) ObservePoolLoad(frame *wire.LoadDigest) {
	if frame == nil {
		return
	}
	d := watch.DecodeDigest(v.cfg.Clock.Now(), frame)
	for _, p := range v.current.Load().routes {
		if p.digest == d.Pool {
			p.takeDigest(d)
		}
	}
}

// takeDigest passes on a digest that is newer than the last one.
func (p *pool) takeDigest(d digest.Digest) {
	p.news.Lock()
	defer p.news.Unlock()
	if d.Version > p.stamp.Load() {
		p.stamp.Store(d.Version)
		p.ranking.SetDigest(d)
	}
}

// set returns the records in force.
func (v *view) set() *record.Set { return v.current.Load().set }

// Address implements relay.Directory.
func (v *view) Address(target ident.TargetName) (string, bool) {
	t, ok := v.set().Target(target)
	if !ok {
		return "", false
	}
	return t.Address, true
}

// Incarnation implements relay.Directory.
func (v *view) Incarnation(target ident.TargetName) ident.Incarnation {
	return ident.Incarnation(v.nodes.get(target).incarnation.Load())
}

// ObserveLoad implements relay.Directory.
func (v *view) ObserveLoad(target ident.TargetName, load *wire.Load, revision ident.Revision) {
	if load == nil {
		return
	}
	v.judge(target, health.Result{})
	v.learn(target, load, revision)
}

// learn takes the load, incarnation and revision that a sidecar reports.
func (v *view) learn(target ident.TargetName, load *wire.Load, revision ident.Revision) {
	if load.GetIncarnation() != 0 {
		v.nodes.get(target).incarnation.Store(load.GetIncarnation())
	}
	now := v.cfg.Clock.Now()
	for _, p := range v.current.Load().holding[target] {
		p.ranking.ObserveLoad(now, target, watch.DecodeLoad(load))
	}
	v.compare(now, target, revision)
}

// compare brings whoever is behind, this router or the sidecar, to the other
// one's revision.
func (v *view) compare(now time.Time, target ident.TargetName, revision ident.Revision) {
	n := v.nodes.get(target)
	own := v.set().Revision()
	switch {
	case revision > own:
		v.pullFrom(target)
	case revision == own:
		n.behind.Store(0)
	case n.behind.CompareAndSwap(0, now.UnixNano()):
		// Control is given a moment to tell the sidecar.
	case now.UnixNano()-n.behind.Load() > int64(pushDelay):
		n.behind.Store(0)
		v.pushTo(target)
	}
}

// pushTo sends the records to a sidecar that control does not reach.
func (v *view) pushTo(target ident.TargetName) {
	address, ok := v.Address(target)
	if !ok {
		return
	}
	call := &wire.Call{Body: &wire.Call_Push{Push: watch.EncodeDelta(v.set().FullDelta())}}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		_ = v.cfg.Link.Ask(ctx, address, call, new(wire.PushReply))
	}()
}

// ReportFailure implements relay.Directory.
func (v *view) ReportFailure(target ident.TargetName) {
	v.judge(target, health.Result{Failed: true})
}

// WaitForRevision implements relay.Directory.
func (v *view) WaitForRevision(ctx context.Context, target ident.TargetName, revision ident.Revision) {
	v.pullFrom(target)
	_ = v.cfg.Follower.Await(ctx, revision)
}

// pullFrom fetches the records from a sidecar that is ahead, one fetch at a
// time for each sidecar.
func (v *view) pullFrom(target ident.TargetName) {
	address, ok := v.Address(target)
	n := v.nodes.get(target)
	if !ok || !n.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer n.pulling.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		_ = v.cfg.Follower.Pull(ctx, address)
	}()
}

const (
	pullTimeout = 2 * time.Second
	// pushDelay is how long a sidecar may be behind before this router tells
	// it what it lacks.
	pushDelay = time.Second
)

// node is what replies said of one sidecar.
type node struct {
	incarnation atomic.Uint64
	// behind is when the sidecar was first seen at a lower revision, in Unix
	// nanoseconds; zero if it is not.
	behind  atomic.Int64
	pulling atomic.Bool
}
