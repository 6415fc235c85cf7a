package rank

import (
	"math"
	"math/bits"
	"time"
)

// scoredTarget is a target with its rendezvous score for a chat.
type scoredTarget struct {
	score uint64
	index int
}

// ranking holds the targets with the highest scores, in descending order.
type ranking struct {
	best [maxCandidates]scoredTarget
	size int
}

// Choose appends the candidates for a request to dst, best first, and returns
// the extended slice. It appends none if no target is usable.
func (p *Pool) Choose(dst []Candidate, q Query) []Candidate {
	s := p.state.Load()
	if len(s.targets) == 0 {
		return dst
	}
	c := selection{pool: p, state: s, query: q, dst: dst, dstStart: len(dst), requestLimit: p.requestLimit()}
	if q.Chat == 0 {
		c.chooseWithoutChat()
		return c.dst
	}
	c.chooseForChat()
	return c.dst
}

// Home returns the chat's home target whatever its load, false if there is none.
// Routers notify the home target when another target served the chat. Slow start
// applies as for a returning chat, whatever q.PrefixTokens is.
func (p *Pool) Home(q Query) (Candidate, bool) {
	q.PrefixTokens = max(q.PrefixTokens, 1)
	s := p.state.Load()
	if len(s.targets) == 0 {
		return Candidate{}, false
	}
	c := selection{pool: p, state: s, query: q}
	var r ranking
	c.rendezvous(&r)
	if r.size == 0 {
		return Candidate{}, false
	}
	i := r.best[0].index
	return Candidate{Target: s.targets[i].Name, Reason: Home, Index: i}, true
}

// selection is the state of one call of Choose or Home.
type selection struct {
	pool  *Pool
	state *snapshot
	query Query
	dst   []Candidate
	// dstStart is the length of dst before the call.
	dstStart     int
	requestLimit int
}

// chooseForChat adds the target that last served the chat, then the home target,
// then the ones with the next highest rendezvous scores. Targets that appear to
// be at their load bound come last, except the home target of a returning
// chat.
func (c *selection) chooseForChat() {
	var r ranking
	c.rendezvous(&r)
	if i, ok := c.state.byName[c.query.LastServedBy]; ok && c.usable(i) {
		c.add(i, LastServed)
	}
	for n := range r.size {
		i := r.best[n].index
		if !c.atLimit(i) || (n == 0 && c.query.PrefixTokens > 0) {
			c.add(i, reasonForRank(n))
		}
	}
	c.addProbe()
	// add skips targets added above, so only those at their limit remain.
	for n := range r.size {
		c.add(r.best[n].index, Overloaded)
	}
}

// reasonForRank returns the reason for a target by its place in a ranking.
func reasonForRank(rank int) Reason {
	if rank == 0 {
		return Home
	}
	return Spill
}

// rendezvous ranks the targets with the highest scores for the chat. It first
// considers only scores so high that few targets reach them, which is cheaper,
// and all scores if that yields too few targets.
func (c *selection) rendezvous(r *ranking) {
	limit := c.pool.cfg.MaxCandidates
	topRange := uint64(math.MaxUint64) / uint64(len(c.state.hashes)) * uint64(scanFactor*limit)
	if len(c.state.hashes) > scanFactor*limit {
		c.scanAbove(r, math.MaxUint64-topRange)
	}
	if r.size < limit {
		r.size = 0
		c.scanAbove(r, 0)
	}
}

// scanFactor sets the range of scores of the first scan in rendezvous: it is
// expected to hold scanFactor times as many targets as are wanted.
const scanFactor = 3

// scanAbove ranks the targets with scores above floor.
func (c *selection) scanAbove(r *ranking, floor uint64) {
	limit := c.pool.cfg.MaxCandidates
	key := mix(uint64(c.query.Chat))
	factor := key | 1
	for i, hash := range c.state.hashes {
		hi, lo := bits.Mul64(key^hash, factor)
		score := hi ^ lo
		if score <= floor || hash == 0 {
			continue
		}
		if !c.usable(i) || (c.state.hasSlowStart && c.excludedBySlowStart(i, score)) {
			continue
		}
		floor = max(floor, r.insert(scoredTarget{score: score, index: i}, limit))
	}
}

