package poison_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/seeds"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/ident"
)

func directCrash(target ident.TargetName, second int, inFlight ...ident.Fingerprint) poison.DirectCrash {
	return poison.DirectCrash{Target: target, At: at(second), InFlight: inFlight}
}

func TestDirectCrashVerdicts(t *testing.T) {
	const poisonous = 7
	for name, c := range map[string]struct {
		crashes []poison.DirectCrash
		want    poison.Verdict
	}{
		"one":                           {[]poison.DirectCrash{directCrash("a", 1, poisonous)}, poison.VerdictNone},
		"two":                           {[]poison.DirectCrash{directCrash("a", 1, poisonous), directCrash("b", 2, poisonous, 8)}, poison.VerdictSuspect},
		"three":                         {[]poison.DirectCrash{directCrash("a", 1, poisonous), directCrash("b", 2, 8, poisonous), directCrash("c", 3, poisonous)}, poison.VerdictQuarantined},
		"one target, restarted":         {[]poison.DirectCrash{directCrash("a", 1, poisonous), directCrash("a", 4, poisonous), directCrash("a", 7, poisonous)}, poison.VerdictQuarantined},
		"one crash, seen by two gates":  {[]poison.DirectCrash{directCrash("a", 1, poisonous), directCrash("a", 1, poisonous), directCrash("b", 2, poisonous)}, poison.VerdictSuspect},
		"reports out of order of times": {[]poison.DirectCrash{directCrash("c", 3, poisonous), directCrash("a", 1, poisonous), directCrash("b", 2, poisonous)}, poison.VerdictQuarantined},
	} {
		t.Run(name, func(t *testing.T) {
			tracker := poison.NewTracker(poison.Config{})
			for _, crash := range c.crashes {
				tracker.RecordDirectCrash(at(8), crash)
			}
			assert.Equal(t, tracker.Verdict(at(9), poisonous), c.want)
			assert.Equal(t, tracker.Verdict(at(9), 8), poison.VerdictNone)

			restored := poison.NewTracker(poison.Config{})
			restored.Merge(tracker.Entries())
			assert.DeepEqual(t, restored.ActiveVerdicts(at(9)), tracker.ActiveVerdicts(at(9)))
		})
	}
}

func TestCompletionClearsDirectCrashes(t *testing.T) {
	tracker := poison.NewTracker(poison.Config{})
	tracker.RecordDirectCrash(at(1), directCrash("a", 1, 7))
	tracker.RecordDirectCrash(at(2), directCrash("b", 2, 7))
	assert.DeepEqual(t, tracker.RecordCompletion(at(3), 7), []poison.VerdictChange{{Fingerprint: 7}})
	assert.Equal(t, len(tracker.RecordDirectCrash(at(4), directCrash("c", 1, 7))), 0, "a late report of an earlier crash counts")
	tracker.RecordDirectCrash(at(4), directCrash("c", 4, 7))
	assert.Equal(t, tracker.Verdict(at(5), 7), poison.VerdictNone)
}

// quarantineDirectly quarantines requests that were never in flight at the same target.
func quarantineDirectly(tracker *poison.Tracker, fingerprints ...ident.Fingerprint) (end time.Time) {
	for i, target := range []string{"a", "b", "c"} {
		for _, fingerprint := range fingerprints {
			tracker.RecordDirectCrash(at(i), directCrash(ident.TargetName(fmt.Sprint(target, fingerprint)), i, fingerprint))
		}
	}
	return tracker.ActiveVerdicts(at(3))[0].Expires
}

