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
	dead   bool
	ghost  bool
	lastAt time.Time
	// link is the connection that carries the stream. It is one incarnation's:
	// what was sent over it never reaches the next.
	link *link
}

type link struct {
	incarnation ident.Incarnation
}

// take steps the call once its router is not frozen.
func (c *call) take(f frame) {
	if c.router.frozen.After(c.w.now) {
		c.w.at(c.router.frozen, func() { c.take(f) })
		return
	}
	c.step(f)
}

func (c *call) step(f frame) {
	if c.finished {
		return
	}
	c.frame = f
	for _, action := range c.machine.Step(c.w.now, f.event) {
		c.do(action)
	}
	if wake := c.machine.NextTimeout(); !c.finished && !wake.Equal(c.wake) {
		c.wake = wake
		c.w.at(wake, func() { c.take(frame{event: tries.Event{Kind: tries.EventTimeout}}) })
	}
}

func (c *call) do(a tries.Action) {
	w := c.w
	switch a.Kind {
	case tries.ActionSend:
		c.send(a)
	case tries.ActionWriteHead:
		if c.headed {
			w.fail("%s: second head", c.op.name)
		}
		c.headed = true
		c.deliver(c.frame.run, nil)
	case tries.ActionWriteData:
		c.deliver(c.frame.run, c.frame.data)
	case tries.ActionWriteRecorded:
		c.deliver(c.frame.run, c.frame.data)
	case tries.ActionCancel:
		c.streams[a.Stream].dead = true
		if a.Stop {
			w.after(w.delay(), func() { w.sidecar(a.Target).stop(a.Attempt) })
		}
	case tries.ActionClaimLedger, tries.ActionReleaseLedger, tries.ActionSettleLedger:
		w.ledger.serve(c, a, c.source, bytes.Clone(c.got))
	case tries.ActionTombstone:
		c.bury(a)
	case tries.ActionFinish:
		c.finish(a)
	}
}

// send carries a Submit, perhaps late, twice or not at all.
func (c *call) send(a tries.Action) {
	w := c.w
	s := &stream{call: c, id: a.Stream, link: &link{}}
	c.streams[a.Stream] = s
	if !a.Join {
		c.attempts[a.Attempt] = true
	} else {
		w.joins++
	}
	target := w.sidecar(a.Target)
	solo := c.router.set.Verdict(c.op.fingerprint) == poison.VerdictSuspect
	switch {
	case w.bad(0.04):
		s.breakLink(true)
		return
	case w.bad(0.05):
		s.breakLink(false)
		if w.chance(0.5) {
			return
		}
	}
	wait := w.delay()
	if w.bad(0.03) {
		wait = w.between(0, maxTransit)
	}
	w.after(wait, func() { target.submit(s, c.op, a, solo) })
	if w.bad(0.05) {
		ghost := &stream{call: c, id: a.Stream, ghost: true, link: s.link}
		w.after(w.between(0, maxTransit), func() { target.submit(ghost, c.op, a, solo) })
	}
}

func (c *call) bury(a tries.Action) {
	w := c.w
	reply := func(kind tries.EventKind) {
		w.after(w.delay(), func() { c.take(frame{event: tries.Event{Kind: kind, Attempt: a.Attempt}}) })
	}
	if w.bad(0.05) {
		reply(tries.EventTombstoneUnknown)
		if w.chance(0.5) {
			return
		}
	}
	target := w.sidecar(a.Target)
	w.after(w.delay(), func() {
		switch {
		case target.incarnation != a.Incarnation || w.bad(0.05):
			reply(tries.EventTombstoneUnknown)
		case target.table.Tombstone(w.now, a.Attempt):
			reply(tries.EventTombstoned)
		default:
			reply(tries.EventAttemptSeen)
		}
	})
}

// breakLink drops all that is still under way to the router.
func (s *stream) breakLink(unsent bool) {
	if s.dead || s.ghost {
		return
	}
	s.dead = true
	event := tries.Event{Kind: tries.EventStreamBroken, Stream: s.id, Unsent: unsent}
	at := s.call.w.now.Add(s.call.w.delay())
	if at.Before(s.lastAt) {
		at = s.lastAt
	}
	s.call.w.at(at, func() { s.call.take(frame{event: event}) })
}

