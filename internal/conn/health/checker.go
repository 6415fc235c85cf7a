package health

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/version/ident"
)

// PoolName names a set of targets that can stand in for each other.
type PoolName string

// Checker judges targets. It is safe for concurrent use. Where two locks are
// held, they were taken in the order prober, shard, pool.
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

// pool counts the members of a pool and its mean latency.
type pool struct {
	mu      sync.Mutex
	members int
	ejected int
	latency latency
}

// poolSmoothing is the weight of one result in a pool's mean latency.
const poolSmoothing = 0.005

// minLatencies is the number of results before a latency is compared.
const minLatencies = 20

// New returns a checker without targets.
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

// Join adds a target, which starts slowly. One that has flapped too much stays
// out for a while first.
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
	t.rising = now
	t.heard = now
	t.forget()
	t.pool.addMember()
	if !known {
		return
	}
	t.penalize(now, &c.cfg)
	if t.decayed(now, &c.cfg) >= c.cfg.SuppressAt {
		c.eject(now, t)
	}
}

// Leave removes a target, whose penalty is remembered until it has decayed.
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
	t.heard = now
}

// ExpireDeparted forgets targets that left and whose penalty has decayed.
func (c *Checker) ExpireDeparted(now time.Time) {
	c.prober.mu.Lock()
	defer c.prober.mu.Unlock()
	c.prober.names = slices.DeleteFunc(c.prober.names, func(name ident.TargetName) bool {
		s := c.shard(name)
		s.mu.Lock()
		defer s.mu.Unlock()
		t := s.targets[name]
		if t == nil || (!t.left || t.decayed(now, &c.cfg) >= forgetBelow || now.Sub(t.heard) < c.cfg.FlapHalfLife) {
			return false
		}
		delete(s.targets, name)
		return true
	})
	c.prober.at = 0
}

// forgetBelow is the penalty that is as good as none.
const forgetBelow = 0.1

// Report takes the result of a request or probe.
func (c *Checker) Report(now time.Time, name ident.TargetName, r Result) {
	s := c.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.targets[name]
	if !ok || t.left {
		return
	}
	t.heard = now
	if t.ejected {
		c.reportEjected(now, t, r)
		return
	}
	t.count(r)
	slow := !r.Failed && !r.Probe && r.Latency > 0 && c.slow(t, r.Latency)
	if slow || t.failing(now, &c.cfg) {
		c.eject(now, t)
	}
}

// reportEjected lets a target back in when its probe went well after its time
// out, and holds it out for longer when it did not.
func (c *Checker) reportEjected(now time.Time, t *target, r Result) {
	if !r.Probe || now.Before(t.until) {
		return
	}
	if r.Failed {
		t.penalize(now, &c.cfg)
		t.until = now.Add(t.timeOut(now, &c.cfg))
		return
	}
	t.ejected = false
	t.rising = now
	t.forget()
	t.pool.readmit()
}

// slow reports whether a target's latency stands out from its pool's.
func (c *Checker) slow(t *target, d time.Duration) bool {
	t.latency.add(d, smoothing)
	mean, enough := t.pool.addLatency(d)
	return enough && t.latency.count >= minLatencies && t.latency.log > mean+logOf(c.cfg.LatencyFactor)
}

// eject takes a target out unless its pool would fall below the floor.
func (c *Checker) eject(now time.Time, t *target) {
	if !t.pool.mayEject(c.cfg.MinUsable) {
		return
	}
	t.penalize(now, &c.cfg)
	t.ejected = true
	t.until = now.Add(t.timeOut(now, &c.cfg))
}

// State returns the judgement on a target.
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

// Usable is a target that may get work, with its share from 0 to 1.
type Usable struct {
	Target ident.TargetName
	Weight float64
}

// Usable appends to dst the members of the pool that may get work. When fewer
// than MinUsable of the pool are fit, it appends all members with full weight
// instead and reports that: spreading over all is then better than crushing
// the rest.
func (c *Checker) Usable(now time.Time, members []ident.TargetName, dst []Usable) ([]Usable, bool) {
	start := len(dst)
	for _, name := range members {
		if state := c.State(now, name); state.Weight > 0 {
			dst = append(dst, Usable{Target: name, Weight: state.Weight})
		}
	}
	if float64(len(dst)-start) >= c.cfg.MinUsable*float64(len(members)) {
		return dst, false
	}
	dst = dst[:start]
	for _, name := range members {
		dst = append(dst, Usable{Target: name, Weight: 1})
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

// mayEject counts one more ejection if the floor allows it.
func (p *pool) mayEject(minUsable float64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if float64(p.members-p.ejected-1) < minUsable*float64(p.members) {
		return false
	}
	p.ejected++
	return true
}

// addLatency returns the mean of the pool's logarithms, and whether enough
// results are in it.
func (p *pool) addLatency(d time.Duration) (mean float64, enough bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.latency.add(d, poolSmoothing)
	return p.latency.log, p.latency.count >= minLatencies
}
