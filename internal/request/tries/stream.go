package tries

import (
	"cmp"
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// onStreamEvent handles an event of a stream. Events that arrive after their
// stream was closed are ignored.
func (m *Machine) onStreamEvent(now time.Time, e *Event) {
	index := m.findOpenStream(e.Stream)
	if index == noAttempt {
		return
	}
	a := &m.attempts[index]
	switch e.Kind {
	// The state changes only with a reply of the target.
	case EventSubmitted:
		return
	case EventStreamBroken:
		m.onStreamBroken(now, index, e.Unsent)
		return
	}
	a.idleDeadline = now.Add(m.cfg.IdleTimeout)
	if e.Attempt != a.id {
		m.onBadFrame(now, index)
		return
	}
	switch e.Kind {
	case EventRefused:
		m.onRefused(now, index, e)
	case EventHead:
		a.headReceived = true
		a.status = e.Status
		a.incarnation = cmp.Or(e.Incarnation, a.incarnation)
	case EventData:
		m.onData(now, index, e)
	case EventEnd:
		m.onEnd(now, index, e)
	}
}

// findOpenStream returns the index of the attempt whose open stream is stream,
// or noAttempt.
func (m *Machine) findOpenStream(stream StreamID) int {
	for i := range m.attempts {
		if m.attempts[i].streamOpen && m.attempts[i].stream == stream {
			return i
		}
	}
	return noAttempt
}

// onRefused tries the next candidate, because the refusal proves that the
// target does not run the attempt. The refusal of a join proves nothing: the
// target may have run the attempt and dropped its response.
func (m *Machine) onRefused(now time.Time, index int, e *Event) {
	a := &m.attempts[index]
	if a.headReceived {
		m.onBadFrame(now, index)
		return
	}
	if a.joined {
		m.endAttempt(now, index, ResultBroken)
		m.rerunOrFinish(now)
		return
	}
	m.endAttempt(now, index, ResultRefused)
	m.record.Attempts[index].Reason = e.Reason
	if m.finishIfFinal(now, e) {
		return
	}
	m.keepShortestRetryAfter(e.RetryAfter)
	m.preferForwarded(e.Forward)
	m.preferAgainIfStale(a, e)
	m.tryNext(now)
}

// preferAgainIfStale makes the same target the next candidate once more if it
// refused only because the router's information was out of date.
func (m *Machine) preferAgainIfStale(a *attempt, e *Event) {
	stale := e.Reason == wire.RefusalReason_REFUSAL_REASON_STALE_REVISION ||
		e.Reason == wire.RefusalReason_REFUSAL_REASON_INCARNATION
	if !stale || m.retriedStale {
		return
	}
	if m.cfg.Plan != nil && e.Reason == wire.RefusalReason_REFUSAL_REASON_STALE_REVISION {
		// The plan chooses again with the current records.
		return
	}
	m.retriedStale = true
	a.targetRetryable = true
	m.prefer(a.target, cmp.Or(e.Incarnation, a.incarnation), "again with fresh news")
}

// finishIfFinal ends the request if no other target would accept it either, and
// reports whether it did.
func (m *Machine) finishIfFinal(now time.Time, e *Event) bool {
	var status int
	switch e.Reason {
	case wire.RefusalReason_REFUSAL_REASON_QUARANTINED:
		status = http.StatusUnprocessableEntity
	case wire.RefusalReason_REFUSAL_REASON_INVALID:
		status = http.StatusBadRequest
	case wire.RefusalReason_REFUSAL_REASON_DEADLINE:
		status = http.StatusGatewayTimeout
	default:
		return false
	}
	if m.anyActive() {
		m.cancelAllExcept(now, noAttempt, true)
	}
	m.refusal = refusal{status: status, retryAfter: e.RetryAfter}
	m.finishRefused(now)
	return true
}

// keepShortestRetryAfter keeps the shortest retry delay given by a target.
func (m *Machine) keepShortestRetryAfter(d time.Duration) {
	if d > 0 && (m.refusal.retryAfter == 0 || d < m.refusal.retryAfter) {
		m.refusal.retryAfter = d
	}
}

// preferForwarded makes the target that holds the chat's cached context the
// next candidate. With a Plan, it leaves the choice to the plan.
func (m *Machine) preferForwarded(target ident.TargetName) {
	if target != "" && m.cfg.Plan == nil && !m.excluded(target) {
		m.prefer(target, m.incarnationOf(target), "forwarded to the chat's context")
	}
}

// prefer makes target the next candidate.
func (m *Machine) prefer(target ident.TargetName, incarnation ident.Incarnation, reason string) {
	m.preferred = Candidate{Target: target, Incarnation: incarnation, Reason: reason}
}

// incarnationOf returns the incarnation that the candidates give for target, or
// zero.
func (m *Machine) incarnationOf(target ident.TargetName) ident.Incarnation {
	for i := range m.record.Candidates {
		if m.record.Candidates[i].Target == target {
			return m.record.Candidates[i].Incarnation
		}
	}
	return 0
}

// onData passes the data of a frame to the caller if it continues the response.
func (m *Machine) onData(now time.Time, index int, e *Event) {
	a := &m.attempts[index]
	if !a.headReceived || e.Offset != uint64(m.record.Delivered) {
		m.onBadFrame(now, index)
		return
	}
	if e.Length == 0 {
		return
	}
	m.selectWinner(now, index)
	m.actions = append(m.actions, Action{Kind: ActionWriteData, Stream: a.stream, Attempt: a.id})
	m.record.Delivered += ident.Bytes(e.Length)
}

// selectWinner makes an attempt the one whose response goes to the caller,
// unless there is one already. It cancels the others and writes the response
// head.
func (m *Machine) selectWinner(now time.Time, index int) {
	if m.winner != noAttempt {
		return
	}
	a := &m.attempts[index]
	m.winner = index
	m.record.Attempts[index].FirstByte = now
	m.cancelAllExcept(now, index, true)
	m.actions = append(m.actions, Action{Kind: ActionWriteHead, Stream: a.stream, Attempt: a.id, Status: a.status})
}

// onEnd handles the end of an attempt as reported by its target.
func (m *Machine) onEnd(now time.Time, index int, e *Event) {
	a := &m.attempts[index]
	switch {
	case e.Outcome == wire.Outcome_OUTCOME_NOT_RUN && m.record.Delivered == 0:
		m.endAttempt(now, index, ResultRefused)
		m.continueAfterNotRun(now, index)
	case e.TargetCrashed:
		m.endAttempt(now, index, ResultCrashed)
		m.onCrash(now, index)
	case e.Failed || e.Outcome != wire.Outcome_OUTCOME_RAN:
		m.endAttempt(now, index, ResultFailed)
		m.rerunOrFinish(now)
	case !a.headReceived || e.Length != uint64(m.record.Delivered):
		m.onBadFrame(now, index)
	default:
		m.finishRan(now, index)
	}
}

// finishRan ends the request with the complete response of an attempt.
func (m *Machine) finishRan(now time.Time, index int) {
	a := &m.attempts[index]
	m.selectWinner(now, index)
	m.endAttempt(now, index, ResultRan)
	if m.usesLedger() {
		m.settleLedger(a, wire.Outcome_OUTCOME_RAN)
	}
	m.finish(now, wire.Outcome_OUTCOME_RAN, a.status, 0)
}

// settleLedger records the outcome of an attempt in the ledger.
func (m *Machine) settleLedger(a *attempt, outcome wire.Outcome) {
	m.actions = append(m.actions, Action{
		Kind:    ActionSettleLedger,
		Attempt: a.id,
		Target:  a.target,
		Outcome: outcome,
		Status:  a.status,
	})
}

// onCrash handles an attempt whose target crashed. Its ledger claim is settled,
// so that a resend learns at once that the outcome is unknown. An idempotent
// request is run again, unless it has used up MaxRuns.
func (m *Machine) onCrash(now time.Time, index int) {
	if m.usesLedger() {
		m.settleLedger(&m.attempts[index], wire.Outcome_OUTCOME_UNKNOWN)
	}
	if !m.cfg.Once && m.possibleRuns() >= m.cfg.MaxRuns {
		// There is no retry delay: the caller should not resend a request that
		// crashes targets.
		m.finish(now, wire.Outcome_OUTCOME_UNKNOWN, http.StatusBadGateway, 0)
		return
	}
	m.rerunOrFinish(now)
}

// possibleRuns counts the attempts that may have run.
func (m *Machine) possibleRuns() int {
	count := 0
	for i := range m.attempts {
		if !m.attempts[i].notRun {
			count++
		}
	}
	return count
}

// onStreamBroken handles a stream that ended early. An attempt of which no byte
// was sent is known not to run.
func (m *Machine) onStreamBroken(now time.Time, index int, unsent bool) {
	if unsent && !m.attempts[index].joined {
		m.endAttempt(now, index, ResultUnsent)
		m.tryNext(now)
		return
	}
	m.endAttempt(now, index, ResultBroken)
	m.recoverAttempt(now, index)
}

// onBadFrame cancels a stream that carried a frame with the wrong attempt,
// offset or length, or out of order. The attempt is continued after the last
// correct byte of the response.
func (m *Machine) onBadFrame(now time.Time, index int) {
	m.cancelAttempt(now, index, ResultBadFrame, false)
	m.recoverAttempt(now, index)
}

// recoverAttempt continues after the stream of an attempt ended early: with
// another active attempt, a rerun, a tombstone request or a join. An attempt that
// is not idempotent and has sent no head is joined only once its target has said
// that it has seen it.
func (m *Machine) recoverAttempt(now time.Time, index int) {
	a := &m.attempts[index]
	if !m.cfg.Once && m.anyActive() {
		m.mayHaveRun = true
		return
	}
	if m.joins >= m.cfg.MaxJoins {
		m.rerunOrFinish(now)
		return
	}
	if m.cfg.Once && !a.headReceived && !a.joined {
		m.requestTombstone(index)
		return
	}
	if a.headReceived || !a.joined {
		m.join(now, index)
		return
	}
	// The target did not respond to a join, so the attempt is not joined again at
	// once.
	if !m.cfg.Once && m.record.Delivered == 0 {
		m.rerunOrFinish(now)
		return
	}
	a.awaitingRejoin = true
	a.rejoinAt = now.Add(m.cfg.JoinDelay << min(m.joins-1, maxJoinDelayDoublings))
}

// maxJoinDelayDoublings limits the growth of the delay between joins.
const maxJoinDelayDoublings = 10

// rerunOrFinish runs a request again at another target, unless another attempt
// is still active. The request ends with an unknown outcome instead if it is
// not idempotent, if the caller has seen part of a response, or if MaxRuns or
// the retry budget is used up. In all cases the request counts as possibly run.
func (m *Machine) rerunOrFinish(now time.Time) {
	m.mayHaveRun = true
	if !m.cfg.Once && m.anyActive() {
		return
	}
	seenByCaller := m.record.Delivered > 0 && !m.cfg.Buffered
	if m.cfg.Once || seenByCaller || m.callerGone || m.possibleRuns() >= m.cfg.MaxRuns {
		m.finishUnknown(now, http.StatusBadGateway)
		return
	}
	m.discardPartial()
	m.winner = noAttempt
	// The budget is charged only if another attempt is allowed.
	if m.assignedIDs < m.cfg.MaxAttempts && !m.spendRetry(now) {
		m.finishUnknown(now, http.StatusServiceUnavailable)
		return
	}
	m.tryNext(now)
}

// discardPartial discards a partial response that the caller has not seen.
func (m *Machine) discardPartial() {
	if m.record.Delivered == 0 {
		return
	}
	m.record.Delivered = 0
	m.actions = append(m.actions, Action{Kind: ActionDiscard})
}

// spendRetry reports whether the retry budget allows a retry and, if so,
// charges it.
func (m *Machine) spendRetry(now time.Time) bool {
	return m.cfg.RetryBudget == nil || m.cfg.RetryBudget.Spend(now, m.cfg.Customer)
}
