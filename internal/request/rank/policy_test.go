package rank_test

import (
	"math"

	"cactusline.dev/cactusline/internal/request/rank"
)

// policy is one way of choosing an engine.
type policy struct {
	name string
	// sidecar has admission decide at the engine, instant removes delays.
	sidecar, instant bool
	choose           func(*sim, *router, *request) (int, bool)
}

var policies = []policy{
	{name: "random", choose: chooseOne(func(m *sim, _ *router, _ *request, open []int) int { return open[m.rng.IntN(len(open))] })},
	{name: "round-robin", choose: chooseOne(func(_ *sim, r *router, _ *request, open []int) int {
		r.next++
		return open[(r.id+r.next)%len(open)]
	})},
	{name: "least-load", choose: chooseOne(func(m *sim, r *router, _ *request, open []int) int {
		start := m.rng.IntN(len(open))
		return best(open, func(n, i int) float64 {
			return -float64(r.known[i]+r.sent[i]) - 0.5*float64((n+start)%len(open))/float64(len(open))
		})
	})},
	{name: "two-choices", choose: chooseOne(func(m *sim, r *router, _ *request, open []int) int {
		a, b := open[m.rng.IntN(len(open))], open[m.rng.IntN(len(open))]
		if r.known[b]+r.sent[b] < r.known[a]+r.sent[a] {
			return b
		}
		return a
	})},
	{name: "rendezvous", choose: chooseOne(func(_ *sim, _ *router, q *request, open []int) int {
		return best(open, func(_, i int) float64 { return score(q.chat, i) })
	})},
	{name: "bounded-rendezvous", choose: chooseOne(func(_ *sim, r *router, q *request, open []int) int {
		sum := 1
		for _, i := range open {
			sum += r.known[i] + r.sent[i]
		}
		limit := int(math.Ceil(rank.DefaultLoadBound * float64(sum) / float64(len(open))))
		return best(open, func(_, i int) float64 {
			if r.known[i]+r.sent[i] >= limit {
				return -1
			}
			return score(q.chat, i)
		})
	})},
	{name: "ours", sidecar: true},
	{name: "oracle", instant: true, choose: chooseOne(chooseOracle)},
}

// chooseOne makes a policy of a choice among the engines that are visible.
func chooseOne(pick func(*sim, *router, *request, []int) int) func(*sim, *router, *request) (int, bool) {
	return func(m *sim, r *router, q *request) (int, bool) {
		var open []int
		for i := range m.engines {
			if m.visible(r, i) {
				open = append(open, i)
			}
		}
		if len(open) == 0 {
			return 0, false
		}
		return pick(m, r, q, open), true
	}
}

func best(open []int, value func(n, i int) float64) int {
	found, most := open[0], math.Inf(-1)
	for n, i := range open {
		if v := value(n, i); v > most {
			found, most = i, v
		}
	}
	return found
}

// score is the rendezvous score of the baselines.
func score(chat uint64, i int) float64 {
	x := chat ^ uint64(i+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>31) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>29) * 0x94d049bb133111eb
	return float64((x ^ x>>32) >> 11)
}

// chooseOracle takes the warmest engine within the bound, the least loaded
// one among equals.
func chooseOracle(m *sim, _ *router, q *request, _ []int) int {
	var open []int
	sum := 1
	for _, e := range m.engines {
		if e.serves() {
			sum += e.load()
			open = append(open, e.id)
		}
	}
	limit := math.Ceil(rank.DefaultLoadBound * float64(sum) / float64(len(open)))
	return best(open, func(_, i int) float64 {
		e := m.engines[i]
		if float64(e.load()) >= limit {
			return -1e9 - float64(e.load())
		}
		return float64(min(e.cache.get(q.chat), q.prefix)) - float64(e.load())/1000
	})
}
