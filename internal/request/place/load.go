package place

import (
	"math"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/version/ident"
)

// fullBelief is how old a pace may be that is fully believed. Paces of other processes are
// about as old when they arrive.
const fullBelief = 150 * time.Millisecond

// factor returns how long work is expected to take, as a multiple of the usual time. A pace
// older than fullBelief is believed less the older it is, and not at all from PaceMemory on.
func (s *speed) factor(now time.Time) float64 {
	if !s.pace.Current(now) {
		return 1
	}
	doubt := max(0, now.Sub(s.pace.ObservedAt)-fullBelief)
	belief := 1 - float64(doubt)/float64(roster.PaceMemory-fullBelief)
	return 1 + (float64(s.pace.Percent)/roster.UsualPace-1)*belief
}

// drawPair returns two of the candidates, drawn at random, if any of them has told a pace,
// and otherwise all. The processes know the same loads and paces, which are as old as the
// work of a short request takes: if each took the best of all targets, all would take the
// same one.
func (s *service) drawPair(candidates []*Target, seed uint64) []*Target {
	n := uint64(len(candidates))
	if n <= 2 || !slices.ContainsFunc(candidates, func(t *Target) bool { return t.speed.pace.Percent > 0 }) {
		return candidates
	}
	s.draws++
	bits := mixBits(seed + s.draws*0x9e3779b97f4a7c15)
	first, second := bits>>32%n, bits&math.MaxUint32%(n-1)
	if second >= first {
		second++
	}
	return []*Target{candidates[first], candidates[second]}
}

// leastLoaded returns the target where a request is expected to end first. Ties are broken
// in an order that differs between processes, which would otherwise all send to the
// same idle target at once.
func leastLoaded(now time.Time, candidates []*Target, domain ident.DomainName, tieBreakKey uint64) *Target {
	var best *Target
	leastCost := math.Inf(1)
	for _, t := range candidates {
		cost := t.cost(now, domain)
		if cost < leastCost || (cost == leastCost && ranksAbove(tieBreakKey, t, best)) {
			best, leastCost = t, cost
		}
	}
	return best
}

// cost returns how much later a request is expected to end here than at an idle target of
// the usual pace: the load per slot at the pace of the target, and what its own work takes
// longer, in usual times of work. Without a pace that is the load per slot. If domain is
// set, targets in other failure domains cost more.
func (t *Target) cost(now time.Time, domain ident.DomainName) float64 {
	slots, factor := float64(t.slots()), t.speed.factor(now)
	cost := float64(t.expectedLoad(now))/slots*factor + (factor - 1)
	if domain != "" && t.Domain != domain {
		cost += remoteDomainCost / slots
	}
	return cost
}

// slots returns the number of requests that the target runs at a time, 1 if unknown.
func (t *Target) slots() int {
	if t.Slots == 0 && t.speed.slots > 0 {
		return max(1, t.speed.slots)
	}
	return max(1, t.Slots)
}

// boundedLoad returns the load that is held against the bound for warm targets: that of a
// lastingly slow target counts for more.
func (t *Target) boundedLoad(now time.Time) float64 {
	if !t.speed.lasting(now) {
		return float64(t.load())
	}
	return float64(t.load()) * max(1, t.speed.factor(now))
}

func meanLoad(now time.Time, candidates []*Target) float64 {
	total := 0.0
	for _, t := range candidates {
		total += t.boundedLoad(now)
	}
	return total / float64(len(candidates))
}
