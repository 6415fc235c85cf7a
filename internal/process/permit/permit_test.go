package permit_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/permit"
	"cactusline.dev/cactusline/internal/process/seeds"
)

func TestAmountAboveTheBurstIsNeverGranted(t *testing.T) {
	now := time.Unix(0, 0)
	limiter := permit.NewLimiter(permit.WeightLimits(permit.Limit{Rate: 2, Burst: 3}))
	granted, retry := limiter.Take(now, 1, permit.KindWeights, 1)
	assert.Assert(t, !granted, "a bucket starts empty")
	assert.Equal(t, retry, 500*time.Millisecond)
	granted, _ = limiter.Take(now.Add(retry), 1, permit.KindWeights, 1)
	assert.Assert(t, granted)
	for _, kind := range []permit.Kind{permit.KindWeights, "other"} {
		granted, retry = limiter.Take(now.Add(time.Hour), 1, kind, 4)
		assert.Assert(t, !granted && retry == 0)
	}
}

// Leadership moves between processes at random, and former leaders still grant
// permits in their old terms. Grants that are confirmed after the call must stay
// within the limit.
func TestRandomisedRateHoldsThroughFailovers(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 50}, func(t *testing.T, seed uint64) {
		f := newFailoverSim(seed)
		f.run(true)
		assert.Assert(t, len(f.grants) > 20, "only %d grants", len(f.grants))
		excess := f.excess()
		assert.Assert(t, excess < 1e-6, "%g above burst and rate", excess)
	})
}

// The limit is exceeded if buckets survive a change of leader and grants are not
// confirmed. This shows that the simulation finds the fault.
func TestRateIsExceededWithoutTerms(t *testing.T) {
	worst := 0.0
	for seed := range uint64(20) {
		f := newFailoverSim(seed + 1)
		f.run(false)
		worst = max(worst, f.excess())
	}
	assert.Assert(t, worst > 1, "%g above burst and rate", worst)
}

// failoverSim simulates three control processes. One is the leader; others may
// still believe that they are.
type failoverSim struct {
	rand     *rand.Rand
	limit    permit.Limit
	now      time.Time
	limiters []*permit.Limiter
	// believedTerms is the term that each process believes it leads, 0 for none.
	believedTerms []uint64
	term          uint64
	leader        int
	grants        []grant
}

type grant struct {
	at     time.Time
	amount uint32
}

func newFailoverSim(seed uint64) *failoverSim {
	f := &failoverSim{
		rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(0, 0),
		limit: permit.Limit{Rate: 5, Burst: 8}, believedTerms: make([]uint64, 3),
	}
	for range f.believedTerms {
		f.limiters = append(f.limiters, permit.NewLimiter(permit.WeightLimits(f.limit)))
	}
	f.elect()
	return f
}

func (f *failoverSim) elect() {
	f.term++
	f.leader = f.rand.IntN(len(f.limiters))
	f.believedTerms[f.leader] = f.term
}

const failoverSteps = 1200

func (f *failoverSim) run(useTerms bool) {
	for range failoverSteps {
		f.now = f.now.Add(time.Duration(f.rand.IntN(100)) * time.Millisecond)
		switch f.rand.IntN(60) {
		case 0:
			f.elect()
		case 1:
			f.now = f.now.Add(5 * time.Second)
		default:
			f.request(f.rand.IntN(len(f.limiters)), useTerms)
		}
	}
}

// request takes tokens from a process if that believes it leads. If useTerms is
// set, a grant counts only if the process's term is still current afterwards;
// otherwise all grants count and buckets are kept across terms.
func (f *failoverSim) request(process int, useTerms bool) {
	term := f.believedTerms[process]
	if term == 0 {
		return
	}
	if !useTerms {
		term = 1
	}
	amount := uint32(1 + f.rand.IntN(3))
	at := f.now
	granted, _ := f.limiters[process].Take(at, term, permit.KindWeights, amount)
	if granted && (!useTerms || f.believedTerms[process] == f.term) {
		f.grants = append(f.grants, grant{at: at, amount: amount})
	}
}

// excess returns the most by which the grants in any period exceed the limit.
func (f *failoverSim) excess() float64 {
	worst := 0.0
	for i := range f.grants {
		sum := 0.0
		for _, g := range f.grants[i:] {
			sum += float64(g.amount)
			allowed := float64(f.limit.Burst) + f.limit.Rate*g.at.Sub(f.grants[i].at).Seconds()
			worst = max(worst, sum-allowed)
		}
	}
	return worst
}
