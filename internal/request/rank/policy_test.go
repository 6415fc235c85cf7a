package rank_test

import (
	"math"

	"cactusline.dev/cactusline/internal/request/rank"
)

// policy is a method of choosing an engine.
type policy struct {
	name string
	// sidecar makes the engine's sidecar decide on admission, with package rank
	// in the router. instant removes network delays.
	sidecar, instant bool
	choose           func(*sim, *router, *request) (int, bool)
}

// policies are the simulated policies. "ours" is that of packages rank and admit;
// the others are baselines, with "oracle" as an upper bound.
var policies = []policy{
	{name: "random", choose: chooseVisible(func(m *sim, _ *router, _ *request, engines []int) int { return engines[m.rng.IntN(len(engines))] })},
	{name: "round-robin", choose: chooseVisible(func(_ *sim, r *router, _ *request, engines []int) int {
		r.roundRobin++
		return engines[(r.id+r.roundRobin)%len(engines)]
	})},
	{name: "least-load", choose: chooseVisible(func(m *sim, r *router, _ *request, engines []int) int {
		start := m.rng.IntN(len(engines))
		return argMax(engines, func(n, i int) float64 {
			return -float64(r.reported[i]+r.sentSince[i]) - 0.5*float64((n+start)%len(engines))/float64(len(engines))
		})
	})},
	{name: "two-choices", choose: chooseVisible(func(m *sim, r *router, _ *request, engines []int) int {
		a, b := engines[m.rng.IntN(len(engines))], engines[m.rng.IntN(len(engines))]
		if r.reported[b]+r.sentSince[b] < r.reported[a]+r.sentSince[a] {
			return b
		}
		return a
	})},
	{name: "rendezvous", choose: chooseVisible(func(_ *sim, _ *router, q *request, engines []int) int {
		return argMax(engines, func(_, i int) float64 { return rendezvousScore(q.chat, i) })
	})},
	{name: "bounded-rendezvous", choose: chooseVisible(func(_ *sim, r *router, q *request, engines []int) int {
		sum := 1
		for _, i := range engines {
			sum += r.reported[i] + r.sentSince[i]
		}
		limit := int(math.Ceil(rank.DefaultLoadBound * float64(sum) / float64(len(engines))))
		return argMax(engines, func(_, i int) float64 {
			if r.reported[i]+r.sentSince[i] >= limit {
				return -1
			}
			return rendezvousScore(q.chat, i)
		})
	})},
	{name: "ours", sidecar: true},
	{name: "oracle", instant: true, choose: chooseVisible(chooseOracle)},
}

// chooseVisible returns a policy's choose function that picks among the engines
// that the router sees.
func chooseVisible(pick func(*sim, *router, *request, []int) int) func(*sim, *router, *request) (int, bool) {
	return func(m *sim, r *router, q *request) (int, bool) {
		var engines []int
		for i := range m.engines {
			if m.visible(r, i) {
				engines = append(engines, i)
			}
		}
		if len(engines) == 0 {
			return 0, false
		}
		return pick(m, r, q, engines), true
	}
}

// argMax returns the engine with the highest value. The function gets the index in
// engines and the engine.
func argMax(engines []int, value func(n, i int) float64) int {
	best, highest := engines[0], math.Inf(-1)
	for n, i := range engines {
		if v := value(n, i); v > highest {
			best, highest = i, v
		}
	}
	return best
}

// rendezvousScore is the score that the baseline policies use.
func rendezvousScore(chat uint64, i int) float64 {
	x := chat ^ uint64(i+1)*0x9e3779b97f4a7c15
	x = (x ^ x>>31) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>29) * 0x94d049bb133111eb
	return float64((x ^ x>>32) >> 11)
}

// chooseOracle picks the engine within the load bound that has the most of the
// prefix cached, the least loaded one among equals. It knows the true state.
func chooseOracle(m *sim, _ *router, q *request, _ []int) int {
	var engines []int
	sum := 1
	for _, e := range m.engines {
		if e.serves() {
			sum += e.load()
			engines = append(engines, e.id)
		}
	}
	limit := math.Ceil(rank.DefaultLoadBound * float64(sum) / float64(len(engines)))
	return argMax(engines, func(_, i int) float64 {
		e := m.engines[i]
		if float64(e.load()) >= limit {
			return -1e9 - float64(e.load())
		}
		return float64(min(e.cache.get(q.chat), q.prefix)) - float64(e.load())/1000
	})
}
