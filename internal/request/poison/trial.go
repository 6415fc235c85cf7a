package poison

import (
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// TrialInterval is how long a trial that has no result keeps others from beginning. A
// crash is reported within it, or its report is given up.
const TrialInterval = 10 * time.Second

// BeginTrial reports whether a request may run whose quarantine has ended. All gates
// together have one trial at a time, so that a poison request crashes one target and
// no other request on trial. The next may begin when the last one has completed or
// crashed its target, and after TrialInterval. A request that was not quarantined
// needs no trial.
func (t *Tracker) BeginTrial(now time.Time, fingerprint ident.Fingerprint) bool {
	t.Expire(now)
	entry, ok := t.entries[fingerprint]
	if !ok || entry.Verdict() != VerdictQuarantined {
		return true
	}
	if t.verdict(now, entry) == VerdictQuarantined {
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
