package rank

import (
	"math"
	"math/bits"
	"time"
)

// scored is a target with its rendezvous score for a chat.
type scored struct {
	score uint64
	index int
}

// ranking holds the best targets of a choice, best first.
type ranking struct {
	best [maxLimit]scored
	size int
}

// Choose appends to dst the candidates for a request, best first, and
// returns the extended slice. It appends none when no target may be used.
func (p *Pool) Choose(dst []Candidate, q Query) []Candidate {
	s := p.state.Load()
	if len(s.targets) == 0 {
		return dst
	}
	c := choice{pool: p, state: s, query: q, dst: dst, first: len(dst), capacity: p.capacity()}
	if q.Chat == 0 {
		c.chooseNearest()
		return c.dst
	}
	c.chooseWarm()
	return c.dst
}

// Home returns the target that the chat is to return to by rendezvous
// hashing, whatever its load; false if there is none. It is where a router
// sends word that another target served the chat.
func (p *Pool) Home(q Query) (Candidate, bool) {
	q.PrefixTokens = max(q.PrefixTokens, 1)
	s := p.state.Load()
	if len(s.targets) == 0 {
		return Candidate{}, false
	}
	c := choice{pool: p, state: s, query: q}
	var r ranking
	c.rendezvous(&r)
	if r.size == 0 {
		return Candidate{}, false
	}
	i := r.best[0].index
	return Candidate{Target: s.targets[i].Name, Reason: Home, Index: i}, true
}

// choice is one call of Choose.
type choice struct {
	pool     *Pool
	state    *snapshot
	query    Query
	dst      []Candidate
	first    int
	capacity int
}

// chooseWarm proposes the target that served the chat last, then the home
// target, then the next ones by rendezvous hashing. Targets believed to be
// at their bound come last.
func (c *choice) chooseWarm() {
	var r ranking
	c.rendezvous(&r)
	if i, ok := c.state.byName[c.query.LastServedBy]; ok && c.usable(i) {
		c.add(i, Forwarded)
	}
	for n := range r.size {
		i := r.best[n].index
		if !c.full(i) || (n == 0 && c.query.PrefixTokens > 0) {
			c.add(i, reasonOf(n))
		}
	}
	c.addProbe()
	for n := range r.size {
		c.add(r.best[n].index, Overloaded)
	}
}

func reasonOf(rank int) Reason {
	if rank == 0 {
		return Home
	}
	return Spill
}

// rendezvous ranks the targets that score highest for the chat. It looks
// first at scores that few targets reach, and at all if these are too few.
func (c *choice) rendezvous(r *ranking) {
	limit := c.pool.cfg.MaxCandidates
	tail := uint64(math.MaxUint64) / uint64(len(c.state.seeds)) * uint64(tailFactor*limit)
	if len(c.state.seeds) > tailFactor*limit {
		c.scan(r, math.MaxUint64-tail)
	}
	if r.size < limit {
		r.size = 0
		c.scan(r, 0)
	}
}

// tailFactor is how many times the sought number of targets is expected to
// reach the score at which the first look starts.
const tailFactor = 3

// scan ranks the targets that score above floor.
func (c *choice) scan(r *ranking, floor uint64) {
	limit := c.pool.cfg.MaxCandidates
	key := mix(uint64(c.query.Chat))
	factor := key | 1
	for i, seed := range c.state.seeds {
		hi, lo := bits.Mul64(key^seed, factor)
		score := hi ^ lo
		if score <= floor || seed == 0 {
			continue
		}
		if !c.usable(i) || (c.state.joining && c.held(i, score)) {
			continue
		}
		floor = max(floor, r.insert(scored{score: score, index: i}, limit))
	}
}

// insert places x among the best limit entries and returns the score that a
// further target has to beat.
func (r *ranking) insert(x scored, limit int) uint64 {
	if r.size < limit {
		r.size++
	}
	n := r.size - 1
	for n > 0 && r.best[n-1].score < x.score {
		r.best[n] = r.best[n-1]
		n--
	}
	r.best[n] = x
	if r.size < limit {
		return 0
	}
	return r.best[limit-1].score
}

// held reports whether the slow start of target i keeps the chat from it. A
// chat once let through stays let through as the target's share rises.
// Returning chats, warm at an earlier home, are kept from it longer.
func (c *choice) held(i int, score uint64) bool {
	joined := c.state.targets[i].JoinedAt
	if joined.IsZero() {
		return false
	}
	span := c.pool.cfg.SlowStart
	since := c.query.Now.Sub(joined)
	if c.query.PrefixTokens > 0 {
		span = c.pool.cfg.ReturningChatDelay
		since -= span
	}
	if since >= span {
		return false
	}
	return float64(mix(score)>>11)/(1<<53) > float64(max(since, 0))/float64(span)
}

// chooseNearest proposes the less loaded of two targets in the router's
// failure domain, then targets drawn from the whole pool.
func (c *choice) chooseNearest() {
	if near := c.state.near; len(near) > 0 {
		a, b := near[c.draw(len(near))], near[c.draw(len(near))]
		c.addLighter(a, b, Nearest)
		c.addLighter(b, a, Nearest)
	}
	for range c.pool.cfg.MaxCandidates {
		c.addProbe()
	}
	start := c.draw(len(c.state.targets))
	for n := range c.state.targets {
		i := (start + n) % len(c.state.targets)
		if len(c.dst)-c.first >= c.pool.cfg.MaxCandidates {
			return
		}
		if c.usable(i) {
			c.add(i, Probe)
		}
	}
}

// addProbe adds the less loaded of two targets drawn at random.
func (c *choice) addProbe() {
	n := len(c.state.targets)
	c.addLighter(c.draw(n), c.draw(n), Probe)
}

func (c *choice) addLighter(a, b int, reason Reason) {
	if !c.usable(a) || (c.usable(b) && c.cost(b) < c.cost(a)) {
		a = b
	}
	if c.usable(a) && !c.full(a) {
		c.add(a, reason)
	}
}

// cost orders targets by believed load; a domain's delay breaks ties.
func (c *choice) cost(i int) time.Duration {
	load, known := c.state.beliefs[i].believed(c.query.Now, c.pool.cfg.LoadTTL)
	if !known {
		load = c.capacity / 2
	}
	return time.Duration(load)*time.Second + c.state.delays[i]
}

// full reports whether target i is believed to be at its bound.
func (c *choice) full(i int) bool {
	load, known := c.state.beliefs[i].believed(c.query.Now, c.pool.cfg.LoadTTL)
	return known && load >= c.capacity
}

func (c *choice) usable(i int) bool {
	return c.state.open(i, c.query.Now) && c.state.targets[i].Name != c.query.Exclude
}

// add appends target i unless it is there or the list is full.
func (c *choice) add(i int, reason Reason) {
	chosen := c.dst[c.first:]
	if len(chosen) >= c.pool.cfg.MaxCandidates {
		return
	}
	for n := range chosen {
		if chosen[n].Index == i {
			return
		}
	}
	c.dst = append(c.dst, Candidate{Target: c.state.targets[i].Name, Reason: reason, Index: i})
}

// draw returns a number below n.
func (c *choice) draw(n int) int {
	return int(mix(c.pool.cfg.Seed+c.pool.draws.Add(1)) % uint64(n))
}

const mixer = 0x9e3779b97f4a7c15

// mix spreads the bits of x, as the finalizer of a hash does.
func mix(x uint64) uint64 {
	x ^= x >> 32
	x *= mixer
	x ^= x >> 29
	x *= mixer
	return x ^ x>>32
}
