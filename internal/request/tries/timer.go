package tries

import (
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
)

// expire ends a request whose deadline has passed.
func (m *Machine) expire(now time.Time) {
	m.refusal = refusal{status: http.StatusGatewayTimeout, retryAfter: m.cfg.RetryAfter}
	outstanding := m.anyActive() || m.phase == phaseTombstoning
	// With a ledger key the outcome is unknown, as there is no time left to release
	// the claim.
	if outstanding || m.mayHaveRun || m.usesLedger() {
		m.finishUnknown(now, http.StatusGatewayTimeout)
		return
	}
	m.finishRefused(now)
}

// onTimeout takes all steps that are due: it joins attempts again, gives up
// idle ones, sends a hedge and requests a tombstone.
func (m *Machine) onTimeout(now time.Time) {
	for i := 0; i < len(m.attempts) && m.phase != phaseDone; i++ {
		a := &m.attempts[i]
		if a.awaitingRejoin && !now.Before(a.rejoinAt) {
			m.join(now, i)
			continue
		}
		if a.streamOpen && !m.cfg.Once && !now.Before(a.idleDeadline) {
			m.onIdle(now, i)
		}
	}
	if m.canHedge() && !now.Before(m.hedgeAt) {
		m.hedge(now)
	}
	m.requestDueTombstone(now)
}

// onIdle handles an attempt that reached its idle deadline. The attempt is
// recovered if part of its response was delivered. Otherwise it is stopped and
// the request is run again elsewhere.
func (m *Machine) onIdle(now time.Time, index int) {
	if m.record.Delivered > 0 {
		m.cancelAttempt(now, index, ResultTimeout, false)
		m.recoverAttempt(now, index)
		return
	}
	m.cancelAttempt(now, index, ResultTimeout, true)
	m.rerunOrFinish(now)
}

// canHedge reports whether the request may be hedged.
func (m *Machine) canHedge() bool {
	return m.cfg.HedgeAfter > 0 && !m.cfg.Once && m.phase == phaseAttempting &&
		m.winner == noAttempt && m.cfg.MaxRuns > 1 && len(m.attempts) == 1 && m.attempts[0].streamOpen
}

// hedge sends the request to a second target, if there is one. It is called at
// most once for each request, and skips candidates at the first target.
func (m *Machine) hedge(now time.Time) {
	// There is only one hedge: the request ends at the deadline.
	m.hedgeAt = m.deadline
	candidate, ok := m.nextCandidate()
	for ok && candidate.Target == m.attempts[0].target {
		candidate, ok = m.nextCandidate()
	}
	if !ok || !m.spendRetry(now) {
		return
	}
	m.submit(now, candidate, m.newAttemptID(), true)
}

// onCallerGone stops an idempotent request. Any other request continues, so
// that its outcome is recorded.
func (m *Machine) onCallerGone(now time.Time) {
	m.callerGone = true
	if m.cfg.Once {
		return
	}
	m.cancelAllExcept(now, noAttempt, true)
	m.finishCallerGone(now)
}

// finishCallerGone ends a request whose caller closed its connection.
func (m *Machine) finishCallerGone(now time.Time) {
	outcome := wire.Outcome_OUTCOME_NOT_RUN
	if m.mayHaveRun {
		outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	m.finish(now, outcome, statusClientClosedRequest, 0)
}

// statusClientClosedRequest is the status recorded when the caller closed its
// connection before the response ended.
const statusClientClosedRequest = 499

// onQuarantined ends a quarantined request before it is sent.
func (m *Machine) onQuarantined(now time.Time, e *Event) {
	if len(m.attempts) > 0 || m.phase > phaseAttempting {
		return
	}
	m.refusal = refusal{status: http.StatusUnprocessableEntity, retryAfter: e.RetryAfter}
	m.record.Started = now
	m.finishRefused(now)
}
