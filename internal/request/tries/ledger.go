package tries

import (
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
)

// claim asks the ledger for the key, in the place of a claim that was proved
// void.
func (m *Machine) claim() {
	m.phase = phaseClaiming
	m.actions = append(m.actions, Action{
		Kind:        ActionClaimLedger,
		Attempt:     m.pendingID,
		Target:      m.pending.Target,
		Incarnation: m.pending.Incarnation,
		Replaces:    m.holder,
	})
}

// onLedger takes the ledger's replies to a claim or a release.
func (m *Machine) onLedger(now time.Time, e *Event) {
	if m.phase != phaseClaiming && m.phase != phaseReleasing {
		return
	}
	switch e.Kind {
	case EventLedgerClaimed:
		m.onClaimed(now, e)
	case EventLedgerHeld:
		m.onHeld(now, e)
	case EventLedgerSettled:
		m.onAnswer(now, e)
	case EventLedgerReleased:
		m.onReleased(now, e)
	case EventLedgerUnknown:
		m.finishUnknown(now, http.StatusServiceUnavailable)
	}
}

func (m *Machine) onClaimed(now time.Time, e *Event) {
	if m.phase != phaseClaiming || e.Attempt != m.pendingID {
		return
	}
	m.claimed = true
	m.holder = m.pendingID
	if m.gone {
		m.finishNotRun(now)
		return
	}
	m.send(now, m.pending, m.pendingID, false)
}

// onHeld looks into the claim of another router: its target either buries the
// attempt, which frees the key, or has seen it, and then the answer is joined.
func (m *Machine) onHeld(now time.Time, e *Event) {
	if m.phase == phaseClaiming && e.Attempt == m.pendingID {
		m.onClaimed(now, e)
		return
	}
	m.releasing = m.phase == phaseReleasing
	m.claimed = false
	m.holder = ""
	if m.gone || m.takeovers >= m.cfg.MaxTakeovers {
		m.finishUnknown(now, http.StatusConflict)
		return
	}
	m.takeovers++
	m.attempts = append(m.attempts, attempt{
		id:          e.Attempt,
		target:      e.Target,
		incarnation: e.Incarnation,
		foreign:     true,
	})
	m.record.Attempts = append(m.record.Attempts, AttemptRecord{
		Attempt: e.Attempt,
		Target:  e.Target,
		Result:  ResultOpen,
		Sent:    now,
	})
	// A claim that was only just made is not a dead one: its attempt is given
	// time to reach the target, where it can be joined.
	m.phase = phaseBurying
	m.buried = len(m.attempts) - 1
	m.buryAt = now.Add(m.cfg.TakeoverDelay)
}

// buryDue asks for the burial of a held claim whose time has come.
func (m *Machine) buryDue(now time.Time) {
	if m.buryAt.IsZero() || now.Before(m.buryAt) {
		return
	}
	m.buryAt = time.Time{}
	m.bury(m.buried)
}

func (m *Machine) onAnswer(now time.Time, e *Event) {
	if e.Outcome != wire.Outcome_OUTCOME_RAN {
		m.finishUnknown(now, http.StatusBadGateway)
		return
	}
	m.actions = append(m.actions, Action{Kind: ActionWriteRecorded, Status: e.Status})
	m.finish(now, wire.Outcome_OUTCOME_RAN, e.Status, 0)
}

func (m *Machine) onReleased(now time.Time, e *Event) {
	if m.phase != phaseReleasing || e.Attempt != m.holder {
		return
	}
	m.finish(now, wire.Outcome_OUTCOME_NOT_RUN, m.refusalStatus(), m.refusalRetryAfter())
}

// bury asks the target of an attempt to refuse it for ever.
func (m *Machine) bury(index int) {
	a := &m.attempts[index]
	m.phase = phaseBurying
	m.buried = index
	m.actions = append(m.actions, Action{
		Kind:        ActionTombstone,
		Attempt:     a.id,
		Target:      a.target,
		Incarnation: a.incarnation,
	})
}

// onBury takes the target's reply to a Bury.
func (m *Machine) onBury(now time.Time, e *Event) {
	if m.phase != phaseBurying || e.Attempt != m.attempts[m.buried].id {
		return
	}
	index := m.buried
	switch e.Kind {
	case EventTombstoned:
		m.close(now, index, ResultTombstoned)
		m.onProvedVoid(now, index)
	case EventAttemptSeen:
		m.join(now, index)
	case EventTombstoneUnknown:
		m.close(now, index, ResultBroken)
		m.doubt = true
		m.finishUnknown(now, http.StatusBadGateway)
	}
}

// onProvedVoid goes on after an attempt that will never run.
func (m *Machine) onProvedVoid(now time.Time, index int) {
	m.phase = phaseTrying
	if !m.attempts[index].foreign {
		m.next(now)
		return
	}
	m.holder = m.attempts[index].id
	if m.releasing {
		// The holder is void, so that its claim may be released like an own one.
		m.claimed = true
		m.finishNotRun(now)
		return
	}
	m.claim()
}