// A request that only ran beside a poison request may run again after the first
// quarantine; the poison request then crashes one more target.
func TestDirectQuarantineEndsOnce(t *testing.T) {
	tracker := poison.NewTracker(poison.Config{})
	end := quarantineDirectly(tracker, 7, 8)
	assert.Equal(t, end, at(2).Add(poison.DefaultDirectQuarantine))
	var set poison.VerdictSet
	set.Replace(tracker.ActiveVerdicts(at(3)))
	for _, fingerprint := range []ident.Fingerprint{7, 8} {
		got, quarantined := set.QuarantineEnd(end.Add(-1), fingerprint)
		assert.Assert(t, quarantined && got.Equal(end))
		_, quarantined = set.QuarantineEnd(end, fingerprint)
		assert.Assert(t, !quarantined)
	}
	assert.Equal(t, len(tracker.RecordCompletion(at(4), 8)), 0, "a quarantined request was cleared")
	assert.DeepEqual(t, tracker.RecordCompletion(end, 8), []poison.VerdictChange{{Fingerprint: 8}})

	crashedAgain := poison.DirectCrash{Target: "d", At: end, InFlight: []ident.Fingerprint{7}}
	changes := tracker.RecordDirectCrash(end, crashedAgain)
	assert.DeepEqual(t, changes, []poison.VerdictChange{{
		Fingerprint: 7, Verdict: poison.VerdictQuarantined, Expires: end.Add(poison.DefaultQuarantine),
	}})
}

func TestOneTrialAtATime(t *testing.T) {
	tracker := poison.NewTracker(poison.Config{})
	end := quarantineDirectly(tracker, 7, 8, 9)
	assert.Assert(t, tracker.BeginTrial(at(4), 1000), "not quarantined")
	assert.Assert(t, !tracker.BeginTrial(end.Add(-1), 7), "still quarantined")
	assert.Assert(t, tracker.BeginTrial(end, 7))
	restored := poison.NewTracker(poison.Config{})
	restored.Merge(tracker.Entries())
	for _, tracker := range []*poison.Tracker{tracker, restored} {
		for _, fingerprint := range []ident.Fingerprint{7, 8} {
			assert.Assert(t, !tracker.BeginTrial(end.Add(poison.TrialInterval-1), fingerprint), "beside another trial")
		}
	}

	tracker.RecordDirectCrash(end.Add(time.Second), poison.DirectCrash{Target: "d", At: end.Add(time.Second), InFlight: []ident.Fingerprint{7}})
	now := end.Add(2 * time.Second)
	assert.Assert(t, !tracker.BeginTrial(now, 7), "quarantined again")
	assert.Assert(t, tracker.BeginTrial(now, 8), "after a crash")
	tracker.RecordCompletion(now.Add(time.Second), 8)
	now = now.Add(2 * time.Second)
	assert.Assert(t, tracker.BeginTrial(now, 9), "after a completion")
	assert.Assert(t, !tracker.BeginTrial(now.Add(time.Second), 9))
	assert.Assert(t, tracker.BeginTrial(now.Add(poison.TrialInterval), 9), "without a result")
}

// newCompanyTracker returns a tracker of a poison request, 7, that crashed the given
// targets a second apart, the last at second 3, and of a bystander, 8, at the last three.
func newCompanyTracker(targets ...ident.TargetName) *poison.Tracker {
	tracker := poison.NewTracker(poison.Config{})
	for i, target := range targets {
		second := 4 - len(targets) + i
		tracker.RecordDirectCrash(at(second), directCrash(target, second, 7))
		if second > 0 {
			tracker.RecordDirectCrash(at(second), directCrash(target, second, 8))
		}
	}
	return tracker
}

