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
	keeper := permit.NewLimiter(permit.WeightLimits(permit.Limit{Rate: 2, Burst: 3}))
	granted, retry := keeper.Take(now, 1, permit.KindWeights, 1)
	assert.Assert(t, !granted, "a bucket starts empty")
	assert.Equal(t, retry, 500*time.Millisecond)
	granted, _ = keeper.Take(now.Add(retry), 1, permit.KindWeights, 1)
	assert.Assert(t, granted)
	for _, kind := range []permit.Kind{permit.KindWeights, "other"} {
		granted, retry = keeper.Take(now.Add(time.Hour), 1, kind, 4)
		assert.Assert(t, !granted && retry == 0)
	}
}

// TestRandomisedRateHoldsThroughFailovers moves leadership between processes
// that each take time, or are cut off, between a grant and its confirmation.
func TestRandomisedRateHoldsThroughFailovers(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 50}, func(t *testing.T, seed uint64) {
		f := newFailover(seed)
		f.run(true)
		assert.Assert(t, len(f.grants) > 20, "%d grants", len(f.grants))
		excess := f.excess()
		assert.Assert(t, excess < 1e-6, "%g above burst and rate", excess)
	})
}

// TestRateIsExceededWithoutTerms shows the fault: buckets that outlive a
// change of leadership, and grants that nobody confirms.
func TestRateIsExceededWithoutTerms(t *testing.T) {
	worst := 0.0
	for seed := range uint64(20) {
		f := newFailover(seed + 1)
		f.run(false)
		worst = max(worst, f.excess())
	}
	assert.Assert(t, worst > 1, "%g above burst and rate", worst)
}

// failover is three control processes, of which one leads; others may believe
// that they still do.
type failover struct {
	rand    *rand.Rand
	limit   permit.Limit
	now     time.Time
	keepers []*permit.Limiter
	// believes is the term that each process believes to lead, 0 for none.
	believes []uint64
	term     uint64
	leader   int
	grants   []grant
}

type grant struct {
	at     time.Time
	amount uint32
}

func newFailover(seed uint64) *failover {
	f := &failover{
		rand: rand.New(rand.NewPCG(seed, 7)), now: time.Unix(0, 0),
		limit: permit.Limit{Rate: 5, Burst: 8}, believes: make([]uint64, 3),
	}
	for range f.believes {
		f.keepers = append(f.keepers, permit.NewLimiter(permit.WeightLimits(f.limit)))
	}
	f.elect()
	return f
}

func (f *failover) elect() {
	f.term++
	f.leader = f.rand.IntN(len(f.keepers))
	f.believes[f.leader] = f.term
}

const failoverSteps = 1200

func (f *failover) run(confirmed bool) {
	for range failoverSteps {
		f.now = f.now.Add(time.Duration(f.rand.IntN(100)) * time.Millisecond)
		switch f.rand.IntN(60) {
		case 0:
			f.elect()
		case 1:
			f.now = f.now.Add(5 * time.Second)
		default:
			f.ask(f.rand.IntN(len(f.keepers)), confirmed)
		}
	}
}

// ask asks a process that believes to lead. A confirmed grant counts only if
// a quorum confirms the term after it.
func (f *failover) ask(process int, confirmed bool) {
	term := f.believes[process]
	if term == 0 {
		return
	}
	if !confirmed {
		term = 1
	}
	amount := uint32(1 + f.rand.IntN(3))
	at := f.now
	granted, _ := f.keepers[process].Take(at, term, permit.KindWeights, amount)
	if granted && (!confirmed || f.believes[process] == f.term) {
		f.grants = append(f.grants, grant{at: at, amount: amount})
	}
}

// excess returns by how much the grants of any span go above burst and rate.
func (f *failover) excess() float64 {
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
