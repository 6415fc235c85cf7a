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
	fleet  poison.VerdictSet
	local  poison.VerdictSet
	trials trialAsker

	mu      sync.Mutex
	tracker *poison.Tracker
}

func newSuspects() *suspects {
	return &suspects{tracker: poison.NewTracker(poison.Config{MaxFingerprints: maxLocalFingerprints})}
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

// quarantineEnd returns when the quarantine of a request ends, and false if the request
// is not quarantined at the given time.
func (s *suspects) quarantineEnd(now time.Time, fingerprint ident.Fingerprint) (time.Time, bool) {
	end, quarantined := s.fleet.QuarantineEnd(now, fingerprint)
	localEnd, quarantinedHere := s.local.QuarantineEnd(now, fingerprint)
	if quarantinedHere && (!quarantined || localEnd.After(end)) {
		end = localEnd
	}
	return end, quarantined || quarantinedHere
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

// recordCompletion clears a request that completed, if it is suspect.
func (g *Gate) recordCompletion(fingerprint ident.Fingerprint) {
	if g.suspects.contains(fingerprint) {
		g.suspects.recordCompletion(g.cfg.Clock.Now(), fingerprint)
		g.reporter.addCompleted(fingerprint)
	}
}

// recordOutcome records what the result of an attempt shows of the request: whether
// its target may have crashed, or that the request completed and so is harmless.
func (c *call) recordOutcome(now time.Time, target *place.Target, result carry.Result, untilClose bool) {
	switch result {
	case carry.ResponseLost, carry.Truncated:
		c.recordLost(now, target)
	case carry.DeadlineExceeded, carry.CallerGone:
		// A target whose VM is down resets no connection.
		if c.gate.balancer.SilentFor(now, target, crashSilence) {
			c.recordLost(now, target)
		}
	case carry.Completed, carry.TargetFailed:
		switch {
		case untilClose:
			c.recordMaybeComplete(now, target)
		case !c.gate.suspects.empty():
			c.gate.recordCompletion(c.fingerprint())
		}
	}
}
