package group_test

import (
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/seeds"
)

const (
	randomSteps   = 2000
	troubleTime   = 20 * time.Second
	healingEvents = 20_000
	checkTime     = 10 * time.Second
)

// TestRandomisedMembersStayLinearizable runs members under losses, delays,
// cuts, freezes, crashes and wiped disks. For a long run set
// CACTUSLINE_TEST_SEEDS to a range.
func TestRandomisedMembersStayLinearizable(t *testing.T) {
	done, unknown, wipes, crashes := 0, 0, 0, 0
	seeds.Run(t, seeds.Range{First: 1, Last: 150}, func(t *testing.T, seed uint64) {
		s := newSim(seed)
		s.trouble(troubleTime)
		s.run(randomSteps)
		assert.Assert(t, len(s.broken) == 0, "%v", s.broken)
		before := s.clients.done
		s.heal()
		s.now = max(s.now, troubleTime+time.Millisecond)
		for range healingEvents {
			s.run(1)
			if s.clients.done > before+10 && s.wiped == nil {
				break
			}
		}
		assert.Assert(t, len(s.broken) == 0, "%v", s.broken)
		assert.Assert(t, s.clients.done > before+10 && s.wiped == nil, "no progress after all faults ended: %s", s.describe())
		switch porcupine.CheckOperationsTimeout(model, s.clients.history, checkTime) {
		case porcupine.Illegal:
			t.Fatal("history is not linearizable")
		case porcupine.Unknown:
			unknown++
		}
		done += s.clients.done
		wipes += s.wipes
		crashes += s.crashes
	})
	t.Logf("operations done %d, histories undecided %d, wiped disks %d, crashes %d", done, unknown, wipes, crashes)
}
