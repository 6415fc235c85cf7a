package gate

import (
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/request/carry"
	"cactusline.dev/cactusline/internal/request/place"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/ident"
)

// suspects holds the verdicts on requests that were in flight when targets crashed:
// those of control, which has the reports of all gates, and those that follow from the
// crashes that this gate saw. The latter hold while control cannot be reached.
type suspects struct {
	gate   string
	fleet  poison.VerdictSet
	local  poison.VerdictSet
	trials poison.Trials

	mu      sync.Mutex
	tracker *poison.Tracker
}

func newSuspects(gate string) *suspects {
	return &suspects{gate: gate, tracker: poison.NewTracker(poison.Config{MaxFingerprints: maxLocalFingerprints})}
}

// recordCrash records a crash that this gate saw.
func (s *suspects) recordCrash(now time.Time, crash poison.DirectCrash) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.RecordDirectCrash(now, crash)
	s.local.Replace(s.tracker.ActiveVerdicts(now))
}

// recordCompletion clears a request at this gate until control's next list.
func (s *suspects) recordCompletion(now time.Time, fingerprint ident.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.RecordCompletion(now, fingerprint)
	s.local.Replace(s.tracker.ActiveVerdicts(now))
	s.fleet.Apply([]poison.VerdictChange{{Fingerprint: fingerprint}})
}

// empty reports whether no request is suspect or quarantined.
func (s *suspects) empty() bool { return s.fleet.Empty() && s.local.Empty() }

// contains reports whether a request is suspect or quarantined.
func (s *suspects) contains(fingerprint ident.Fingerprint) bool {
	return max(s.fleet.Verdict(fingerprint), s.local.Verdict(fingerprint)) >= poison.VerdictSuspect
}

// quarantineEnd returns when this gate may send a request to a target again, and false
// if it may do so now.
func (s *suspects) quarantineEnd(now time.Time, fingerprint ident.Fingerprint) (time.Time, bool) {
	releaseDelay := poison.ReleaseDelay(s.gate, fingerprint)
	end, quarantined := s.fleet.QuarantineEnd(now.Add(-releaseDelay), fingerprint)
	localEnd, quarantinedHere := s.local.QuarantineEnd(now.Add(-releaseDelay), fingerprint)
	if quarantinedHere && (!quarantined || localEnd.After(end)) {
		end = localEnd
	}
	return end.Add(releaseDelay), quarantined || quarantinedHere
}

// wasQuarantined reports whether a request is or was quarantined and has not completed
// since.
func (s *suspects) wasQuarantined(fingerprint ident.Fingerprint) bool {
	return s.fleet.Quarantined(fingerprint) || s.local.Quarantined(fingerprint)
}

// isSuspect reports whether the request is suspect or quarantined.
func (c *call) isSuspect() bool {
	return !c.gate.suspects.empty() && c.gate.suspects.contains(c.fingerprint())
}

// mayRun reports whether the request may be sent to a target. If it may not, because it
// is quarantined or another trial of it has just begun, it returns when it may.
func (c *call) mayRun(now time.Time) (next time.Time, ok bool) {
	suspects := c.gate.suspects
	if suspects.empty() {
		return time.Time{}, true
	}
	if end, quarantined := suspects.quarantineEnd(now, c.fingerprint()); quarantined {
		return end, false
	}
	if c.onTrial || !suspects.wasQuarantined(c.fingerprint()) {
		return time.Time{}, true
	}
	next, c.onTrial = suspects.trials.Begin(now, c.fingerprint())
	return next, c.onTrial
}

// recordOutcome records what the result of an attempt shows of the request: whether
// its target may have crashed, or that the request completed and so is harmless.
func (c *call) recordOutcome(now time.Time, target *place.Target, result carry.Result) {
	switch result {
	case carry.ResponseLost, carry.Truncated:
		c.recordLost(now, target)
	case carry.DeadlineExceeded, carry.CallerGone:
		// A target whose VM is down resets no connection.
		if c.gate.balancer.SilentFor(now, target, crashSilence) {
			c.recordLost(now, target)
		}
	case carry.Completed, carry.TargetFailed:
		if c.isSuspect() {
			c.gate.suspects.recordCompletion(now, c.fingerprint())
			c.gate.reporter.addCompleted(c.fingerprint())
		}
	}
}
