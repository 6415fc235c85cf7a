package poison

import (
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// TrialInterval is how long a trial that has no result keeps others from beginning. A
// crash is reported within it, or its report is given up.
const TrialInterval = 10 * time.Second

// earlyTrialDelay is how long after its last crash a request may run on trial that may
// have been a bystander at all its crashes. Reports of these crashes come within it.
const earlyTrialDelay = 2 * time.Second

// BeginTrial reports whether a request may run whose quarantine has ended. All gates
// together have one trial at a time, so that a poison request crashes one target and
// no other request on trial. The next may begin when the last one has completed or
// crashed its target, and after TrialInterval. A request that was not quarantined
// needs no trial.
func (t *Tracker) BeginTrial(now time.Time, fingerprint ident.Fingerprint) bool {
	return t.beginTrial(now, fingerprint, t.quarantineEnd)
}

// BeginEarlyTrial is BeginTrial, but the trial of a request that may have been a bystander
// at all its crashes may begin before its quarantine ends.
func (t *Tracker) BeginEarlyTrial(now time.Time, fingerprint ident.Fingerprint) bool {
	return t.beginTrial(now, fingerprint, t.earlyTrialStart)
}

// beginTrial is BeginTrial for a rule that says when the trial of an entry may begin.
func (t *Tracker) beginTrial(now time.Time, fingerprint ident.Fingerprint, start func(*Entry) time.Time) bool {
	t.Expire(now)
	entry, ok := t.entries[fingerprint]
	if !ok || entry.Verdict() != VerdictQuarantined {
		return true
	}
	if now.Before(start(entry)) {
		return false
	}
	for _, other := range t.entries {
		if other.onTrial(now) {
			return false
		}
	}
	entry.TrialBegan = now
	return true
}

// onTrial reports whether a trial of the request has begun and has no result yet.
func (e *Entry) onTrial(now time.Time) bool {
	return now.Sub(e.TrialBegan) < TrialInterval && e.LastCrash().Before(e.TrialBegan) && e.Cleared.Before(e.TrialBegan)
}

// RecordTrialCompletion is RecordCompletion, but it also clears a quarantined request of
// which a trial has begun since its last crash.
func (t *Tracker) RecordTrialCompletion(now time.Time, fingerprint ident.Fingerprint) []VerdictChange {
	t.Expire(now)
	entry, ok := t.entries[fingerprint]
	if !ok || t.verdict(now, entry) == VerdictQuarantined && !entry.LastCrash().Before(entry.TrialBegan) {
		return nil
	}
	return t.clear(now, entry)
}

// earlyTrialStart returns when the trial of a quarantined entry may begin: when its
// quarantine ends, or earlyTrialDelay after its last crash if it may be a bystander.
func (t *Tracker) earlyTrialStart(entry *Entry) time.Time {
	end := t.quarantineEnd(entry)
	if start := entry.LastCrash().Add(earlyTrialDelay); start.Before(end) && t.mayBeBystander(entry) {
		return start
	}
	return end
}

// mayBeBystander reports whether a request was quarantined for direct crashes that are all
// those of one other request as well, so that the other one may be their cause. A part is
// in flight with its requests, and has trials of its own.
func (t *Tracker) mayBeBystander(entry *Entry) bool {
	if entry.isPart() {
		return false
	}
	for _, other := range t.entries {
		if other != entry && !other.isPart() && other.hasAllDirect(entry) {
			return true
		}
	}
	return false
}

// hasAllDirect reports whether all crashes that count against another entry are direct ones
// at which the entry was in flight too.
func (e *Entry) hasAllDirect(other *Entry) bool {
	return !slices.ContainsFunc(other.Crashes, func(c Crash) bool { return c.ExplainedBy == 0 && !e.hasDirect(c) })
}
