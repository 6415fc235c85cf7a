package group_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/seeds"
)

const (
	faultySteps   = 2000
	faultDuration = 20 * time.Second
	recoverySteps = 20_000
	checkTimeout  = 10 * time.Second
)

// TestRandomisedMembersStayLinearizable checks that client histories stay
// linearizable under message loss, delay and duplication, network cuts, frozen
// processes, clock steps, crashes and wiped disks, and that the group makes
// progress after the faults end. Set CACTUSLINE_TEST_SEEDS to a range of seeds
// for a longer run.
func TestRandomisedMembersStayLinearizable(t *testing.T) {
	done, unknown, wipes, crashes := 0, 0, 0, 0
	seeds.Run(t, seeds.Range{First: 1, Last: 150}, func(t *testing.T, seed uint64) {
		s := newSim(seed)
		s.injectFaults(faultDuration)
		s.run(faultySteps)
		assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
		before := s.clients.completed
		s.endFaults()
		s.now = max(s.now, faultDuration+time.Millisecond)
		for range recoverySteps {
			s.run(1)
			if s.clients.completed > before+10 && s.replacement == nil {
				break
			}
		}
		assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
		assert.Assert(t, s.clients.completed > before+10 && s.replacement == nil, "no progress after all faults ended: %s", s.describe())
		switch porcupine.CheckOperationsTimeout(registerModel, s.clients.history, checkTimeout) {
		case porcupine.Illegal:
			t.Fatal("history is not linearizable")
		case porcupine.Unknown:
			unknown++
		}
		done += s.clients.completed
		wipes += s.wipeCount
		crashes += s.crashCount
	})
	t.Logf("operations completed %d, histories undecided %d, wiped disks %d, crashes %d", done, unknown, wipes, crashes)
}