// insert inserts x, keeping the limit highest scores, and returns the score that
// a further target must exceed.
func (r *ranking) insert(x scoredTarget, limit int) uint64 {
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

// excludedBySlowStart reports whether the slow start of target i excludes it for the
// chat. The share of chats that it lets through only grows with time, so a chat
// that was once let through is not excluded later. Returning chats are excluded
// longer, since their prefix is cached at their earlier home target.
func (c *selection) excludedBySlowStart(i int, score uint64) bool {
	joined := c.state.targets[i].JoinedAt
	if joined.IsZero() {
		return false
	}
	rampUp := c.pool.cfg.SlowStart
	elapsed := c.query.Now.Sub(joined)
	if c.query.PrefixTokens > 0 {
		rampUp = c.pool.cfg.ReturningChatDelay
		elapsed -= rampUp
	}
	if elapsed >= rampUp {
		return false
	}
	return float64(mix(score)>>11)/(1<<53) > float64(max(elapsed, 0))/float64(rampUp)
}

// chooseWithoutChat adds the less loaded of two random targets in the router's
// failure domain, both if they are equally loaded, then random targets of the
// whole pool.
func (c *selection) chooseWithoutChat() {
	if local := c.state.local; len(local) > 0 {
		a, b := local[c.randomIndex(len(local))], local[c.randomIndex(len(local))]
		c.addLessLoaded(a, b, SameDomain)
		c.addLessLoaded(b, a, SameDomain)
	}
	for range c.pool.cfg.MaxCandidates {
		c.addProbe()
	}
	start := c.randomIndex(len(c.state.targets))
	for n := range c.state.targets {
		i := (start + n) % len(c.state.targets)
		if len(c.dst)-c.dstStart >= c.pool.cfg.MaxCandidates {
			return
		}
		if c.usable(i) {
			c.add(i, Probe)
		}
	}
}

// addProbe adds the less loaded of two random targets.
func (c *selection) addProbe() {
	n := len(c.state.targets)
	c.addLessLoaded(c.randomIndex(n), c.randomIndex(n), Probe)
}

// addLessLoaded adds the less loaded of targets a and b that is usable, unless it
// is at its limit.
func (c *selection) addLessLoaded(a, b int, reason Reason) {
	if !c.usable(a) || (c.usable(b) && c.loadCost(b) < c.loadCost(a)) {
		a = b
	}
	if c.usable(a) && !c.atLimit(a) {
		c.add(a, reason)
	}
}

// loadCost returns a value that orders targets by load, with the delay to their
// failure domain as tiebreaker: a request counts as one second, which is more than
// any delay. A target of unknown load counts as half full.
func (c *selection) loadCost(i int) time.Duration {
	load, known := c.state.statuses[i].recentLoad(c.query.Now, c.pool.cfg.LoadTTL)
	if !known {
		load = c.requestLimit / 2
	}
	return time.Duration(load)*time.Second + c.state.delays[i]
}

// atLimit reports whether target i appears to be at its load bound. A target of
// unknown load does not.
func (c *selection) atLimit(i int) bool {
	load, known := c.state.statuses[i].recentLoad(c.query.Now, c.pool.cfg.LoadTTL)
	return known && load >= c.requestLimit
}

// usable reports whether target i is available and not excluded by the query.
func (c *selection) usable(i int) bool {
	return c.state.available(i, c.query.Now) && c.state.targets[i].Name != c.query.Exclude
}

// add appends target i unless it is already a candidate or there are
// MaxCandidates.
func (c *selection) add(i int, reason Reason) {
	chosen := c.dst[c.dstStart:]
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

// randomIndex returns a pseudo-random number in [0, n).
func (c *selection) randomIndex(n int) int {
	return int(mix(c.pool.cfg.Seed+c.pool.randomCounter.Add(1)) % uint64(n))
}

// mixMultiplier is an odd number near 2^64 divided by the golden ratio.
const mixMultiplier = 0x9e3779b97f4a7c15

// mix is a hash finalizer: it spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 32
	x *= mixMultiplier
	x ^= x >> 29
	x *= mixMultiplier
	return x ^ x>>32
}
