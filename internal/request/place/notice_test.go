package place_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/request/place"
)

func at(d time.Duration) time.Time { return start.Add(d) }

// chosenOf returns the names of the targets that get one of many requests at a time.
func chosenOf(balancer *place.Balancer, now time.Time) map[string]bool {
	chosen := map[string]bool{}
	for seed := range uint64(60) {
		choice, found := balancer.Choose(now, promptRequest(seed))
		if found {
			chosen[string(choice.Target.Name)] = true
			balancer.Finish(now, choice.Target, place.Healthy)
		}
	}
	return chosen
}

func targetNamed(t *testing.T, balancer *place.Balancer, list []roster.Target, i int) *place.Target {
	t.Helper()
	for seed := range uint64(1000) {
		choice, found := balancer.Choose(start, promptRequest(seed))
		assert.Assert(t, found)
		balancer.Finish(start, choice.Target, place.Inconclusive)
		if choice.Target.Name == list[i].Name {
			return choice.Target
		}
	}
	t.Fatal("never chosen")
	return nil
}

func TestLeavingTargetIsLeftAtOnce(t *testing.T) {
	balancer, list := place.NewBalancer(place.Config{LeavingGrace: 2 * time.Second}), targets(3)
	balancer.Update(start, "s", list)
	leaving := targetNamed(t, balancer, list, 0)
	assert.Assert(t, balancer.RecordLeaving(start, start, leaving, true))
	assert.Assert(t, !balancer.RecordLeaving(at(time.Second), start, leaving, true), "it has said so before")
	assert.Assert(t, !chosenOf(balancer, start)[string(leaving.Name)])
	assert.Equal(t, len(balancer.Notices(start)), 1)

	// An older response takes nothing back, and one to a later attempt does.
	assert.Assert(t, !balancer.RecordLeaving(at(time.Second), start.Add(-time.Second), leaving, false))
	assert.Assert(t, !chosenOf(balancer, at(time.Second))[string(leaving.Name)])
	assert.Assert(t, balancer.RecordLeaving(at(2*time.Second), at(time.Second), leaving, false))
	assert.Assert(t, chosenOf(balancer, at(2*time.Second))[string(leaving.Name)])
}

func TestLastTargetsThatLeaveServeForTheGrace(t *testing.T) {
	balancer, list := place.NewBalancer(place.Config{LeavingGrace: 2 * time.Second}), targets(2)
	balancer.Update(start, "s", list)
	for i := range list {
		balancer.RecordLeaving(start, start, targetNamed(t, balancer, list, i), true)
	}
	assert.Assert(t, len(chosenOf(balancer, at(1900*time.Millisecond))) > 0)
	assert.Equal(t, len(chosenOf(balancer, at(2*time.Second))), 0)
}

func TestNewTargetUnderTheAddressStartsClean(t *testing.T) {
	balancer, list := place.NewBalancer(place.Config{}), targets(2)
	balancer.Update(start, "s", list)
	target := targetNamed(t, balancer, list, 0)
	balancer.RecordLeaving(start, start, target, true)
	balancer.RecordPause(start, target, time.Minute)
	renamed := append([]roster.Target(nil), list...)
	renamed[0].Name = "another"
	balancer.Update(at(time.Second), "s", renamed)
	assert.Assert(t, chosenOf(balancer, at(time.Second))["another"])
	// A target that left the list and comes back has started again.
	balancer.Update(at(2*time.Second), "s", list)
	assert.Assert(t, chosenOf(balancer, at(2*time.Second))[string(list[0].Name)])
}

func TestPausedTargetComesBackSpread(t *testing.T) {
	ends := map[time.Duration]bool{}
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		balancer, list := place.NewBalancer(place.Config{Name: name}), targets(3)
		balancer.Update(start, "s", list)
		target := targetNamed(t, balancer, list, 0)
		assert.Assert(t, balancer.RecordPause(start, target, 2*time.Second))
		assert.Assert(t, !balancer.RecordPause(start, target, time.Second), "it pauses already")
		assert.Assert(t, !balancer.MaySend(at(1900*time.Millisecond), target))
		assert.Assert(t, !chosenOf(balancer, at(1999*time.Millisecond))[string(target.Name)])
		assert.Assert(t, chosenOf(balancer, at(2500*time.Millisecond))[string(target.Name)])
		for end := 2 * time.Second; ; end += 50 * time.Millisecond {
			if balancer.MaySend(at(end), target) {
				ends[end] = true
				break
			}
		}
	}
	assert.Assert(t, len(ends) >= 4, "processes come back at %v", ends)
}

