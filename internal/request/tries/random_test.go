package tries_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/seeds"
)

func TestRandomisedRequests(t *testing.T) {
	steps, joins := 0, 0
	outcomes := make(map[string]int)
	span := seeds.FromEnv(seeds.Range{First: 1, Last: 800})
	for seed := span.First; seed <= span.Last; seed++ {
		sim := newSimulation(seed)
		assert.Equal(t, sim.run(), "", "seed %d; repeat with: %s", seed, seeds.Command(t.Name(), seed))
		steps += sim.steps
		joins += sim.joins
		for outcome, count := range sim.outcomes {
			outcomes[outcome] += count
		}
	}
	t.Logf("%d steps, %d joins, outcomes %v", steps, joins, outcomes)
}
