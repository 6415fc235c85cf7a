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

// sidecar stands in for a sidecar with its target.
type sidecar struct {
	w           *world
	name        ident.TargetName
	incarnation ident.Incarnation
	crashes     uint64
	table       *replay.Table
	set         poison.Set
	recent      *poison.Blocklist
	running     map[ident.AttemptID]*execution
	runs        map[ident.AttemptID]*execution
	readers     []*reader
}

// reader serves an answer to one stream.
type reader struct {
	stream  *stream
	attempt ident.AttemptID
	offset  uint64
	headed  bool
	done    bool
	notify  <-chan struct{}
}

func newSidecar(w *world, name string) *sidecar {
	s := &sidecar{w: w, name: ident.TargetName(name)}
	s.restart()
	return s
}

// maxTransit is how long a Submit may be on its way, and so how long attempts
// must be remembered by name.
const maxTransit = 15 * time.Second

// restart loses all that the sidecar held; its links break.
func (s *sidecar) restart() {
	for _, r := range s.readers {
		r.stream.breakLink(false)
	}
	s.incarnation++
	s.crashes = 0
	s.readers = nil
	s.table = replay.New(replay.Config{
		Shards:              2,
		AnswerTTL:           maxTransit,
		AttemptTTL:          maxTransit + time.Second,
		SeenFilterSize:      4 << 10,
		TombstoneFilterSize: 4 << 10,
	})
	s.running = make(map[ident.AttemptID]*execution)
	s.runs = make(map[ident.AttemptID]*execution)
	s.set = poison.Set{}
	s.set.Replace(s.w.tracker.ActiveVerdicts(s.w.now))
	s.recent = &poison.Blocklist{}
	s.recent.Block(s.w.now.Add(poison.DefaultWindow), s.w.tracker.InFlightAtCrash(s.w.now, s.name))
}

func (s *sidecar) submit(st *stream, op *operation, a tries.Action, solo bool) {
	if st.link.incarnation == 0 {
		st.link.incarnation = s.incarnation
	}
	switch {
	case st.link.incarnation != s.incarnation:
		st.breakLink(false)
	case a.Incarnation != s.incarnation:
		s.refuse(st, a.Attempt, wire.RefusalReason_REFUSAL_REASON_INCARNATION)
	case a.Join:
		s.read(st, a.Attempt, a.Offset)
	default:
		s.begin(st, op, a.Attempt, solo)
	}
}

func (s *sidecar) begin(st *stream, op *operation, attempt ident.AttemptID, solo bool) {
	begin := s.table.BeginIdempotent
	if op.once {
		begin = s.table.Begin
	}
	switch begin(s.w.now, attempt) {
	case replay.AttemptTombstoned:
		s.refuse(st, attempt, wire.RefusalReason_REFUSAL_REASON_TOMBSTONED)
		return
	case replay.TableFull:
		s.refuse(st, attempt, wire.RefusalReason_REFUSAL_REASON_OVERLOADED)
		return
	case replay.RunAttempt:
		if reason := s.admit(op, solo); reason != 0 {
			s.table.Withdraw(s.w.now, attempt)
			s.refuse(st, attempt, reason)
			return
		}
		if st.call.lost {
			op.orphans++
		}
		s.execute(op, attempt)
	}
	s.read(st, attempt, 0)
}

func (s *sidecar) admit(op *operation, solo bool) wire.RefusalReason {
	switch {
	case s.set.Quarantined(op.fingerprint):
		return wire.RefusalReason_REFUSAL_REASON_QUARANTINED
	case s.recent.Blocked(s.w.now, op.fingerprint):
		return wire.RefusalReason_REFUSAL_REASON_TARGET_DOWN
	case (solo || s.set.Verdict(op.fingerprint) == poison.VerdictSuspect) && len(s.running) > 0:
		return wire.RefusalReason_REFUSAL_REASON_OVERLOADED
	case s.busyAlone():
		return wire.RefusalReason_REFUSAL_REASON_OVERLOADED
	case s.w.bad(0.1):
		return wire.RefusalReason(1 + s.w.rng.IntN(3))
	}
	return 0
}

