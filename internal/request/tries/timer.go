package tries

import (
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
)

// expire ends a request whose deadline has come.
func (m *Machine) expire(now time.Time) {
	m.refusal = refusal{status: http.StatusGatewayTimeout, retryAfter: m.cfg.RetryAfter}
	sent := m.anyLive() || m.phase == phaseBurying
	if sent || m.doubt || m.keyed() {
		m.finishUnknown(now, http.StatusGatewayTimeout)
		return
	}
	m.finishNotRun(now)
}

// onTimeout joins attempts that waited, gives up silent ones and hedges slow
// ones.
func (m *Machine) onTimeout(now time.Time) {
	for i := 0; i < len(m.attempts) && m.phase != phaseDone; i++ {
		a := &m.attempts[i]
		if a.waiting && !now.Before(a.joinAt) {
			m.join(now, i)
			continue
		}
		if a.live && !m.cfg.Once && !now.Before(a.silentAt) {
			m.onSilent(now, i)
		}
	}
	if m.mayHedge() && !now.Before(m.hedgeAt) {
		m.hedge(now)
	}
}

// onSilent joins a silent attempt again if part of its answer went out, and
// runs the request elsewhere otherwise.
func (m *Machine) onSilent(now time.Time, index int) {
	if m.record.Delivered > 0 {
		m.cancel(now, index, ResultTimeout, false)
		m.broken(now, index)
		return
	}
	m.cancel(now, index, ResultTimeout, true)
	m.rerun(now)
}

func (m *Machine) mayHedge() bool {
	return m.cfg.HedgeAfter > 0 && !m.cfg.Once && m.phase == phaseTrying &&
		m.winner == nobody && m.cfg.MaxRuns > 1 && len(m.attempts) == 1 && m.attempts[0].live
}

func (m *Machine) hedge(now time.Time) {
	m.hedgeAt = m.deadline
	candidate, ok := m.pick()
	for ok && candidate.Target == m.attempts[0].target {
		candidate, ok = m.pick()
	}
	if !ok || !m.spend(now) {
		return
	}
	m.send(now, candidate, m.nextID(), true)
}

// onCallerGone stops what is idempotent. What is not goes on, so that its
// outcome is recorded.
func (m *Machine) onCallerGone(now time.Time) {
	m.gone = true
	if m.cfg.Once {
		return
	}
	m.cancelOthers(now, nobody, true)
	m.finishGone(now)
}

func (m *Machine) finishGone(now time.Time) {
	outcome := wire.Outcome_OUTCOME_NOT_RUN
	if m.doubt {
		outcome = wire.Outcome_OUTCOME_UNKNOWN
	}
	m.finish(now, outcome, statusClientClosed, 0)
}

// statusClientClosed is logged for a caller that went away.
const statusClientClosed = 499

// onBlocked ends a request that is under quarantine before it is sent.
func (m *Machine) onBlocked(now time.Time, e *Event) {
	if len(m.attempts) > 0 || m.phase > phaseTrying {
		return
	}
	m.refusal = refusal{status: http.StatusUnprocessableEntity, retryAfter: e.RetryAfter}
	m.record.Started = now
	m.finishNotRun(now)
}