// reply carries one frame to the router, with the faults of a bad network and
// of a peer that mixes things up.
func (s *stream) reply(f frame) {
	if s.dead || s.ghost {
		return
	}
	w := s.call.w
	f.event.Stream = s.id
	if w.bad(0.02) {
		s.breakLink(false)
		return
	}
	if f.event.Kind == tries.EventData && w.bad(0.02) {
		return
	}
	at := w.now.Add(w.delay())
	if at.Before(s.lastAt) {
		at = s.lastAt
	}
	s.lastAt = at
	w.at(at, func() { s.call.take(f) })
	if w.bad(0.03) {
		w.at(at.Add(w.between(0, time.Second)), func() { s.call.take(f) })
	}
	if w.bad(0.03) {
		w.cross(f)
	}
}

// cross gives a frame to the newest stream of another call.
func (w *world) cross(f frame) {
	other := w.calls[w.rng.IntN(len(w.calls))]
	f.event.Stream = tries.StreamID(len(other.streams))
	w.after(w.delay(), func() { other.take(f) })
}

// deliver checks that what the caller gets is one execution's answer from its
// start on.
func (c *call) deliver(run *execution, data []byte) {
	if !c.headed && c.frame.event.Kind != tries.EventLedgerSettled {
		c.w.fail("%s: data before head", c.op.name)
	}
	if run == nil || run.op != c.op {
		c.w.fail("%s: got somebody else's answer", c.op.name)
		return
	}
	if c.source != nil && c.source != run {
		c.w.fail("%s: got two executions mixed", c.op.name)
	}
	c.source = run
	c.got = append(c.got, data...)
	if !bytes.HasPrefix(run.answer, c.got) {
		c.w.fail("%s: got wrong bytes at %d", c.op.name, len(c.got))
	}
}

func (c *call) finish(a tries.Action) {
	c.finished = true
	c.outcome = a.Outcome
	w, op := c.w, c.op
	switch a.Outcome {
	case wire.Outcome_OUTCOME_RAN:
		c.checkWhole()
	case wire.Outcome_OUTCOME_NOT_RUN:
		if !c.released {
			c.ranAt = len(op.runs)
		}
		if op.once && c.ranAt > 0 {
			w.fail("%s: not-run, but it ran before", op.name)
		}
		c.checkNotRun()
	case wire.Outcome_OUTCOME_UNKNOWN:
		if len(c.got) > 0 != a.Truncated {
			w.fail("%s: short answer without notice", op.name)
		}
	default:
		w.fail("%s: no outcome", op.name)
	}
	w.settled[a.Outcome.String()]++
	switch {
	case op.deadly:
		w.resend(op, spreadVerdicts+w.between(time.Millisecond, time.Second))
	case a.Outcome != wire.Outcome_OUTCOME_RAN || w.bad(0.2):
		w.resend(op, w.between(0, time.Second))
	}
}

func (c *call) checkWhole() {
	if c.source == nil || !bytes.Equal(c.source.answer, c.got) || len(c.got) != c.op.size {
		c.w.fail("%s: ended as run with %d of %d bytes", c.op.name, len(c.got), c.op.size)
	}
}

// checkNotRun looks for a run of one of the call's own attempts.
func (c *call) checkNotRun() {
	for _, run := range c.op.runs {
		if c.attempts[run.attempt] {
			c.w.fail("%s: not-run, but attempt %s ran", c.op.name, run.attempt)
		}
	}
}

// maxCrashes is how many targets a deadly request crashes when it is resent
// only after the verdicts have spread: the first send may crash two, and one
// more crashes alone where it was in company before. A Submit that outlives its
// router can come before a verdict has spread, and so add one.
const maxCrashes = 3

func (w *world) checkEnd() {
	for _, c := range w.calls {
		if !c.finished {
			w.fail("%s: never answered", c.op.name)
		}
		if c.outcome == wire.Outcome_OUTCOME_NOT_RUN {
			c.checkNotRun()
		}
	}
	for _, op := range w.ops {
		if op.once && len(op.runs) > 1 {
			w.fail("%s: a paid step ran %d times", op.name, len(op.runs))
		}
		if op.crashes > maxCrashes+op.orphans {
			w.fail("%s: crashed %d targets", op.name, op.crashes)
		}
	}
}

func (w *world) sidecar(name ident.TargetName) *sidecar {
	for _, s := range w.sidecars {
		if s.name == name {
			return s
		}
	}
	return nil
}
