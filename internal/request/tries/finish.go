package tries

import (
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
)

// refusal is the status and retry delay with which the router refuses a
// request.
type refusal struct {
	status     int
	retryAfter time.Duration
}

// finishExhausted ends a request that has no candidate left, unless an attempt
// is still active.
func (m *Machine) finishExhausted(now time.Time) {
	if m.anyActive() {
		return
	}
	if m.mayHaveRun {
		// Only an idempotent request gets here. Any other ends as soon as it
		// may have run.
		m.finish(now, wire.Outcome_OUTCOME_UNKNOWN, http.StatusBadGateway, m.cfg.RetryAfter)
		return
	}
	m.finishRefused(now)
}

// finishRefused ends a request with the status of the refusal. A ledger claim
// is released first: only a successful release makes it certain that no other
// router ran the request under the same key in the meantime. The outcome is
// OUTCOME_UNKNOWN instead of OUTCOME_NOT_RUN if an attempt may have run or
// there is no claim to release.
func (m *Machine) finishRefused(now time.Time) {
	switch {
	case m.mayHaveRun || (m.usesLedger() && !m.mayReleaseClaim):
		m.finish(now, wire.Outcome_OUTCOME_UNKNOWN, m.refusalStatus(), m.refusalRetryAfter())
	case m.usesLedger():
		m.phase = phaseReleasing
		m.actions = append(m.actions, Action{Kind: ActionReleaseLedger, Attempt: m.claimHolder})
	default:
		m.finish(now, wire.Outcome_OUTCOME_NOT_RUN, m.refusalStatus(), m.refusalRetryAfter())
	}
}

// refusalStatus returns the HTTP status of a refused request.
func (m *Machine) refusalStatus() int {
	if m.refusal.status == 0 {
		return http.StatusServiceUnavailable
	}
	return m.refusal.status
}

// refusalRetryAfter returns the retry delay of a refused request.
func (m *Machine) refusalRetryAfter() time.Duration {
	if m.refusal.retryAfter == 0 && m.refusal.status == 0 {
		return m.cfg.RetryAfter
	}
	return m.refusal.retryAfter
}

// finishUnknown ends a request that may have run. A request that is not
// idempotent and has no ledger key gets no retry delay, because a retry could
// run it twice.
func (m *Machine) finishUnknown(now time.Time, status int) {
	retryAfter := m.cfg.RetryAfter
	if m.cfg.Once && !m.usesLedger() {
		retryAfter = 0
	}
	m.finish(now, wire.Outcome_OUTCOME_UNKNOWN, status, retryAfter)
}

// finish ends the request and cancels all active attempts. Those of an
// idempotent request are also stopped at their targets.
func (m *Machine) finish(now time.Time, outcome wire.Outcome, status int, retryAfter time.Duration) {
	m.cancelAllExcept(now, noAttempt, !m.cfg.Once)
	m.phase = phaseDone
	m.record.Outcome = outcome
	m.record.Status = status
	m.record.RetryAfter = m.jitter(retryAfter)
	m.record.Truncated = m.record.Delivered > 0 && outcome != wire.Outcome_OUTCOME_RAN
	m.record.Finished = now
	m.actions = append(m.actions, Action{
		Kind:       ActionFinish,
		Outcome:    outcome,
		Status:     status,
		RetryAfter: m.record.RetryAfter,
		Truncated:  m.record.Truncated,
	})
}

// jitter returns d plus a random delay of up to half of d, so that callers do
// not all retry at the same time.
func (m *Machine) jitter(d time.Duration) time.Duration {
	if m.cfg.Random == nil || d <= 0 {
		return d
	}
	return d + time.Duration(m.cfg.Random.Int64N(int64(d)/2+1))
}
