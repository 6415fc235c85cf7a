package tries

import (
	"cmp"
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// onStream takes the events of one stream. Those of streams that were closed
// before are late and mean nothing.
func (m *Machine) onStream(now time.Time, e *Event) {
	index := m.liveStream(e.Stream)
	if index == nobody {
		return
	}
	a := &m.attempts[index]
	switch e.Kind {
	case EventSubmitted:
		return
	case EventStreamBroken:
		m.onLinkBroken(now, index, e.Unsent)
		return
	}
	a.silentAt = now.Add(m.cfg.IdleTimeout)
	if e.Attempt != a.id {
		m.badFrame(now, index)
		return
	}
	switch e.Kind {
	case EventRefused:
		m.onRefused(now, index, e)
	case EventHead:
		a.head = true
		a.status = e.Status
		a.incarnation = cmp.Or(e.Incarnation, a.incarnation)
	case EventData:
		m.onData(now, index, e)
	case EventEnd:
		m.onEnd(now, index, e)
	}
}

func (m *Machine) liveStream(stream StreamID) int {
	for i := range m.attempts {
		if m.attempts[i].live && m.attempts[i].stream == stream {
			return i
		}
	}
	return nobody
}

// onRefused goes on to the next candidate: the target proved that it does not
// run the attempt. The refusal of a join proves nothing.
func (m *Machine) onRefused(now time.Time, index int, e *Event) {
	a := &m.attempts[index]
	if a.head {
		m.badFrame(now, index)
		return
	}
	if a.joined {
		m.close(now, index, ResultBroken)
		m.rerun(now)
		return
	}
	m.close(now, index, ResultRefused)
	m.record.Attempts[index].Reason = e.Reason
	if m.refusedForGood(now, e) {
		return
	}
	m.noteRetryAfter(e.RetryAfter)
	m.noteForward(e.Forward)
	m.noteStale(a, e)
	m.next(now)
}

// noteStale tries the same target once more when it refused only because the
// router was behind.
func (m *Machine) noteStale(a *attempt, e *Event) {
	stale := e.Reason == wire.RefusalReason_REFUSAL_REASON_STALE_REVISION ||
		e.Reason == wire.RefusalReason_REFUSAL_REASON_INCARNATION
	if !stale || m.stale {
		return
	}
	if m.cfg.Plan != nil && e.Reason == wire.RefusalReason_REFUSAL_REASON_STALE_REVISION {
		// The plan chooses anew under the records that it has now.
		return
	}
	m.stale = true
	a.again = true
	m.forwardTo(a.target, cmp.Or(e.Incarnation, a.incarnation), "again with fresh news")
}

// refusedForGood ends the request when no other target would take it either.
func (m *Machine) refusedForGood(now time.Time, e *Event) bool {
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
	if m.anyLive() {
		m.cancelOthers(now, nobody, true)
	}
	m.refusal = refusal{status: status, retryAfter: e.RetryAfter}
	m.finishNotRun(now)
	return true
}

// noteRetryAfter keeps the shortest wait that a target named.
func (m *Machine) noteRetryAfter(d time.Duration) {
	if d > 0 && (m.refusal.retryAfter == 0 || d < m.refusal.retryAfter) {
		m.refusal.retryAfter = d
	}
}

func (m *Machine) noteForward(target ident.TargetName) {
	if target != "" && m.cfg.Plan == nil && !m.tried(target) {
		m.forwardTo(target, m.incarnationOf(target), "forwarded to the chat's context")
	}
}

func (m *Machine) forwardTo(target ident.TargetName, incarnation ident.Incarnation, reason string) {
	m.forward = Candidate{Target: target, Incarnation: incarnation, Reason: reason}
}

func (m *Machine) incarnationOf(target ident.TargetName) ident.Incarnation {
	for i := range m.record.Candidates {
		if m.record.Candidates[i].Target == target {
			return m.record.Candidates[i].Incarnation
		}
	}
	return 0
}

func (m *Machine) onData(now time.Time, index int, e *Event) {
	a := &m.attempts[index]
	if !a.head || e.Offset != uint64(m.record.Delivered) {
		m.badFrame(now, index)
		return
	}
	if e.Length == 0 {
		return
	}
	m.open(now, index)
	m.actions = append(m.actions, Action{Kind: ActionWriteData, Stream: a.stream, Attempt: a.id})
	m.record.Delivered += ident.Bytes(e.Length)
}

// open makes the attempt the one that answers, and starts the answer.
func (m *Machine) open(now time.Time, index int) {
	if m.winner != nobody {
		return
	}
	a := &m.attempts[index]
	m.winner = index
	m.record.Attempts[index].FirstByte = now
	m.cancelOthers(now, index, true)
	m.actions = append(m.actions, Action{Kind: ActionWriteHead, Stream: a.stream, Attempt: a.id, Status: a.status})
}

func (m *Machine) onEnd(now time.Time, index int, e *Event) {
	a := &m.attempts[index]
	switch {
	case e.Outcome == wire.Outcome_OUTCOME_NOT_RUN && m.record.Delivered == 0:
		m.close(now, index, ResultRefused)
		m.onProvedVoid(now, index)
	case e.TargetCrashed:
		m.close(now, index, ResultCrashed)
		m.onCrash(now, index)
	case e.Failed || e.Outcome != wire.Outcome_OUTCOME_RAN:
		m.close(now, index, ResultFailed)
		m.rerun(now)
	case !a.head || e.Length != uint64(m.record.Delivered):
		m.badFrame(now, index)
	default:
		m.ran(now, index)
	}
}

func (m *Machine) ran(now time.Time, index int) {
	a := &m.attempts[index]
	m.open(now, index)
	m.close(now, index, ResultRan)
	if m.keyed() {
		m.settle(a, wire.Outcome_OUTCOME_RAN)
	}
	m.finish(now, wire.Outcome_OUTCOME_RAN, a.status, 0)
}

func (m *Machine) settle(a *attempt, outcome wire.Outcome) {
	m.actions = append(m.actions, Action{
		Kind:    ActionSettleLedger,
		Attempt: a.id,
		Target:  a.target,
		Outcome: outcome,
		Status:  a.status,
	})
}

// onCrash settles the claim of a request that died with its target, so that a
// resend learns at once that the outcome is unknown. An idempotent request is
// run again, unless it did this to as many targets as it may.
func (m *Machine) onCrash(now time.Time, index int) {
	if m.keyed() {
		m.settle(&m.attempts[index], wire.Outcome_OUTCOME_UNKNOWN)
	}
	if !m.cfg.Once && m.begun() >= m.cfg.MaxRuns {
		m.finish(now, wire.Outcome_OUTCOME_UNKNOWN, http.StatusBadGateway, 0)
		return
	}
	m.rerun(now)
}

// begun counts the attempts that may have run.
func (m *Machine) begun() int {
	count := 0
	for i := range m.attempts {
		if !m.attempts[i].void {
			count++
		}
	}
	return count
}

func (m *Machine) onLinkBroken(now time.Time, index int, unsent bool) {
	if unsent && !m.attempts[index].joined {
		m.close(now, index, ResultUnsent)
		m.next(now)
		return
	}
	m.close(now, index, ResultBroken)
	m.broken(now, index)
}

// badFrame gives up a stream that carried a frame of another attempt or
// offset. The caller's answer goes on from where it is correct.
func (m *Machine) badFrame(now time.Time, index int) {
	m.cancel(now, index, ResultBadFrame, false)
	m.broken(now, index)
}

// broken resumes an attempt whose stream ended early. Before a request that
// is not idempotent is joined, its target must say that it has seen it.
func (m *Machine) broken(now time.Time, index int) {
	a := &m.attempts[index]
	if !m.cfg.Once && m.anyLive() {
		m.doubt = true
		return
	}
	if m.resumes >= m.cfg.MaxResumes {
		m.rerun(now)
		return
	}
	if m.cfg.Once && !a.head && !a.joined {
		m.bury(index)
		return
	}
	if a.head || !a.joined {
		m.join(now, index)
		return
	}
	if !m.cfg.Once && m.record.Delivered == 0 {
		m.rerun(now)
		return
	}
	a.waiting = true
	a.joinAt = now.Add(m.cfg.ResumeDelay << min(m.resumes-1, maxDoublings))
}

// maxDoublings bounds the growth of the wait between joins.
const maxDoublings = 10

// rerun runs an idempotent request again at another target, unless part of
// the answer went out to the caller. All else ends in an answer that says
// unknown.
func (m *Machine) rerun(now time.Time) {
	m.doubt = true
	if !m.cfg.Once && m.anyLive() {
		return
	}
	shown := m.record.Delivered > 0 && !m.cfg.Buffered
	if m.cfg.Once || shown || m.gone || m.begun() >= m.cfg.MaxRuns {
		m.finishUnknown(now, http.StatusBadGateway)
		return
	}
	m.startOver()
	m.winner = nobody
	if m.named < m.cfg.MaxAttempts && !m.spend(now) {
		m.finishUnknown(now, http.StatusServiceUnavailable)
		return
	}
	m.next(now)
}

// startOver drops the part of an answer that the caller has not seen.
func (m *Machine) startOver() {
	if m.record.Delivered == 0 {
		return
	}
	m.record.Delivered = 0
	m.actions = append(m.actions, Action{Kind: ActionDiscard})
}

func (m *Machine) spend(now time.Time) bool {
	return m.cfg.RetryBudget == nil || m.cfg.RetryBudget.Spend(now, m.cfg.Customer)
}
