package tries_test

import (
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

// ledger simulates the replicated ledger. It applies one entry at a time.
type ledger struct {
	claims map[string]*claim
}

// claim is the claim on a ledger key and, once outcome is set, its settlement.
type claim struct {
	attempt     ident.AttemptID
	target      ident.TargetName
	incarnation ident.Incarnation
	outcome     wire.Outcome
	run         *execution
	response    []byte
}

// sendEntry carries an entry to the ledger and its reply back. Entries and
// replies may be lost, delayed or duplicated.
func (l *ledger) sendEntry(c *call, a tries.Action, run *execution, response []byte) {
	sim := c.sim
	replyUnknown := func() {
		sim.after(time.Second, func() { c.receive(frame{event: tries.Event{Kind: tries.EventLedgerUnknown}}) })
	}
	if sim.faultOccurs(0.05) {
		replyUnknown()
		if sim.chance(0.5) {
			return
		}
		sim.after(sim.between(0, 8*time.Second), func() { l.apply(c, a, run, response) })
		return
	}
	sim.after(sim.delay(), func() {
		reply := l.apply(c, a, run, response)
		if sim.faultOccurs(0.05) {
			replyUnknown()
			return
		}
		sim.after(sim.delay(), func() { c.receive(reply) })
		if sim.faultOccurs(0.05) {
			sim.after(sim.between(0, time.Second), func() { c.receive(reply) })
		}
	})
	if sim.faultOccurs(0.05) {
		sim.after(sim.between(0, 3*time.Second), func() { l.apply(c, a, run, response) })
	}
}

// apply applies one entry and returns the reply. The release of a key that is
// not held succeeds.
func (l *ledger) apply(c *call, a tries.Action, run *execution, response []byte) frame {
	held := l.claims[c.op.key]
	switch {
	case held != nil && held.outcome != 0:
		return frame{run: held.run, data: held.response, event: tries.Event{
			Kind: tries.EventLedgerSettled, Outcome: held.outcome, Status: 200,
		}}
	case a.Kind == tries.ActionSettleLedger:
		if held != nil && held.attempt == a.Attempt {
			held.outcome, held.run, held.response = a.Outcome, run, response
		}
		return frame{}
	case a.Kind == tries.ActionReleaseLedger:
		if held == nil || held.attempt == a.Attempt {
			delete(l.claims, c.op.key)
			c.released, c.runsAtRelease = true, len(c.op.executions)
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
