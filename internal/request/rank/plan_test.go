package rank_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/request/rank"
)

func next(t *testing.T, p *rank.Plan) rank.Offer {
	t.Helper()
	offer, ok := p.Next()
	assert.Assert(t, ok)
	return offer
}

func TestPlanFollowsMovedChatAndReturns(t *testing.T) {
	plan := newPool(targets(10)).NewPlan(rank.Query{Now: start, Chat: 5, PrefixTokens: 100})
	home := next(t, plan)
	assert.Equal(t, home.Reason, rank.Home)
	other := targets(10)[(home.Index+1)%10].Name
	plan.Refused(home, rank.Refusal{LastServedBy: other, Moved: true})
	moved := next(t, plan)
	assert.Equal(t, moved.Target, other)
	assert.Equal(t, moved.Reason, rank.LastServed)
	plan.Refused(moved, rank.Refusal{Load: digest.Load{Requests: 9}})
	again := next(t, plan)
	assert.Equal(t, again.Target, home.Target)
	assert.Assert(t, again.NoRedirect, "the home target must not redirect the chat again")
}

func TestPlanMakesFinalOfferToLeastLoaded(t *testing.T) {
	plan := newPool(targets(10)).NewPlan(rank.Query{Now: start, Chat: 5, PrefixTokens: 100})
	leastLoaded := rank.Offer{}
	for try := range rank.DefaultMaxRefusals {
		offer := next(t, plan)
		assert.Assert(t, !offer.Final)
		refusal := rank.Refusal{Load: digest.Load{Requests: 10 - try}}
		if try == rank.DefaultMaxRefusals-1 {
			refusal.Unavailable = true
		} else {
			leastLoaded = offer
		}
		plan.Refused(offer, refusal)
	}
	final := next(t, plan)
	assert.Assert(t, final.Final)
	assert.Equal(t, final.Target, leastLoaded.Target)
	_, ok := plan.Next()
	assert.Assert(t, !ok)
}

func TestPlanWithoutTargetsMakesNoOffer(t *testing.T) {
	_, ok := newPool(nil).NewPlan(rank.Query{Now: start, Chat: 5}).Next()
	assert.Assert(t, !ok)
}
