package tries

import (
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
)

// claimLedger claims the ledger key for the pending attempt. If claimHolder is
// set, its attempt is known never to run, and its claim is replaced.
func (m *Machine) claimLedger() {
	m.phase = phaseClaiming
	m.actions = append(m.actions, Action{
		Kind:        ActionClaimLedger,
		Attempt:     m.pendingID,
		Target:      m.pending.Target,
		Incarnation: m.pending.Incarnation,
		Replaces:    m.claimHolder,
	})
}

// onLedgerReply handles the ledger's reply to a claim or release.
func (m *Machine) onLedgerReply(now time.Time, e *Event) {
	if m.phase != phaseClaiming && m.phase != phaseReleasing {
		return
	}
	switch e.Kind {
	case EventLedgerClaimed:
		m.onClaimed(now, e)
	case EventLedgerHeld:
		m.onHeld(now, e)
	case EventLedgerSettled:
		m.onSettled(now, e)
	case EventLedgerReleased:
		m.onReleased(now, e)
	case EventLedgerUnknown:
		m.finishUnknown(now, http.StatusServiceUnavailable)
	}
}

// onClaimed sends the pending attempt, which now holds the ledger key.
func (m *Machine) onClaimed(now time.Time, e *Event) {
	if m.phase != phaseClaiming || e.Attempt != m.pendingID {
		return
	}
	m.mayReleaseClaim = true
	m.claimHolder = m.pendingID
	if m.callerGone {
		m.finishRefused(now)
		return
	}
	m.submit(now, m.pending, m.pendingID, false)
}

// onHeld handles a claim or release that found the ledger key held by an
// attempt of another router. After TakeoverDelay, the target of that attempt is
// asked for a tombstone. If it records one, the claim can be replaced or
// released. If it has seen the attempt, the attempt is joined. The request ends
// if MaxTakeovers is used up.
func (m *Machine) onHeld(now time.Time, e *Event) {
	if m.phase == phaseClaiming && e.Attempt == m.pendingID {
		// The holder is this router's own pending attempt: the claim was already
		// applied.
		m.onClaimed(now, e)
		return
	}
	m.heldOnRelease = m.phase == phaseReleasing
	m.mayReleaseClaim = false
	m.claimHolder = ""
	if m.callerGone || m.takeovers >= m.cfg.MaxTakeovers {
		m.finishUnknown(now, http.StatusConflict)
		return
	}
	m.takeovers++
	m.attempts = append(m.attempts, attempt{
		id:              e.Attempt,
		target:          e.Target,
		incarnation:     e.Incarnation,
		fromOtherRouter: true,
	})
	m.record.Attempts = append(m.record.Attempts, AttemptRecord{
		Attempt: e.Attempt,
		Target:  e.Target,
		Result:  ResultOpen,
		Sent:    now,
	})
	// A recent claim may be that of an attempt still on its way to its target.
	// The delay lets it arrive, so that it can be joined.
	m.phase = phaseTombstoning
	m.tombstoneIndex = len(m.attempts) - 1
	m.tombstoneAt = now.Add(m.cfg.TakeoverDelay)
}

// requestDueTombstone requests the tombstone of the ledger key's holder once
// the takeover delay has passed.
func (m *Machine) requestDueTombstone(now time.Time) {
	if m.tombstoneAt.IsZero() || now.Before(m.tombstoneAt) {
		return
	}
	m.tombstoneAt = time.Time{}
	m.requestTombstone(m.tombstoneIndex)
}

// onSettled ends the request with the outcome recorded in the ledger.
func (m *Machine) onSettled(now time.Time, e *Event) {
	if e.Outcome != wire.Outcome_OUTCOME_RAN {
		m.finishUnknown(now, http.StatusBadGateway)
		return
	}
	m.actions = append(m.actions, Action{Kind: ActionWriteRecorded, Status: e.Status})
	m.finish(now, wire.Outcome_OUTCOME_RAN, e.Status, 0)
}

// onReleased ends the request as not run, now that its ledger claim is
// released.
func (m *Machine) onReleased(now time.Time, e *Event) {
	if m.phase != phaseReleasing || e.Attempt != m.claimHolder {
		return
	}
	m.finish(now, wire.Outcome_OUTCOME_NOT_RUN, m.refusalStatus(), m.refusalRetryAfter())
}

// requestTombstone asks the target of an attempt to refuse it permanently.
func (m *Machine) requestTombstone(index int) {
	a := &m.attempts[index]
	m.phase = phaseTombstoning
	m.tombstoneIndex = index
	m.actions = append(m.actions, Action{
		Kind:        ActionTombstone,
		Attempt:     a.id,
		Target:      a.target,
		Incarnation: a.incarnation,
	})
}

// onTombstoneReply handles the target's reply to a tombstone request.
func (m *Machine) onTombstoneReply(now time.Time, e *Event) {
	if m.phase != phaseTombstoning || e.Attempt != m.attempts[m.tombstoneIndex].id {
		return
	}
	index := m.tombstoneIndex
	switch e.Kind {
	case EventTombstoned:
		m.endAttempt(now, index, ResultTombstoned)
		m.continueAfterNotRun(now, index)
	case EventAttemptSeen:
		m.join(now, index)
	case EventTombstoneUnknown:
		m.endAttempt(now, index, ResultBroken)
		m.mayHaveRun = true
		m.finishUnknown(now, http.StatusBadGateway)
	}
}

// continueAfterNotRun takes the next step after an attempt that is known never
// to run. It tries the next candidate or, if the attempt was another router's,
// replaces or releases its ledger claim.
func (m *Machine) continueAfterNotRun(now time.Time, index int) {
	m.phase = phaseAttempting
	if !m.attempts[index].fromOtherRouter {
		m.tryNext(now)
		return
	}
	m.claimHolder = m.attempts[index].id
	if m.heldOnRelease {
		// The holder never runs, so its claim may be released like this
		// router's own.
		m.mayReleaseClaim = true
		m.finishRefused(now)
		return
	}
	m.claimLedger()
}
