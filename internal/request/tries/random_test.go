package tries_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/seeds"
)

// TestRandomisedRequests checks in simulations with random faults that a
// request that is not idempotent never runs twice, that each response is
// complete and that the reported outcomes are true.
func TestRandomisedRequests(t *testing.T) {
	steps, joins := 0, 0
	outcomes := make(map[string]int)
	seedRange := seeds.FromEnv(seeds.Range{First: 1, Last: 800})
	for seed := seedRange.First; seed <= seedRange.Last; seed++ {
		sim := newSimulation(seed)
		assert.Equal(t, sim.run(), "", "seed %d; repeat with: %s", seed, seeds.RerunCommand(t.Name(), seed))
		steps += sim.steps
		joins += sim.joins
		for outcome, count := range sim.outcomes {
			outcomes[outcome] += count
		}
	}
	t.Logf("%d steps, %d joins, outcomes %v", steps, joins, outcomes)
}