// Guards against a request that stays rejected for a minute since it was sent to targets
// beside a poison request, which has crashed one more.
func TestBystanderRunsOnEarlyTrial(t *testing.T) {
	tracker := newCompanyTracker("a", "b", "c", "d")
	expires := make(map[ident.Fingerprint]time.Time)
	for _, change := range tracker.ActiveVerdicts(at(4)) {
		expires[change.Fingerprint] = change.Expires
	}
	assert.DeepEqual(t, expires, map[ident.Fingerprint]time.Time{7: at(3).Add(poison.DefaultDirectQuarantine), 8: at(5)})

	assert.Assert(t, !tracker.BeginEarlyTrial(at(5).Add(-1), 8), "reports of other crashes may be on their way")
	assert.Equal(t, len(tracker.RecordTrialCompletion(at(5), 8)), 0, "a quarantined request was cleared without a trial")
	assert.Assert(t, !tracker.BeginTrial(at(5), 8), "not by the rule of older formats")
	assert.Assert(t, !tracker.BeginEarlyTrial(at(5), 7), "crashed a target without the other")
	assert.Assert(t, tracker.BeginEarlyTrial(at(5), 8))
	assert.Equal(t, len(tracker.RecordCompletion(at(6), 8)), 0, "cleared by the rule of older formats")
	assert.DeepEqual(t, tracker.RecordTrialCompletion(at(6), 8), []poison.VerdictChange{{Fingerprint: 8}})
	assert.Equal(t, tracker.Verdict(at(6), 7), poison.VerdictQuarantined)
}

// Of two requests that were in flight at the same crashes, the first trials tell which one
// is the cause, which then has no early trial any more.
func TestEarlyTrialsTellPoisonRequestFromBystander(t *testing.T) {
	for name, bystanderFirst := range map[string]bool{"bystander first": true, "poison request first": false} {
		t.Run(name, func(t *testing.T) {
			tracker := newCompanyTracker("a", "b", "c")
			now := at(5)
			runBystander := func() {
				assert.Assert(t, tracker.BeginEarlyTrial(now, 8))
				now = now.Add(time.Second)
				assert.DeepEqual(t, tracker.RecordTrialCompletion(now, 8), []poison.VerdictChange{{Fingerprint: 8}})
			}
			if bystanderFirst {
				runBystander()
				assert.Assert(t, !tracker.BeginEarlyTrial(now, 7))
			} else {
				assert.Assert(t, tracker.BeginEarlyTrial(now, 7))
				assert.Assert(t, !tracker.BeginEarlyTrial(now, 8), "beside another trial")
				now = now.Add(time.Second)
				tracker.RecordDirectCrash(now, poison.DirectCrash{Target: "d", At: now, InFlight: []ident.Fingerprint{7}})
				runBystander()
			}
			later := now.Add(poison.DefaultDirectQuarantine / 2)
			assert.Assert(t, !tracker.BeginEarlyTrial(later, 7))
			assert.Equal(t, tracker.Verdict(later, 8), poison.VerdictNone)
		})
	}
}

// A request that crashes its target on an early trial is no bystander.
func TestCrashOnEarlyTrialQuarantines(t *testing.T) {
	tracker := newCompanyTracker("a", "b", "c", "d")
	assert.Assert(t, tracker.BeginEarlyTrial(at(5), 8))
	tracker.RecordDirectCrash(at(6), directCrash("e", 6, 8))
	assert.Equal(t, len(tracker.RecordTrialCompletion(at(7), 8)), 0)
	assert.Assert(t, !tracker.BeginEarlyTrial(at(30), 8))
}

// Guards against early trials of a request because of its own parts, which are in flight at
// all its crashes, and of a part because of a request with it.
func TestPartAndItsRequestAreNoBystandersOfEachOther(t *testing.T) {
	const request, other, part = 7, 8, 100
	tracker := poison.NewTracker(poison.Config{})
	// A part is held only if no single request was in flight at its crashes.
	for i, second := range []int{0, 1, 2, 3, 4, 7} {
		sent := ident.Fingerprint(request)
		if second >= 3 {
			sent = other
		}
		crash := directCrash(ident.TargetName(fmt.Sprint("target-", i)), second, sent)
		crash.Parts = []poison.PartInFlight{{Part: poison.Part{ID: 1, Depth: 1}, Fingerprint: part, Sent: at(second)}}
		tracker.RecordDirectCrash(at(second), crash)
		if second == 2 {
			assert.Assert(t, !tracker.BeginEarlyTrial(at(4), request), "its part is no other request")
		}
	}
	assert.Equal(t, tracker.Verdict(at(7), part), poison.VerdictQuarantined)
	assert.Assert(t, !tracker.BeginEarlyTrial(at(30), part), "a trial has crashed its target")
}

