package tries

import (
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
)

// refusal is what the caller is told if no target takes the request.
type refusal struct {
	status     int
	retryAfter time.Duration
}

// exhausted ends a request for which no candidate is left.
func (m *Machine) exhausted(now time.Time) {
	if m.anyLive() {
		return
	}
	if m.doubt {
		m.finish(now, wire.Outcome_OUTCOME_UNKNOWN, http.StatusBadGateway, m.cfg.RetryAfter)
		return
	}
	m.finishNotRun(now)
}

// finishNotRun ends a request that provably was not run. A claim in the ledger
// is withdrawn first: only then is it certain that nobody else ran the request
// under the same key in the meantime.
func (m *Machine) finishNotRun(now time.Time) {
	switch {
	case m.doubt || (m.keyed() && !m.claimed):
		m.finish(now, wire.Outcome_OUTCOME_UNKNOWN, m.refusalStatus(), m.refusalRetryAfter())
	case m.keyed():
		m.phase = phaseReleasing
		m.actions = append(m.actions, Action{Kind: ActionReleaseLedger, Attempt: m.holder})
	default:
		m.finish(now, wire.Outcome_OUTCOME_NOT_RUN, m.refusalStatus(), m.refusalRetryAfter())
	}
}

func (m *Machine) refusalStatus() int {
	if m.refusal.status == 0 {
		return http.StatusServiceUnavailable
	}
	return m.refusal.status
}

func (m *Machine) refusalRetryAfter() time.Duration {
	if m.refusal.retryAfter == 0 && m.refusal.status == 0 {
		return m.cfg.RetryAfter
	}
	return m.refusal.retryAfter
}

// finishUnknown ends a request of which it is not known whether it ran.
func (m *Machine) finishUnknown(now time.Time, status int) {
	retryAfter := m.cfg.RetryAfter
	if m.cfg.Once && !m.keyed() {
		retryAfter = 0
	}
	m.finish(now, wire.Outcome_OUTCOME_UNKNOWN, status, retryAfter)
}

func (m *Machine) finish(now time.Time, outcome wire.Outcome, status int, retryAfter time.Duration) {
	m.cancelOthers(now, nobody, !m.cfg.Once)
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

// jitter spreads callers that come back over half as long again.
func (m *Machine) jitter(d time.Duration) time.Duration {
	if m.cfg.Random == nil || d <= 0 {
		return d
	}
	return d + time.Duration(m.cfg.Random.Int64N(int64(d)/2+1))
}
