package gate

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/request/carry"
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

// replaceFleet applies control's list. What control has released is released here too,
// whatever this gate saw itself.
func (s *suspects) replaceFleet(now time.Time, verdicts []poison.VerdictChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, released := range s.fleet.Missing(verdicts) {
		s.tracker.Forget(released)
	}
	s.local.Replace(s.tracker.ActiveVerdicts(now))
	s.fleet.Replace(verdicts)
}

// recordCompletion clears a request at this gate until control's next list.
func (s *suspects) recordCompletion(now time.Time, fingerprint ident.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tracker.Forget(fingerprint)
	s.local.Replace(s.tracker.ActiveVerdicts(now))
	s.fleet.Apply([]poison.VerdictChange{{Fingerprint: fingerprint}})
}

// recordSurvival releases a part at this gate until control's next list.
func (s *suspects) recordSurvival(now time.Time, part ident.Fingerprint, at time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.tracker.RecordSurvival(now, part, at)) > 0 {
		s.local.Replace(s.tracker.ActiveVerdicts(now))
	}
	s.fleet.Apply([]poison.VerdictChange{{Fingerprint: part}})
}

// empty reports whether no request and no part is held for crashes.
func (s *suspects) empty() bool { return s.fleet.Empty() && s.local.Empty() }

// verdict returns the more severe one of the verdicts on a request or part.
func (s *suspects) verdict(fingerprint ident.Fingerprint) poison.Verdict {
	return max(s.fleet.Verdict(fingerprint), s.local.Verdict(fingerprint))
}

// contains reports whether a request or part is suspect or quarantined.
func (s *suspects) contains(fingerprint ident.Fingerprint) bool {
	return s.verdict(fingerprint) >= poison.VerdictSuspect
}

// quarantineEnd returns when the quarantine of a request ends, and false if the request
// is not quarantined at the given time. Control's quarantine decides if there is one, since
// control has compared the crashes with those of the requests at other gates.
func (s *suspects) quarantineEnd(now time.Time, fingerprint ident.Fingerprint) (time.Time, bool) {
	if s.fleet.Quarantined(fingerprint) {
		return s.fleet.QuarantineEnd(now, fingerprint)
	}
	return s.local.QuarantineEnd(now, fingerprint)
}

// wasQuarantined reports whether a request is or was quarantined and has not completed
// since.
func (s *suspects) wasQuarantined(fingerprint ident.Fingerprint) bool {
	return s.fleet.Quarantined(fingerprint) || s.local.Quarantined(fingerprint)
}

// isSuspect reports whether the request or a part of its prompt is suspect or
// quarantined.
func (c *call) isSuspect() bool {
	return !c.gate.suspects.empty() && slices.ContainsFunc(c.subjects(), c.gate.suspects.contains)
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
func (e *exchange) recordOutcome(now time.Time, result carry.Result) {
	c := e.call
	switch result {
	case carry.ResponseLost, carry.Truncated:
		e.recordLost(now)
	case carry.DeadlineExceeded, carry.CallerGone:
		// A target whose VM is down resets no connection.
		if c.gate.balancer.SilentFor(now, e.choice.Target, crashSilence) {
			e.recordLost(now)
		}
	case carry.Completed, carry.TargetFailed:
		e.recordCompleted(now)
	}
}

// recordLost records a response that was lost. A target that had begun to answer for
// some time did not crash on a part of the prompt.
func (e *exchange) recordLost(now time.Time) {
	var request uncheckedRequest
	if !e.survived {
		request.parts = e.call.sharedParts(e.startedAt)
	}
	e.call.recordUnchecked(now, e.choice.Target, request)
}

// recordCompleted records a response that is complete. A failure shows nothing of the
// parts of the prompt, since the target may not have read them.
func (e *exchange) recordCompleted(now time.Time) {
	var parts []poison.PartInFlight
	if e.status < http.StatusMultipleChoices {
		parts = e.call.sharedParts(e.startedAt)
	}
	if e.untilClose {
		e.call.recordUnchecked(now, e.choice.Target, uncheckedRequest{maybeComplete: true, parts: parts})
		return
	}
	if !e.call.gate.suspects.empty() {
		e.call.gate.recordCompletion(e.call.fingerprint())
	}
	e.call.gate.recordSurvival(now, parts)
}

// recordProgress records that events of a stream arrived.
func (e *exchange) recordProgress(now time.Time) {
	if e.firstEventAt.IsZero() {
		e.firstEventAt = now
	}
	if !e.survived && now.Sub(e.firstEventAt) >= survivalPeriod {
		e.survived = true
		e.call.gate.recordSurvival(now, e.call.sharedParts(e.startedAt))
	}
}
