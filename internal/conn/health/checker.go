package health

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/version/ident"
)

// PoolName names a set of targets that can replace each other. Callers use the
// names of package digest.
type PoolName string

// Checker tracks the health of targets and decides on their ejection. It is
// safe for concurrent use. Locks are acquired in the order prober, shard,
// poolsMu, pool; poolsMu is not held while a pool is locked.
type Checker struct {
	cfg    Config
	shards []shard

	poolsMu sync.Mutex
	pools   map[PoolName]*pool

	prober prober
}

type shard struct {
	mu      sync.Mutex
	targets map[ident.TargetName]*target
}

// pool counts the members and ejected members of a pool and tracks its mean
// latency.
type pool struct {
	mu      sync.Mutex
	members int
	ejected int
	latency meanLatency
}

// poolSmoothing is the weight of one result in a pool's mean latency.
const poolSmoothing = 0.005

// minLatencySamples is the number of samples that a target and its pool need
// before their latencies are compared.
const minLatencySamples = 20

// New returns a Checker without targets.
func New(cfg Config) *Checker {
	cfg = cfg.withDefaults()
	c := &Checker{cfg: cfg, shards: make([]shard, cfg.Shards), pools: make(map[PoolName]*pool)}
	for i := range c.shards {
		c.shards[i].targets = make(map[ident.TargetName]*target)
	}
	return c
}

func (c *Checker) shard(name ident.TargetName) *shard {
	return &c.shards[xxhash.Sum64String(string(name))%uint64(len(c.shards))]
}

func (c *Checker) pool(name PoolName) *pool {
	c.poolsMu.Lock()
	defer c.poolsMu.Unlock()
	p, ok := c.pools[name]
	if !ok {
		p = &pool{}
		c.pools[name] = p
	}
	return p
}

// Join adds a target, which begins in slow start. A target that rejoins is
// ejected at once if its penalty reaches SuppressThreshold.
func (c *Checker) Join(now time.Time, name ident.TargetName, poolName PoolName) {
	c.prober.add(name)
	s := c.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	t, known := s.targets[name]
	if known && !t.left {
		return
	}
	if !known {
		t = &target{name: name, penaltyAt: now}
		s.targets[name] = t
	}
	t.pool = c.pool(poolName)
	t.left = false
	t.slowStartAt = now
	t.lastEventAt = now
	t.resetResults()
	t.pool.addMember()
	if !known {
		return
	}
	t.penalize(now, &c.cfg)
	if t.decayedPenalty(now, &c.cfg) >= c.cfg.SuppressThreshold {
		c.tryEject(now, t)
	}
}

// Leave removes a target. Its penalty is kept until it has decayed.
func (c *Checker) Leave(now time.Time, name ident.TargetName) {
	s := c.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[name]
	if !ok || t.left {
		return
	}
	t.pool.removeMember(t.ejected)
	t.ejected = false
	t.left = true
	t.lastEventAt = now
}

// ExpireDeparted deletes targets that left at least PenaltyHalfLife ago and
// whose penalty is below negligiblePenalty.
func (c *Checker) ExpireDeparted(now time.Time) {
	c.prober.mu.Lock()
	defer c.prober.mu.Unlock()
	c.prober.names = slices.DeleteFunc(c.prober.names, func(name ident.TargetName) bool {
		s := c.shard(name)
		s.mu.Lock()
		defer s.mu.Unlock()
		t := s.targets[name]
		if t == nil || (!t.left || t.decayedPenalty(now, &c.cfg) >= negligiblePenalty || now.Sub(t.lastEventAt) < c.cfg.PenaltyHalfLife) {
			return false
		}
		delete(s.targets, name)
		return true
	})
	// The indexes have shifted, so the next scan starts over.
	c.prober.next = 0
}

// negligiblePenalty is the penalty below which a departed target is deleted.
const negligiblePenalty = 0.1

