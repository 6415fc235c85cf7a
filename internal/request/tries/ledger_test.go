package tries_test

import (
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

// ledger stands in for the replicated ledger: it applies one entry at a time.
type ledger struct {
	claims map[string]*claim
}

type claim struct {
	attempt     ident.AttemptID
	target      ident.TargetName
	incarnation ident.Incarnation
	outcome     wire.Outcome
	run         *execution
	answer      []byte
}

// serve carries an entry to the ledger and its reply back. Entries and replies
// may be lost, late or doubled.
func (l *ledger) serve(c *call, a tries.Action, run *execution, answer []byte) {
	w := c.w
	lost := func() {
		w.after(time.Second, func() { c.take(frame{event: tries.Event{Kind: tries.EventLedgerUnknown}}) })
	}
	if w.bad(0.05) {
		lost()
		if w.chance(0.5) {
			return
		}
		w.after(w.between(0, 8*time.Second), func() { l.apply(c, a, run, answer) })
		return
	}
	w.after(w.delay(), func() {
		reply := l.apply(c, a, run, answer)
		if w.bad(0.05) {
			lost()
			return
		}
		w.after(w.delay(), func() { c.take(reply) })
		if w.bad(0.05) {
			w.after(w.between(0, time.Second), func() { c.take(reply) })
		}
	})
	if w.bad(0.05) {
		w.after(w.between(0, 3*time.Second), func() { l.apply(c, a, run, answer) })
	}
}

func (l *ledger) apply(c *call, a tries.Action, run *execution, answer []byte) frame {
	held := l.claims[c.op.key]
	switch {
	case held != nil && held.outcome != 0:
		return frame{run: held.run, data: held.answer, event: tries.Event{
			Kind: tries.EventLedgerSettled, Outcome: held.outcome, Status: 200,
		}}
	case a.Kind == tries.ActionSettleLedger:
		if held != nil && held.attempt == a.Attempt {
			held.outcome, held.run, held.answer = a.Outcome, run, answer
		}
		return frame{}
	case a.Kind == tries.ActionReleaseLedger:
		if held == nil || held.attempt == a.Attempt {
			delete(l.claims, c.op.key)
			c.released, c.ranAt = true, len(c.op.runs)
			return frame{event: tries.Event{Kind: tries.EventLedgerReleased, Attempt: a.Attempt}}
		}
	case held == nil || held.attempt == a.Attempt || (a.Replaces != "" && held.attempt == a.Replaces):
		l.claims[c.op.key] = &claim{attempt: a.Attempt, target: a.Target, incarnation: a.Incarnation}
		return frame{event: tries.Event{Kind: tries.EventLedgerClaimed, Attempt: a.Attempt}}
	}
	return frame{event: tries.Event{
		Kind: tries.EventLedgerHeld, Attempt: held.attempt, Target: held.target, Incarnation: held.incarnation,
	}}
}