// busyAlone reports whether a suspect has the target for itself.
func (s *sidecar) busyAlone() bool {
	for _, run := range s.running {
		if s.set.Verdict(run.op.fingerprint) == poison.VerdictSuspect {
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
	w := s.w
	w.runs++
	run := &execution{op: op, attempt: attempt, answer: make([]byte, op.size)}
	for i := range run.answer {
		run.answer[i] = byte(w.runs*31 + i*7)
	}
	op.runs = append(op.runs, run)
	s.running[attempt] = run
	s.runs[attempt] = run
	if op.deadly {
		w.after(w.between(0, 20*time.Millisecond), func() {
			if s.running[attempt] == run {
				s.crash()
			}
		})
		return
	}
	w.after(w.between(0, 80*time.Millisecond), func() { s.produce(run, 0) })
}

// produce writes the answer bit by bit.
func (s *sidecar) produce(run *execution, from int) {
	if s.running[run.attempt] != run || run.stopped {
		return
	}
	if from == 0 {
		s.table.SetHead(run.attempt, &wire.Head{Status: 200})
	}
	until := min(from+run.op.chunk, len(run.answer))
	s.table.Append(run.attempt, run.answer[from:until])
	if until == len(run.answer) {
		s.end(run, &wire.End{Length: uint64(until), Outcome: wire.Outcome_OUTCOME_RAN})
		return
	}
	s.pump()
	s.w.after(s.w.between(0, 30*time.Millisecond), func() { s.produce(run, until) })
}

func (s *sidecar) end(run *execution, end *wire.End) {
	alone := len(s.running) == 1
	delete(s.running, run.attempt)
	s.table.Finish(s.w.now, run.attempt, end)
	if alone && end.Outcome == wire.Outcome_OUTCOME_RAN && s.set.Verdict(run.op.fingerprint) == poison.VerdictSuspect {
		s.w.spread(s.w.tracker.RecordRanAlone(s.w.now, run.op.fingerprint))
	}
	s.pump()
}

// crash ends all that runs at the target; the sidecar lives and reports it.
func (s *sidecar) crash() {
	s.crashes++
	report := poison.CrashReport{Target: s.name, Incarnation: s.incarnation, Number: s.crashes}
	for _, op := range s.w.ops {
		for _, run := range s.running {
			if run.op == op {
				report.InFlight = append(report.InFlight, op.fingerprint)
			}
		}
	}
	for _, op := range s.w.ops {
		if op.deadly && slices.Contains(report.InFlight, op.fingerprint) {
			op.crashes++
		}
		for _, run := range op.runs {
			if s.running[run.attempt] != run {
				continue
			}
			s.end(run, &wire.End{Outcome: wire.Outcome_OUTCOME_UNKNOWN, TargetCrashed: true})
		}
	}
	s.recent.Block(s.w.now.Add(poison.DefaultWindow), report.InFlight)
	s.w.spread(s.w.tracker.RecordCrash(s.w.now, report))
}

// stop ends or buries an idempotent attempt that nobody waits for.
func (s *sidecar) stop(attempt ident.AttemptID) {
	run, ok := s.running[attempt]
	if !ok {
		s.table.Tombstone(s.w.now, attempt)
		return
	}
	run.stopped = true
	s.end(run, &wire.End{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Error: "canceled"})
}

func (s *sidecar) read(st *stream, attempt ident.AttemptID, offset uint64) {
	if st.ghost || st.dead {
		return
	}
	r := &reader{stream: st, attempt: attempt, offset: offset}
	s.readers = append(s.readers, r)
	s.serve(r)
}

func (s *sidecar) pump() {
	live := s.readers[:0]
	for _, r := range s.readers {
		s.serve(r)
		if !r.done {
			live = append(live, r)
		}
	}
	s.readers = live
}

// serve sends what there is to read.
func (s *sidecar) serve(r *reader) {
	if r.done || r.stream.dead {
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
			s.refuseRead(r, err)
			return
		}
		r.notify = read.Notify
		s.forward(r, read, buf[:read.Copied])
		if read.Notify != nil {
			return
		}
	}
}

func (s *sidecar) refuseRead(r *reader, err error) {
	r.done = true
	var unseen *replay.UnknownAttemptError
	if errors.As(err, &unseen) {
		s.table.Tombstone(s.w.now, r.attempt)
	}
	if !r.headed {
		s.refuse(r.stream, r.attempt, wire.RefusalReason_REFUSAL_REASON_TOMBSTONED)
		return
	}
	r.stream.breakLink(false)
}

func (s *sidecar) forward(r *reader, read replay.ReadResult, data []byte) {
	run := s.runs[r.attempt]
	if read.Head != nil && !r.headed {
		r.headed = true
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
