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

const stateShards = 16

// pool holds the targets of a route and their ranking.
type pool struct {
	ranking    *rank.Pool
	digestPool digest.PoolName
	targets    []*record.Target
	// digestMu serializes the updates by digests, and digestVersion is the version of
	// the newest one. The pools of a route share both across snapshots.
	digestMu      *sync.Mutex
	digestVersion *atomic.Uint64
}

// view is the router's knowledge of the targets: their records and the state that
// they have reported.
type view struct {
	cfg          Config
	current      atomic.Pointer[snapshot]
	targetStates targetStates
	health       *health.Checker

	mu sync.Mutex // serializes rebuild
}

// snapshot holds the records at one revision and the pools built from them. Its maps do
// not change, but the rankings of its pools do.
type snapshot struct {
	set *record.Set
	// poolsByRoute holds the pool of each route.
	poolsByRoute map[string]*pool
	// poolsByTarget lists the pools that contain each target.
	poolsByTarget map[ident.TargetName][]*pool
}

func newView(cfg Config) *view {
	v := &view{cfg: cfg, health: health.New(health.Config{})}
	v.current.Store(&snapshot{set: new(record.Set)})
	return v
}

// rebuild replaces the snapshot by one of a newer set of records. It ignores older
// sets.
func (v *view) rebuild(set *record.Set) {
	v.mu.Lock()
	defer v.mu.Unlock()
	old := v.current.Load()
	if set.Revision() <= old.set.Revision() {
		return
	}
	v.updateProbedTargets(old.set, set)
	next := &snapshot{
		set:           set,
		poolsByRoute:  make(map[string]*pool, len(set.Routes())),
		poolsByTarget: make(map[ident.TargetName][]*pool),
	}
	for _, route := range set.Routes() {
		p := v.buildPool(old, set, route)
		next.poolsByRoute[route.Name] = p
		for _, target := range p.targets {
			next.poolsByTarget[target.Name] = append(next.poolsByTarget[target.Name], p)
		}
	}
	v.current.Store(next)
}

// buildPool returns the pool of a route. It takes over the ranking, and so the
// learned state, of the route's pool in the old snapshot.
func (v *view) buildPool(old *snapshot, set *record.Set, route *record.Route) *pool {
	p := &pool{targets: set.Candidates(route), digestPool: digest.RoutePool(route)}
	if previous, ok := old.poolsByRoute[route.Name]; ok {
		p.ranking = previous.ranking
		p.digestMu, p.digestVersion = previous.digestMu, previous.digestVersion
		p.ranking.SetLoadBound(route.LoadBound)
	} else {
		p.digestMu, p.digestVersion = new(sync.Mutex), new(atomic.Uint64)
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
	for _, p := range v.current.Load().poolsByRoute {
		if p.digestPool == d.Pool {
			p.applyDigest(d)
		}
	}
}

// applyDigest applies a digest to the ranking if it is newer than the last one.
func (p *pool) applyDigest(d digest.Digest) {
	p.digestMu.Lock()
	defer p.digestMu.Unlock()
	if d.Version > p.digestVersion.Load() {
		p.digestVersion.Store(d.Version)
		p.ranking.SetDigest(d)
	}
}

// set returns the current records.
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
	return ident.Incarnation(v.targetStates.get(target).incarnation.Load())
}

// ObserveLoad implements relay.Directory.
func (v *view) ObserveLoad(target ident.TargetName, load *wire.Load, revision ident.Revision) {
	if load == nil {
		return
	}
	v.updateHealth(target, health.Result{})
	v.applyLoadReport(target, load, revision)
}

// applyLoadReport records the load, the incarnation and the revision that a sidecar has
// reported.
func (v *view) applyLoadReport(target ident.TargetName, load *wire.Load, revision ident.Revision) {
	if load.GetIncarnation() != 0 {
		v.targetStates.get(target).incarnation.Store(load.GetIncarnation())
	}
	now := v.cfg.Clock.Now()
	for _, p := range v.current.Load().poolsByTarget[target] {
		p.ranking.ObserveLoad(now, target, watch.DecodeLoad(load))
	}
	v.syncRevision(now, target, revision)
}

// syncRevision compares the sidecar's revision to the router's own. It pulls the
// records from a sidecar that is ahead and pushes them to one that has been behind
// for longer than pushDelay.
func (v *view) syncRevision(now time.Time, target ident.TargetName, revision ident.Revision) {
	state := v.targetStates.get(target)
	own := v.set().Revision()
	switch {
	case revision > own:
		v.pullFrom(target)
	case revision == own:
		state.behindSince.Store(0)
	case state.behindSince.CompareAndSwap(0, now.UnixNano()):
		// The sidecar was first seen behind now, which the condition has stored. Give
		// control time to update it.
	case now.UnixNano()-state.behindSince.Load() > int64(pushDelay):
		state.behindSince.Store(0)
		v.pushTo(target)
	}
}

// pushTo sends the records to a sidecar that control has failed to update.
func (v *view) pushTo(target ident.TargetName) {
	address, ok := v.Address(target)
	if !ok {
		return
	}
	call := &wire.Call{Body: &wire.Call_Push{Push: watch.EncodeDelta(v.set().FullDelta())}}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sidecarCallTimeout)
		defer cancel()
		_ = v.cfg.Link.Ask(ctx, address, call, new(wire.PushReply))
	}()
}

// ReportFailure implements relay.Directory.
func (v *view) ReportFailure(target ident.TargetName) {
	v.updateHealth(target, health.Result{Failed: true})
}

// WaitForRevision implements relay.Directory.
func (v *view) WaitForRevision(ctx context.Context, target ident.TargetName, revision ident.Revision) {
	v.pullFrom(target)
	_ = v.cfg.Follower.AwaitInForce(ctx, revision)
}

// pullFrom fetches the records from a sidecar that is ahead. Only one fetch per
// sidecar runs at a time.
func (v *view) pullFrom(target ident.TargetName) {
	address, ok := v.Address(target)
	state := v.targetStates.get(target)
	if !ok || !state.pulling.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer state.pulling.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), sidecarCallTimeout)
		defer cancel()
		_ = v.cfg.Follower.Pull(ctx, address)
	}()
}

const (
	// sidecarCallTimeout bounds a pull, a push or a notification of a sidecar.
	sidecarCallTimeout = 2 * time.Second
	// pushDelay is how long a sidecar may be behind before this router pushes the
	// records to it.
	pushDelay = time.Second
)

// targetState is what the router remembers about one target.
type targetState struct {
	incarnation atomic.Uint64
	// behindSince is when the sidecar was first seen at a lower revision, in Unix
	// nanoseconds; zero if it is not behind.
	behindSince atomic.Int64
	pulling     atomic.Bool
}