func TestPauseEndIsTheFirst(t *testing.T) {
	balancer, list := place.NewBalancer(place.Config{}), targets(2)
	balancer.Update(start, "s", list)
	first, second := targetNamed(t, balancer, list, 0), targetNamed(t, balancer, list, 1)
	_, paused := balancer.PauseEnd(start, promptRequest(1))
	assert.Assert(t, !paused)
	balancer.RecordPause(start, first, 3*time.Second)
	balancer.RecordPause(start, second, time.Second)
	end, paused := balancer.PauseEnd(start, promptRequest(1))
	assert.Assert(t, paused && end.Sub(start) >= time.Second && end.Sub(start) < 1500*time.Millisecond, "%v", end.Sub(start))
	_, found := balancer.Choose(start, promptRequest(1))
	assert.Assert(t, !found)
	balancer.RecordPause(start, second, 1<<62)
	end, _ = balancer.PauseEnd(at(10*time.Second), promptRequest(1))
	assert.Assert(t, end.Sub(start) > time.Minute && end.Sub(start) < 2*time.Hour, "%v", end.Sub(start))
}

// Whatever is said in whatever order, a target that pauses is never chosen, and one that
// leaves only within its grace and if there is no other.
func TestRandomisedNoticesAreHeeded(t *testing.T) {
	const grace = 2 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		balancer, list := place.NewBalancer(place.Config{Name: "g", LeavingGrace: grace}), targets(3)
		balancer.Update(start, "s", list)
		now := start
		var seen []*place.Target
		leaving, paused := map[*place.Target]time.Time{}, map[*place.Target]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			choice, found := balancer.Choose(now, promptRequest(rapid.Uint64Range(0, 40).Draw(t, "prompt")))
			if found {
				target := choice.Target
				assert.Assert(t, !now.Before(paused[target]), "a paused target was chosen")
				if since, leaves := leaving[target]; leaves {
					assert.Assert(t, now.Sub(since) < grace, "a target that left was chosen")
					for _, other := range seen {
						_, otherLeaves := leaving[other]
						assert.Assert(t, otherLeaves || now.Before(paused[other].Add(500*time.Millisecond)), "another target could serve")
					}
				}
				balancer.Finish(now, target, place.Healthy)
				if _, known := leaving[target]; !known && rapid.Bool().Draw(t, "leave") && balancer.RecordLeaving(now, now, target, true) {
					leaving[target] = now
				}
				if rapid.Bool().Draw(t, "pause") {
					pause := time.Duration(rapid.IntRange(1, 4000).Draw(t, "pause")) * time.Millisecond
					balancer.RecordPause(now, target, pause)
					if until := now.Add(pause); until.After(paused[target]) {
						paused[target] = until
					}
				}
				if !contains(seen, target) {
					seen = append(seen, target)
				}
			}
		}
	})
}

func contains(list []*place.Target, target *place.Target) bool {
	for _, other := range list {
		if other == target {
			return true
		}
	}
	return false
}

// A target that pauses wants no fetches of its cache either; one that leaves may well be
// fetched from.
func TestPausedTargetIsNotFetchedFrom(t *testing.T) {
	for _, pauses := range []bool{true, false} {
		balancer, list := place.NewBalancer(place.Config{LeavingGrace: time.Second}), targets(3)
		balancer.Update(start, "s", list)
		req := promptRequest(7)
		holder := choose(t, balancer, start, req).Target
		balancer.Finish(start, holder, place.Healthy)
		if pauses {
			balancer.RecordPause(at(time.Second), holder, time.Minute)
		} else {
			balancer.RecordLeaving(at(time.Second), start, holder, true)
		}
		choice := choose(t, balancer, at(time.Second), promptRequest(7))
		assert.Assert(t, choice.Target != holder)
		assert.Equal(t, choice.FetchFrom == holder.Address, !pauses)
	}
}