// gateModel is a fleet of gates that send requests to targets without sidecars. Its
// reports and verdicts take up to maxReportDelay, as during an election.
type gateModel struct {
	rng     *rand.Rand
	now     time.Time
	tracker *poison.Tracker
	set     poison.VerdictSet
	pending []delayedReport
	// upAt is when each target is up again, running what it runs, by bystander.
	upAt    []time.Time
	running map[ident.Fingerprint]run
	// poisonRuns are the times at which the poison request crashed a target.
	poisonRuns []time.Time
	completed  map[ident.Fingerprint]int
	// poisonEvery is the mean number of steps from one poison request to the next.
	poisonEvery int
}

// newGateModel returns a fleet of 4 to 12 targets that gets 10 to 100 poison requests a
// second, by seed.
func newGateModel(seed uint64) *gateModel {
	return &gateModel{
		rng: rand.New(rand.NewPCG(seed, 0)), now: baseTime, tracker: poison.NewTracker(poison.Config{}),
		poisonEvery: int(1 + seed%10), upAt: make([]time.Time, 4+seed%3*4),
		running: make(map[ident.Fingerprint]run), completed: make(map[ident.Fingerprint]int),
	}
}

type delayedReport struct {
	due   time.Time
	apply func()
}

type run struct {
	target int
	until  time.Time
}

const (
	modelPoison    ident.Fingerprint = 1000
	bystanders                       = 20
	modelStep                        = 10 * time.Millisecond
	maxReportDelay                   = 2 * time.Second
)

func (m *gateModel) report(apply func()) {
	delay := time.Duration(m.rng.Int64N(int64(maxReportDelay)))
	if m.rng.IntN(4) > 0 {
		delay = min(delay, 100*time.Millisecond)
	}
	m.pending = append(m.pending, delayedReport{due: m.now.Add(delay), apply: apply})
}

// send runs a request unless a gate rejects it. If the quarantine of the request has
// ended, the gate asks for a trial first, and runs it when it has the answer.
func (m *gateModel) send(fingerprint ident.Fingerprint, run func()) {
	if _, quarantined := m.set.QuarantineEnd(m.now, fingerprint); quarantined {
		return
	}
	if !m.set.Quarantined(fingerprint) {
		run()
		return
	}
	m.report(func() {
		if m.tracker.BeginEarlyTrial(m.now, fingerprint) {
			m.report(run)
		}
	})
}

// runPoison runs the poison request on a target that is up, which crashes with all
// that it runs. Each request in flight is reported by another gate.
func (m *gateModel) runPoison() {
	target := m.rng.IntN(len(m.upAt))
	if m.now.Before(m.upAt[target]) {
		return
	}
	m.poisonRuns = append(m.poisonRuns, m.now)
	m.upAt[target] = m.now.Add(1500 * time.Millisecond)
	lost := []ident.Fingerprint{modelPoison}
	for fingerprint := range ident.Fingerprint(bystanders) {
		if running, inFlight := m.running[fingerprint]; inFlight && running.target == target {
			lost = append(lost, fingerprint)
			delete(m.running, fingerprint)
		}
	}
	for _, fingerprint := range lost {
		crash := poison.DirectCrash{Target: ident.TargetName(fmt.Sprint(target)), At: m.now, InFlight: []ident.Fingerprint{fingerprint}}
		m.report(func() { m.tracker.RecordDirectCrash(m.now, crash) })
	}
}

// runBystander runs a harmless request on a target that is up.
func (m *gateModel) runBystander(fingerprint ident.Fingerprint) {
	target := m.rng.IntN(len(m.upAt))
	if _, inFlight := m.running[fingerprint]; inFlight || m.now.Before(m.upAt[target]) {
		return
	}
	m.running[fingerprint] = run{target: target, until: m.now.Add(time.Duration(20+m.rng.IntN(500)) * time.Millisecond)}
}