// Report records the result of a request or probe. It may eject the target, or
// end or extend its ejection.
func (c *Checker) Report(now time.Time, name ident.TargetName, r Result) {
	s := c.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[name]
	if !ok || t.left {
		return
	}
	t.lastEventAt = now
	if t.ejected {
		c.reportWhileEjected(now, t, r)
		return
	}
	t.record(r)
	slow := !r.Failed && !r.Probe && r.Latency > 0 && c.recordAndCheckLatency(t, r.Latency)
	if slow || t.shouldEject(now, &c.cfg) {
		c.tryEject(now, t)
	}
}

// reportWhileEjected handles a result of an ejected target. Only probes after
// the ejection time count: a successful one readmits the target, a failed one
// extends the ejection.
func (c *Checker) reportWhileEjected(now time.Time, t *target, r Result) {
	if !r.Probe || now.Before(t.ejectedUntil) {
		return
	}
	if r.Failed {
		t.penalize(now, &c.cfg)
		t.ejectedUntil = now.Add(t.ejectionTime(now, &c.cfg))
		return
	}
	t.ejected = false
	t.slowStartAt = now
	t.resetResults()
	t.pool.readmit()
}

// recordAndCheckLatency adds a latency sample and reports whether the target's
// mean latency exceeds that of its pool by more than LatencyFactor.
func (c *Checker) recordAndCheckLatency(t *target, d time.Duration) bool {
	t.latency.add(d, resultSmoothing)
	mean, sufficient := t.pool.addLatency(d)
	return sufficient && t.latency.samples >= minLatencySamples && t.latency.meanLog > mean+ln(c.cfg.LatencyFactor)
}

// tryEject ejects a target unless that would leave its pool with less than
// MinUsableShare of its members.
func (c *Checker) tryEject(now time.Time, t *target) {
	if !t.pool.reserveEjection(c.cfg.MinUsableShare) {
		return
	}
	t.penalize(now, &c.cfg)
	t.ejected = true
	t.ejectedUntil = now.Add(t.ejectionTime(now, &c.cfg))
}

// State returns the state of a target.
func (c *Checker) State(now time.Time, name ident.TargetName) State {
	s := c.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[name]
	if !ok {
		return State{}
	}
	return t.state(now, &c.cfg)
}

// WeightedTarget is a target that may receive work, with its weight from 0 to 1.
type WeightedTarget struct {
	Target ident.TargetName
	Weight float64
}

// Usable appends to dst the members of the pool that may receive work. If fewer
// than MinUsableShare of the members qualify, it instead appends all members
// with full weight, because spreading the load over all members is better than
// overloading the remaining ones. The second result reports whether it appended
// all members for this reason.
func (c *Checker) Usable(now time.Time, members []ident.TargetName, dst []WeightedTarget) ([]WeightedTarget, bool) {
	start := len(dst)
	for _, name := range members {
		if state := c.State(now, name); state.Weight > 0 {
			dst = append(dst, WeightedTarget{Target: name, Weight: state.Weight})
		}
	}
	if float64(len(dst)-start) >= c.cfg.MinUsableShare*float64(len(members)) {
		return dst, false
	}
	dst = dst[:start]
	for _, name := range members {
		dst = append(dst, WeightedTarget{Target: name, Weight: 1})
	}
	return dst, true
}

func (p *pool) addMember() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members++
}

func (p *pool) removeMember(ejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.members--
	if ejected {
		p.ejected--
	}
}

func (p *pool) readmit() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ejected--
}

// reserveEjection counts one more ejection and returns true, unless the usable
// share of the pool would fall below minUsableShare.
func (p *pool) reserveEjection(minUsableShare float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if float64(p.members-p.ejected-1) < minUsableShare*float64(p.members) {
		return false
	}
	p.ejected++
	return true
}

// addLatency adds a sample and returns the mean of the logarithms of the pool's
// latencies, and whether there are enough samples to compare with.
func (p *pool) addLatency(d time.Duration) (mean float64, sufficient bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency.add(d, poolSmoothing)
	return p.latency.meanLog, p.latency.samples >= minLatencySamples
}
