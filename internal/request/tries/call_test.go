package tries_test

import (
	"bytes"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

// stream is one stream between a call and a sidecar.
type stream struct {
	call   *call
	id     tries.StreamID
	closed bool
	// duplicate marks the stream of a duplicated Submit, whose replies nobody
	// reads.
	duplicate   bool
	lastArrival time.Time
	// link is the connection that carries the stream. It belongs to one
	// incarnation: what was sent over it never reaches a later one.
	link *link
}

// link is a connection to one incarnation of a sidecar. The incarnation is zero
// until the first Submit arrives.
type link struct {
	incarnation ident.Incarnation
}

// receive passes a frame to the call once its router is not frozen.
func (c *call) receive(f frame) {
	if c.router.frozenUntil.After(c.sim.now) {
		c.sim.at(c.router.frozenUntil, func() { c.receive(f) })
		return
	}
	c.step(f)
}

// step passes a frame to the state machine and carries out the actions.
func (c *call) step(f frame) {
	if c.finished {
		return
	}
	c.frame = f
	for _, action := range c.machine.Step(c.sim.now, f.event) {
		c.do(action)
	}
	if next := c.machine.NextTimeout(); !c.finished && !next.Equal(c.nextTimeout) {
		c.nextTimeout = next
		c.sim.at(next, func() { c.receive(frame{event: tries.Event{Kind: tries.EventTimeout}}) })
	}
}

func (c *call) do(a tries.Action) {
	sim := c.sim
	switch a.Kind {
	case tries.ActionSend:
		c.send(a)
	case tries.ActionWriteHead:
		if c.headWritten {
			sim.fail("%s: response head written twice", c.op.name)
		}
		c.headWritten = true
		c.deliver(c.frame.run, nil)
	case tries.ActionWriteData:
		c.deliver(c.frame.run, c.frame.data)
	case tries.ActionWriteRecorded:
		c.deliver(c.frame.run, c.frame.data)
	case tries.ActionCancel:
		c.streams[a.Stream].closed = true
		if a.Stop {
			sim.after(sim.delay(), func() { sim.sidecar(a.Target).stop(a.Attempt) })
		}
	case tries.ActionClaimLedger, tries.ActionReleaseLedger, tries.ActionSettleLedger:
		sim.ledger.sendEntry(c, a, c.execution, bytes.Clone(c.received))
	case tries.ActionTombstone:
		c.tombstone(a)
	case tries.ActionFinish:
		c.finish(a)
	}
}

// send carries a Submit to its target. The Submit may be delayed, duplicated or
// lost.
func (c *call) send(a tries.Action) {
	sim := c.sim
	s := &stream{call: c, id: a.Stream, link: &link{}}
	c.streams[a.Stream] = s
	if !a.Join {
		c.attempts[a.Attempt] = true
	} else {
		sim.joins++
	}
	target := sim.sidecar(a.Target)
	exclusive := c.router.verdicts.Verdict(c.op.fingerprint) == poison.VerdictSuspect
	switch {
	case sim.faultOccurs(0.04):
		s.breakStream(true)
		return
	case sim.faultOccurs(0.05):
		s.breakStream(false)
		if sim.chance(0.5) {
			return
		}
	}
	wait := sim.delay()
	if sim.faultOccurs(0.03) {
		wait = sim.between(0, maxTransit)
	}
	sim.after(wait, func() { target.submit(s, c.op, a, exclusive) })
	if sim.faultOccurs(0.05) {
		duplicate := &stream{call: c, id: a.Stream, duplicate: true, link: s.link}
		sim.after(sim.between(0, maxTransit), func() { target.submit(duplicate, c.op, a, exclusive) })
	}
}

// tombstone asks a target for a tombstone. The reply may be lost or wrong.
func (c *call) tombstone(a tries.Action) {
	sim := c.sim
	reply := func(kind tries.EventKind) {
		sim.after(sim.delay(), func() { c.receive(frame{event: tries.Event{Kind: kind, Attempt: a.Attempt}}) })
	}
	if sim.faultOccurs(0.05) {
		reply(tries.EventTombstoneUnknown)
		if sim.chance(0.5) {
			return
		}
	}
	target := sim.sidecar(a.Target)
	sim.after(sim.delay(), func() {
		switch {
		case target.incarnation != a.Incarnation || sim.faultOccurs(0.05):
			reply(tries.EventTombstoneUnknown)
		case target.table.Tombstone(sim.now, a.Attempt):
			reply(tries.EventTombstoned)
		default:
			reply(tries.EventAttemptSeen)
		}
	})
}

// breakStream closes the stream. The router gets the frames sent so far and
// then sees the break. Later replies are dropped.
func (s *stream) breakStream(unsent bool) {
	if s.closed || s.duplicate {
		return
	}
	s.closed = true
	event := tries.Event{Kind: tries.EventStreamBroken, Stream: s.id, Unsent: unsent}
	at := s.call.sim.now.Add(s.call.sim.delay())
	if at.Before(s.lastArrival) {
		at = s.lastArrival
	}
	s.call.sim.at(at, func() { s.call.receive(frame{event: event}) })
}

// reply carries one frame to the router. It injects the faults of a bad network
// and of a peer that mixes up its streams.
func (s *stream) reply(f frame) {
	if s.closed || s.duplicate {
		return
	}
	sim := s.call.sim
	f.event.Stream = s.id
	if sim.faultOccurs(0.02) {
		s.breakStream(false)
		return
	}
	if f.event.Kind == tries.EventData && sim.faultOccurs(0.02) {
		return
	}
	at := sim.now.Add(sim.delay())
	if at.Before(s.lastArrival) {
		at = s.lastArrival
	}
	s.lastArrival = at
	sim.at(at, func() { s.call.receive(f) })
	if sim.faultOccurs(0.03) {
		sim.at(at.Add(sim.between(0, time.Second)), func() { s.call.receive(f) })
	}
	if sim.faultOccurs(0.03) {
		sim.misdeliver(f)
	}
}

// misdeliver sends a frame to the newest stream of a random call.
func (sim *simulation) misdeliver(f frame) {
	other := sim.calls[sim.rng.IntN(len(sim.calls))]
	f.event.Stream = tries.StreamID(len(other.streams))
	sim.after(sim.delay(), func() { other.receive(f) })
}

// deliver checks that the caller receives the response of a single execution,
// from its start and without gaps.
func (c *call) deliver(run *execution, data []byte) {
	if !c.headWritten && c.frame.event.Kind != tries.EventLedgerSettled {
		c.sim.fail("%s: data written before the response head", c.op.name)
	}
	if run == nil || run.op != c.op {
		c.sim.fail("%s: received the response of another operation", c.op.name)
		return
	}
	if c.execution != nil && c.execution != run {
		c.sim.fail("%s: received data of two executions", c.op.name)
	}
	c.execution = run
	c.received = append(c.received, data...)
	if !bytes.HasPrefix(run.response, c.received) {
		c.sim.fail("%s: wrong data among the first %d bytes", c.op.name, len(c.received))
	}
}

// finish checks the outcome of the call and may resend the operation.
func (c *call) finish(a tries.Action) {
	c.finished = true
	c.outcome = a.Outcome
	sim, op := c.sim, c.op
	switch a.Outcome {
	case wire.Outcome_OUTCOME_RAN:
		c.checkComplete()
	case wire.Outcome_OUTCOME_NOT_RUN:
		if !c.released {
			c.runsAtRelease = len(op.executions)
		}
		if op.once && c.runsAtRelease > 0 {
			sim.fail("%s: outcome not run, but the operation had run", op.name)
		}
		c.checkNotRun()
	case wire.Outcome_OUTCOME_UNKNOWN:
		if len(c.received) > 0 != a.Truncated {
			sim.fail("%s: Truncated does not match the received data", op.name)
		}
	default:
		sim.fail("%s: finished without an outcome", op.name)
	}
	sim.outcomes[a.Outcome.String()]++
	switch {
	case op.crashesTarget:
		sim.resend(op, maxVerdictDelay+sim.between(time.Millisecond, time.Second))
	case a.Outcome != wire.Outcome_OUTCOME_RAN || sim.faultOccurs(0.2):
		sim.resend(op, sim.between(0, time.Second))
	}
}

// checkComplete checks that the caller received the complete response.
func (c *call) checkComplete() {
	if c.execution == nil || !bytes.Equal(c.execution.response, c.received) || len(c.received) != c.op.size {
		c.sim.fail("%s: outcome ran, but received %d of %d bytes", c.op.name, len(c.received), c.op.size)
	}
}

// checkNotRun checks that none of the call's own attempts ran.
func (c *call) checkNotRun() {
	for _, run := range c.op.executions {
		if c.attempts[run.attempt] {
			c.sim.fail("%s: outcome not run, but attempt %s ran", c.op.name, run.attempt)
		}
	}
}

// maxCrashes is how many targets a request that crashes its target may crash if
// it is resent only after the verdicts were propagated: two on the first send,
// as limited by MaxRuns, and one more when it runs alone, if other requests
// were in flight before. Runs after a restart of their router are added,
// because a Submit that outlives its router can arrive before the verdict.
const maxCrashes = 3

// checkEnd checks the invariants that hold once no events are left.
func (sim *simulation) checkEnd() {
	for _, c := range sim.calls {
		if !c.finished {
			sim.fail("%s: never finished", c.op.name)
		}
		if c.outcome == wire.Outcome_OUTCOME_NOT_RUN {
			c.checkNotRun()
		}
	}
	for _, op := range sim.ops {
		if op.once && len(op.executions) > 1 {
			sim.fail("%s: ran %d times, but is not idempotent", op.name, len(op.executions))
		}
		if op.crashes > maxCrashes+op.runsAfterRouterRestart {
			sim.fail("%s: crashed %d targets", op.name, op.crashes)
		}
	}
}

func (sim *simulation) sidecar(name ident.TargetName) *sidecar {
	for _, s := range sim.sidecars {
		if s.name == name {
			return s
		}
	}
	return nil
}