// stepBystander ends a harmless request that is due, or sends it again.
func (m *gateModel) stepBystander(fingerprint ident.Fingerprint) {
	running, inFlight := m.running[fingerprint]
	if !inFlight {
		m.send(fingerprint, func() { m.runBystander(fingerprint) })
		return
	}
	if m.now.Before(running.until) {
		return
	}
	delete(m.running, fingerprint)
	m.completed[fingerprint]++
	if m.set.Verdict(fingerprint) != poison.VerdictNone {
		m.report(func() { m.tracker.RecordTrialCompletion(m.now, fingerprint) })
	}
}

func (m *gateModel) step() {
	m.now = m.now.Add(modelStep)
	pending := m.pending
	m.pending = nil
	for _, report := range pending {
		if m.now.Before(report.due) {
			m.pending = append(m.pending, report)
			continue
		}
		report.apply()
		m.set.Replace(m.tracker.ActiveVerdicts(m.now))
	}
	if m.rng.IntN(m.poisonEvery) == 0 {
		m.send(modelPoison, m.runPoison)
	}
	for fingerprint := range ident.Fingerprint(bystanders) {
		m.stepBystander(fingerprint)
	}
}

// Guards against a model whose runs differ for the same seed, so that a failure could
// not be repeated.
func TestGateModelRepeatsBySeed(t *testing.T) {
	const steps = int(20 * time.Second / modelStep)
	for seed := range uint64(10) {
		var first *gateModel
		for range 3 {
			m := newGateModel(seed)
			for range steps {
				m.step()
			}
			if first == nil {
				first = m
			}
			assert.DeepEqual(t, m.poisonRuns, first.poisonRuns)
			assert.DeepEqual(t, m.completed, first.completed)
			assert.DeepEqual(t, m.tracker.Entries(), first.tracker.Entries())
		}
	}
}

// Five minutes of a poison request that is sent 10 to 100 times a second. It may reach a
// target three times more than maxReportDelay after its third crash, and every
// bystander goes on to complete.
func TestRandomisedPoisonRequestStopsAtGates(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 24}, func(t *testing.T, seed uint64) {
		m := newGateModel(seed)
		halfway := make(map[ident.Fingerprint]int)
		const steps = int(5 * time.Minute / modelStep)
		for step := range steps {
			m.step()
			if step == steps/2 {
				for fingerprint, count := range m.completed {
					halfway[fingerprint] = count
				}
			}
		}
		late := 0
		for _, at := range m.poisonRuns {
			if len(m.poisonRuns) >= 3 && at.Sub(m.poisonRuns[2]) > maxReportDelay+modelStep {
				late++
			}
		}
		assert.Check(t, late <= 3, "%d late runs of %d", late, len(m.poisonRuns))
		for fingerprint := range ident.Fingerprint(bystanders) {
			assert.Check(t, m.completed[fingerprint] > halfway[fingerprint], "bystander %d completes no more", fingerprint)
			assert.Check(t, m.tracker.Verdict(m.now, fingerprint) < poison.VerdictQuarantined)
		}
	})
}

// Guards against a crash after the quarantine that is not counted, because the
// request has crashed more targets before than an entry holds.
func TestCrashAfterQuarantineCountsBesideMany(t *testing.T) {
	tracker := poison.NewTracker(poison.Config{})
	for i := range 2 * poison.MaxCrashes {
		tracker.RecordDirectCrash(at(0), directCrash(ident.TargetName(fmt.Sprintf("target-%02d", i)), 0, 7))
	}
	end := tracker.ActiveVerdicts(at(0))[0].Expires
	tracker.RecordDirectCrash(end, poison.DirectCrash{Target: "target-99", At: end, InFlight: []ident.Fingerprint{7}})
	assert.Equal(t, tracker.Verdict(end, 7), poison.VerdictQuarantined)
}
