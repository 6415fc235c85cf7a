package poison_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusline.dev/cactusline/internal/process/seeds"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/ident"
)

var baseTime = time.Unix(1000, 0)

// at returns a time in seconds after baseTime.
func at(second int) time.Time { return baseTime.Add(time.Duration(second) * time.Second) }

func crash(target ident.TargetName, number uint64, inFlight ...ident.Fingerprint) poison.CrashReport {
	return poison.CrashReport{Target: target, Incarnation: 1, Number: number, InFlight: inFlight}
}

func TestVerdicts(t *testing.T) {
	const poisonous, bystander = 7, 8
	partial := crash("b", 0, poisonous)
	partial.Partial = true
	for name, c := range map[string]struct {
		reports []poison.CrashReport
		want    poison.Verdict
	}{
		"one crash":                            {[]poison.CrashReport{crash("a", 1, poisonous)}, poison.VerdictWatched},
		"one target twice":                     {[]poison.CrashReport{crash("a", 1, poisonous), crash("a", 2, poisonous)}, poison.VerdictWatched},
		"one crash reported twice":             {[]poison.CrashReport{crash("a", 1, poisonous), crash("a", 1, poisonous)}, poison.VerdictWatched},
		"two targets, alone":                   {[]poison.CrashReport{crash("a", 1, poisonous), crash("b", 1, poisonous)}, poison.VerdictQuarantined},
		"two targets, listed twice per report": {[]poison.CrashReport{crash("a", 1, poisonous, poisonous), crash("b", 1, poisonous, poisonous)}, poison.VerdictQuarantined},
		"two targets, not alone":               {[]poison.CrashReport{crash("a", 1, poisonous, bystander), crash("b", 1, poisonous, 9)}, poison.VerdictSuspect},
		"two targets, one partial report":      {[]poison.CrashReport{crash("a", 1, poisonous), partial}, poison.VerdictSuspect},
		"suspect, then alone": {
			[]poison.CrashReport{crash("a", 1, poisonous, bystander), crash("b", 1, poisonous, bystander), crash("c", 1, poisonous)},
			poison.VerdictQuarantined,
		},
		"alone, then suspect": {
			[]poison.CrashReport{crash("c", 1, poisonous), crash("a", 1, poisonous, bystander), crash("b", 1, poisonous, bystander)},
			poison.VerdictSuspect,
		},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := poison.NewTracker(poison.Config{})
			for i, report := range c.reports {
				tracker.RecordCrash(at(i), report)
			}
			assert.Equal(t, tracker.Verdict(at(9), poisonous), c.want)
			assert.Assert(t, tracker.Verdict(at(9), bystander) < poison.VerdictQuarantined)
		})
	}
}

// TestRandomisedBystanders guards against verdicts on requests that only ran
// beside a poison request. One poison request crashes targets while harmless
// requests run there, which are then retried. No harmless request may stay
// suspect, and the poison request may crash at most three targets.
func TestRandomisedBystanders(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 40}, func(t *testing.T, seed uint64) {
		const poisonous ident.Fingerprint = 1000
		rng := rand.New(rand.NewPCG(seed, 0))
		tracker := poison.NewTracker(poison.Config{})
		var set poison.VerdictSet
		crashes := 0
		for second := 0; second < 200; second++ {
			target := ident.TargetName(fmt.Sprint(second % 7))
			running := []ident.Fingerprint{poisonous}
			if set.Verdict(poisonous) < poison.VerdictSuspect {
				for range rng.IntN(4) {
					running = append(running, ident.Fingerprint(rng.IntN(5)))
				}
			}
			if !set.Quarantined(poisonous) {
				crashes++
				set.Apply(tracker.RecordCrash(at(second), crash(target, 1, running...)))
			}
			for fingerprint := range ident.Fingerprint(5) {
				if set.Verdict(fingerprint) == poison.VerdictSuspect {
					set.Apply(tracker.RecordCompletion(at(second), fingerprint))
				}
				assert.Assert(t, set.Verdict(fingerprint) < poison.VerdictSuspect)
			}
		}
		assert.Assert(t, set.Quarantined(poisonous))
		assert.Assert(t, crashes <= 3, "%d crashes", crashes)
	})
}

func TestQuarantineExpires(t *testing.T) {
	tracker := poison.NewTracker(poison.Config{})
	tracker.RecordCrash(baseTime, crash("a", 1, 7))
	changes := tracker.RecordCrash(baseTime, crash("b", 1, 7))
	assert.DeepEqual(t, changes, []poison.VerdictChange{{
		Fingerprint: 7, Verdict: poison.VerdictQuarantined, Expires: baseTime.Add(poison.DefaultQuarantine),
	}})
	assert.Equal(t, len(tracker.RecordCompletion(at(1), 7)), 0, "a quarantined request was cleared")
	end := baseTime.Add(poison.DefaultQuarantine)
	assert.Equal(t, tracker.Verdict(end, 7), poison.VerdictNone)
	assert.DeepEqual(t, tracker.Expire(end), []poison.VerdictChange{{Fingerprint: 7}})
}

