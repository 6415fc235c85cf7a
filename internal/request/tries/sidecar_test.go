package tries_test

import (
	"errors"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/request/replay"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

// sidecar simulates a sidecar and its target.
type sidecar struct {
	sim         *simulation
	name        ident.TargetName
	incarnation ident.Incarnation
	crashes     uint64
	table       *replay.Table
	verdicts    poison.VerdictSet
	blocklist   *poison.Blocklist
	running     map[ident.AttemptID]*execution
	executions  map[ident.AttemptID]*execution
	readers     []*reader
}

// reader sends the response of an attempt to one stream.
type reader struct {
	stream   *stream
	attempt  ident.AttemptID
	offset   uint64
	headSent bool
	done     bool
	notify   <-chan struct{}
}

func newSidecar(sim *simulation, name string) *sidecar {
	s := &sidecar{sim: sim, name: ident.TargetName(name)}
	s.restart()
	return s
}

// maxTransit is how long a Submit may be in transit, and so how long a sidecar
// must remember attempt IDs.
const maxTransit = 15 * time.Second

// restart drops all state of the sidecar and breaks its links.
func (s *sidecar) restart() {
	for _, r := range s.readers {
		r.stream.breakStream(false)
	}
	s.incarnation++
	s.crashes = 0
	s.readers = nil
	s.table = replay.New(replay.Config{
		Shards:              2,
		AnswerTTL:           maxTransit,
		AttemptTTL:          maxTransit + time.Second,
		EndedFilterSize:     4 << 10,
		TombstoneFilterSize: 4 << 10,
	})
	s.running = make(map[ident.AttemptID]*execution)
	s.executions = make(map[ident.AttemptID]*execution)
	s.verdicts = poison.VerdictSet{}
	s.verdicts.Replace(s.sim.tracker.ActiveVerdicts(s.sim.now))
	s.blocklist = &poison.Blocklist{}
	s.blocklist.Block(s.sim.now.Add(poison.DefaultWindow), s.sim.tracker.InFlightAtCrash(s.sim.now, s.name))
}

// submit handles a Submit that arrived on st. With exclusive, the operation must
// have the target to itself.
func (s *sidecar) submit(st *stream, op *operation, a tries.Action, exclusive bool) {
	if st.link.incarnation == 0 {
		st.link.incarnation = s.incarnation
	}
	switch {
	case st.link.incarnation != s.incarnation:
		st.breakStream(false)
	case a.Incarnation != s.incarnation:
		s.refuse(st, a.Attempt, wire.RefusalReason_REFUSAL_REASON_INCARNATION)
	case a.Join:
		s.addReader(st, a.Attempt, a.Offset)
	default:
		s.begin(st, op, a.Attempt, exclusive)
	}
}

func (s *sidecar) begin(st *stream, op *operation, attempt ident.AttemptID, exclusive bool) {
	begin := s.table.BeginIdempotent
	if op.once {
		begin = s.table.Begin
	}
	switch begin(s.sim.now, attempt) {
	case replay.RefuseAttempt:
		s.refuse(st, attempt, wire.RefusalReason_REFUSAL_REASON_TOMBSTONED)
		return
	case replay.TableFull:
		s.refuse(st, attempt, wire.RefusalReason_REFUSAL_REASON_OVERLOADED)
		return
	case replay.RunAttempt:
		if reason := s.admit(op, exclusive); reason != 0 {
			s.table.Withdraw(s.sim.now, attempt)
			s.refuse(st, attempt, reason)
			return
		}
		if st.call.routerLost {
			op.runsAfterRouterRestart++
		}
		s.execute(op, attempt)
	}
	s.addReader(st, attempt, 0)
}

func (s *sidecar) admit(op *operation, exclusive bool) wire.RefusalReason {
	switch {
	case s.verdicts.Quarantined(op.fingerprint):
		return wire.RefusalReason_REFUSAL_REASON_QUARANTINED
	case s.blocklist.Blocked(s.sim.now, op.fingerprint):
		return wire.RefusalReason_REFUSAL_REASON_TARGET_DOWN
	case (exclusive || s.verdicts.Verdict(op.fingerprint) == poison.VerdictSuspect) && len(s.running) > 0:
		return wire.RefusalReason_REFUSAL_REASON_OVERLOADED
	case s.runsSuspect():
		return wire.RefusalReason_REFUSAL_REASON_OVERLOADED
	case s.sim.faultOccurs(0.1):
		return wire.RefusalReason(1 + s.sim.rng.IntN(3))
	}
	return 0
}

// runsSuspect reports whether a suspect request is running, which must have the
// target to itself.
func (s *sidecar) runsSuspect() bool {
	for _, run := range s.running {
		if s.verdicts.Verdict(run.op.fingerprint) == poison.VerdictSuspect {
			return true
		}
	}
	return false
}

func (s *sidecar) refuse(st *stream, attempt ident.AttemptID, reason wire.RefusalReason) {
	st.reply(frame{event: tries.Event{
		Kind:        tries.EventRefused,
		Attempt:     attempt,
		Reason:      reason,
		Incarnation: s.incarnation,
	}})
}

func (s *sidecar) execute(op *operation, attempt ident.AttemptID) {
	sim := s.sim
	sim.executionCount++
	run := &execution{op: op, attempt: attempt, response: make([]byte, op.size)}
	for i := range run.response {
		run.response[i] = byte(sim.executionCount*31 + i*7)
	}
	op.executions = append(op.executions, run)
	s.running[attempt] = run
	s.executions[attempt] = run
	if op.crashesTarget {
		sim.after(sim.between(0, 20*time.Millisecond), func() {
			if s.running[attempt] == run {
				s.crash()
			}
		})
		return
	}
	sim.after(sim.between(0, 80*time.Millisecond), func() { s.produce(run, 0) })
}

// produce writes the response in chunks.
func (s *sidecar) produce(run *execution, from int) {
	if s.running[run.attempt] != run || run.stopped {
		return
	}
	if from == 0 {
		s.table.SetHead(run.attempt, &wire.Head{Status: 200})
	}
	until := min(from+run.op.chunk, len(run.response))
	s.table.Append(run.attempt, run.response[from:until])
	if until == len(run.response) {
		s.end(run, &wire.End{Length: uint64(until), Outcome: wire.Outcome_OUTCOME_RAN})
		return
	}
	s.sendToReaders()
	s.sim.after(s.sim.between(0, 30*time.Millisecond), func() { s.produce(run, until) })
}

func (s *sidecar) end(run *execution, end *wire.End) {
	alone := len(s.running) == 1
	delete(s.running, run.attempt)
	s.table.Finish(s.sim.now, run.attempt, end)
	if alone && end.Outcome == wire.Outcome_OUTCOME_RAN && s.verdicts.Verdict(run.op.fingerprint) == poison.VerdictSuspect {
		s.sim.propagateVerdicts(s.sim.tracker.RecordCompletion(s.sim.now, run.op.fingerprint))
	}
	s.sendToReaders()
}

// crash ends everything that runs at the target. The sidecar survives and
// reports the crash.
func (s *sidecar) crash() {
	s.crashes++
	report := poison.CrashReport{Target: s.name, Incarnation: s.incarnation, Number: s.crashes}
	for _, op := range s.sim.ops {
		for _, run := range s.running {
			if run.op == op {
				report.InFlight = append(report.InFlight, op.fingerprint)
			}
		}
	}
	for _, op := range s.sim.ops {
		if op.crashesTarget && slices.Contains(report.InFlight, op.fingerprint) {
			op.crashes++
		}
		for _, run := range op.executions {
			if s.running[run.attempt] != run {
				continue
			}
			s.end(run, &wire.End{Outcome: wire.Outcome_OUTCOME_UNKNOWN, TargetCrashed: true})
		}
	}
	s.blocklist.Block(s.sim.now.Add(poison.DefaultWindow), report.InFlight)
	s.sim.propagateVerdicts(s.sim.tracker.RecordCrash(s.sim.now, report))
}

// stop ends an idempotent attempt that is no longer wanted, or records a
// tombstone for it if it is not running.
func (s *sidecar) stop(attempt ident.AttemptID) {
	run, ok := s.running[attempt]
	if !ok {
		s.table.Tombstone(s.sim.now, attempt)
		return
	}
	run.stopped = true
	s.end(run, &wire.End{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Error: "canceled"})
}

// addReader serves the response of an attempt from offset on a stream.
func (s *sidecar) addReader(st *stream, attempt ident.AttemptID, offset uint64) {
	if st.duplicate || st.closed {
		return
	}
	r := &reader{stream: st, attempt: attempt, offset: offset}
	s.readers = append(s.readers, r)
	s.sendAvailable(r)
}

// sendToReaders sends all readers what is available and drops those that are
// done.
func (s *sidecar) sendToReaders() {
	live := s.readers[:0]
	for _, r := range s.readers {
		s.sendAvailable(r)
		if !r.done {
			live = append(live, r)
		}
	}
	s.readers = live
}

// sendAvailable sends a reader all data that is available.
func (s *sidecar) sendAvailable(r *reader) {
	if r.done || r.stream.closed {
		r.done = true
		return
	}
	if r.notify != nil {
		select {
		case <-r.notify:
		default:
			return
		}
	}
	var buf [16]byte
	for !r.done {
		read, err := s.table.ReadFrom(r.attempt, r.offset, buf[:])
		if err != nil {
			s.failReader(r, err)
			return
		}
		r.notify = read.Notify
		s.sendResult(r, read, buf[:read.Copied])
		if read.Notify != nil {
			return
		}
	}
}

// failReader refuses the attempt of a reader or, after its head, breaks its
// stream.
func (s *sidecar) failReader(r *reader, err error) {
	r.done = true
	var unknown *replay.UnknownAttemptError
	if errors.As(err, &unknown) {
		s.table.Tombstone(s.sim.now, r.attempt)
	}
	if !r.headSent {
		s.refuse(r.stream, r.attempt, wire.RefusalReason_REFUSAL_REASON_TOMBSTONED)
		return
	}
	r.stream.breakStream(false)
}

// sendResult sends a reader what was read from the table.
func (s *sidecar) sendResult(r *reader, read replay.ReadResult, data []byte) {
	run := s.executions[r.attempt]
	if read.Head != nil && !r.headSent {
		r.headSent = true
		event := tries.Event{Kind: tries.EventHead, Attempt: r.attempt, Status: 200, Incarnation: s.incarnation}
		r.stream.reply(frame{event: event, run: run})
	}
	if read.Copied > 0 {
		event := tries.Event{Kind: tries.EventData, Attempt: r.attempt, Offset: r.offset, Length: uint64(read.Copied)}
		r.stream.reply(frame{event: event, run: run, data: append([]byte(nil), data...)})
		r.offset += uint64(read.Copied)
	}
	if read.End != nil {
		r.done = true
		r.stream.reply(frame{run: run, event: tries.Event{
			Kind:          tries.EventEnd,
			Attempt:       r.attempt,
			Length:        read.End.Length,
			Outcome:       read.End.Outcome,
			Failed:        read.End.Error != "",
			TargetCrashed: read.End.TargetCrashed,
		}})
	}
}
