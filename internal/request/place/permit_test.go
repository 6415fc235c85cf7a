package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/request/place"
)

// limit makes a target limit its rate.
func limit(balancer *place.Balancer, target *place.Target) {
	balancer.RecordRateLimit(target, place.RateLimit{Limited: true, Rate: 1, NamedAt: start.Add(time.Second)})
}

// listed returns all targets of a balancer, by requests that each target is tried for.
func listed(t *testing.T, balancer *place.Balancer, n int) []*place.Target {
	t.Helper()
	req := promptRequest(1)
	for range n {
		target := choose(t, balancer, start, req).Target
		balancer.Finish(start, target, place.Healthy)
		req.Tried = append(req.Tried, target)
	}
	return req.Tried
}

func TestWithoutLimitsNoPermitIsNeeded(t *testing.T) {
	plan := newBalancer(3).PlanPermit(start, promptRequest(1))
	assert.Assert(t, !plan.Required && len(plan.Candidates) == 0)
}

func TestPermitIsAskedOnlyForThePreferredTarget(t *testing.T) {
	balancer := newBalancer(4)
	preferred := choose(t, balancer, start, promptRequest(1)).Target
	limit(balancer, preferred)
	plan := balancer.PlanPermit(start, promptRequest(1))
	assert.Assert(t, !plan.Required && len(plan.Candidates) == 1)
	assert.Equal(t, plan.Candidates[0], preferred)

	req := promptRequest(1)
	choice := choose(t, balancer, start, req)
	assert.Assert(t, choice.Target != preferred, "sent to a limited target without a permit")
	assert.Equal(t, choice.Reason, place.ReasonSpill)
	req.Permit = preferred
	assert.Equal(t, choose(t, balancer, start, req).Target, preferred)
}

func TestAllLimitedTargetsAreAskedForInOrderOfPreference(t *testing.T) {
	balancer := newBalancer(4)
	order := listed(t, balancer, 4)
	for _, target := range order {
		limit(balancer, target)
	}
	plan := balancer.PlanPermit(start, promptRequest(1))
	assert.Assert(t, plan.Required)
	assert.DeepEqual(t, names(plan.Candidates), names(order))
	_, found := balancer.Choose(start, promptRequest(1))
	assert.Assert(t, !found, "sent without a permit")

	until := start.Add(time.Second)
	balancer.RecordNoPermit(order, false, until)
	newChat := promptRequest(1)
	newChat.Parts[2]++
	plan = balancer.PlanPermit(start, newChat)
	assert.Assert(t, plan.Required && len(plan.Candidates) == 0)
	assert.Equal(t, plan.Next, until)
	assert.Equal(t, len(balancer.PlanPermit(until, newChat).Candidates), 4)
	newChat.Urgent = true
	assert.Equal(t, len(balancer.PlanPermit(start, newChat).Candidates), 4, "urgent requests may still get one")
}

func TestReturningChatIsUrgent(t *testing.T) {
	balancer := newBalancer(2)
	target := choose(t, balancer, start, promptRequest(1)).Target
	limit(balancer, target)
	assert.Assert(t, balancer.PlanPermit(start, promptRequest(1)).Urgent)
	assert.Assert(t, !balancer.PlanPermit(start, promptRequest(5)).Urgent, "another chat about the same")
}

// Guards against the targets without a limit that get all that the others do not take.
func TestFullTargetsGetNoneOfTheRest(t *testing.T) {
	balancer := newBalancer(2)
	limited := choose(t, balancer, start, promptRequest(1)).Target
	limit(balancer, limited)
	for range 64 {
		assert.Assert(t, choose(t, balancer, start, promptRequest(1)).Target != limited)
	}
	assert.Assert(t, balancer.PlanPermit(start, promptRequest(1)).Required)
	_, found := balancer.Choose(start, promptRequest(1))
	assert.Assert(t, !found, "all 64 slots are taken")
}

func TestEjectedLimitedTargetNeedsAPermitToo(t *testing.T) {
	balancer := newBalancer(1)
	only := choose(t, balancer, start, promptRequest(1)).Target
	limit(balancer, only)
	balancer.Finish(start, only, place.Unreachable)
	_, found := balancer.Choose(start, promptRequest(1))
	assert.Assert(t, !found)
	assert.Equal(t, len(balancer.PlanPermit(start, promptRequest(1)).Candidates), 1)
}

func names(targets []*place.Target) []string {
	var list []string
	for _, target := range targets {
		list = append(list, string(target.Name))
	}
	return list
}