// TestRandomisedMerge checks that replicas that merge the same entries in
// different orders end with the same state.
func TestRandomisedMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries := make([][]poison.Entry, 3)
		for i := range entries {
			tracker := poison.NewTracker(poison.Config{Window: time.Hour})
			for range rapid.IntRange(0, 6).Draw(t, "reports") {
				now := at(rapid.IntRange(0, 20).Draw(t, "second"))
				fingerprint := ident.Fingerprint(rapid.IntRange(1, 3).Draw(t, "fingerprint"))
				target := ident.TargetName(rapid.SampledFrom([]string{"a", "b"}).Draw(t, "target"))
				if rapid.IntRange(0, 3).Draw(t, "clear") == 0 {
					tracker.RecordCompletion(now, fingerprint)
					continue
				}
				report := crash(target, uint64(rapid.IntRange(1, 3).Draw(t, "number")), fingerprint)
				report.Partial = rapid.Bool().Draw(t, "partial")
				tracker.RecordCrash(now, report)
			}
			entries[i] = tracker.Entries()
		}
		merged := func(order ...int) []poison.Entry {
			tracker := poison.NewTracker(poison.Config{})
			for _, i := range order {
				tracker.Merge(entries[i])
			}
			return slices.DeleteFunc(tracker.Entries(), func(e poison.Entry) bool { return len(e.Crashes) == 0 })
		}
		assert.DeepEqual(t, merged(0, 1, 2), merged(2, 1, 0, 1))
		assert.DeepEqual(t, merged(0, 1, 2), merged(1, 0, 2, 2, 0))
	})
}

func TestBoundedMemory(t *testing.T) {
	tracker := poison.NewTracker(poison.Config{MaxFingerprints: 10})
	tracker.RecordCrash(baseTime, crash("a", 1, 1))
	tracker.RecordCrash(baseTime, crash("b", 1, 1))
	for i := range 100 {
		tracker.RecordCrash(at(i), crash("c", uint64(i), ident.Fingerprint(100+i), ident.Fingerprint(300+i)))
	}
	assert.Equal(t, len(tracker.Entries()), 10)
	assert.Equal(t, tracker.Verdict(at(100), 1), poison.VerdictQuarantined, "a quarantined entry was evicted before a less severe one")

	var blocklist poison.Blocklist
	for i := range poison.MaxBlocked + 10 {
		blocklist.Block(at(i+1), []ident.Fingerprint{ident.Fingerprint(i)})
	}
	assert.Assert(t, !blocklist.Blocked(baseTime, 0))
	assert.Assert(t, blocklist.Blocked(baseTime, poison.MaxBlocked))
	assert.Assert(t, !blocklist.Blocked(at(2*poison.MaxBlocked), poison.MaxBlocked))
}

func TestInFlightAtCrash(t *testing.T) {
	tracker := poison.NewTracker(poison.Config{})
	tracker.RecordCrash(baseTime, crash("a", 1, 2, 1))
	tracker.RecordCrash(baseTime, crash("b", 1, 3))
	assert.DeepEqual(t, tracker.InFlightAtCrash(baseTime, "a"), []ident.Fingerprint{1, 2})
}

// TestMarkWatchedStaysUntilControlSendsVerdict guards against the loss of a local
// verdict by a list that control sent before it heard of the crash.
func TestMarkWatchedStaysUntilControlSendsVerdict(t *testing.T) {
	var set poison.VerdictSet
	unrelated := poison.VerdictChange{Fingerprint: 1, Verdict: poison.VerdictQuarantined}
	set.MarkWatched(7)
	set.Replace([]poison.VerdictChange{unrelated})
	assert.Equal(t, set.Verdict(7), poison.VerdictWatched, "a list from before the crash removed the mark")
	set.Replace([]poison.VerdictChange{unrelated, {Fingerprint: 7, Verdict: poison.VerdictSuspect}})
	assert.Equal(t, set.Verdict(7), poison.VerdictSuspect)
	set.Replace(nil)
	assert.Equal(t, set.Verdict(7), poison.VerdictNone)

	for fingerprint := range ident.Fingerprint(poison.MaxLocalWatched + 1) {
		set.MarkWatched(fingerprint)
	}
	assert.Equal(t, set.Verdict(0), poison.VerdictNone)
	assert.Equal(t, set.Verdict(poison.MaxLocalWatched), poison.VerdictWatched)
	set.Apply([]poison.VerdictChange{{Fingerprint: 5}})
	set.Replace(nil)
	assert.Equal(t, set.Verdict(5), poison.VerdictNone)
}

func TestSetLookupDoesNotAllocate(t *testing.T) {
	var set poison.VerdictSet
	set.Replace([]poison.VerdictChange{{Fingerprint: 7, Verdict: poison.VerdictQuarantined}})
	set.MarkWatched(8)
	assert.Assert(t, set.Quarantined(7) && !set.Quarantined(8))
	allocations := testing.AllocsPerRun(100, func() { set.Quarantined(7) })
	assert.Equal(t, allocations, 0.0)
}
