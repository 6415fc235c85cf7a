package tries_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	overloaded  = wire.RefusalReason_REFUSAL_REASON_OVERLOADED
	quarantined = wire.RefusalReason_REFUSAL_REASON_QUARANTINED
	ran         = wire.Outcome_OUTCOME_RAN
	notRun      = wire.Outcome_OUTCOME_NOT_RUN
	unknown     = wire.Outcome_OUTCOME_UNKNOWN
)

var (
	epoch   = time.Unix(1000, 0)
	targets = []tries.Candidate{{Target: "a", Incarnation: 1}, {Target: "b", Incarnation: 1}, {Target: "c", Incarnation: 1}}
)

func start() tries.Event { return tries.Event{Kind: tries.EventStart, Candidates: targets} }

func refused(stream tries.StreamID, id ident.AttemptID, reason wire.RefusalReason) tries.Event {
	return tries.Event{
		Kind: tries.EventRefused, Stream: stream, Attempt: id, Reason: reason, RetryAfter: 3 * time.Second,
	}
}

func broken(stream tries.StreamID) tries.Event {
	return tries.Event{Kind: tries.EventStreamBroken, Stream: stream}
}

func head(stream tries.StreamID, id ident.AttemptID) tries.Event {
	return tries.Event{Kind: tries.EventHead, Stream: stream, Attempt: id, Status: 200}
}

func data(stream tries.StreamID, id ident.AttemptID, offset uint64) tries.Event {
	return tries.Event{Kind: tries.EventData, Stream: stream, Attempt: id, Offset: offset, Length: 5}
}

func end(stream tries.StreamID, id ident.AttemptID, length uint64) tries.Event {
	return tries.Event{Kind: tries.EventEnd, Stream: stream, Attempt: id, Length: length, Outcome: ran}
}

func crashed(stream tries.StreamID, id ident.AttemptID) tries.Event {
	return tries.Event{Kind: tries.EventEnd, Stream: stream, Attempt: id, Outcome: unknown, TargetCrashed: true}
}

// attemptEvent returns an event of kind for an attempt at target z. Its Outcome
// and Status apply to ledger events only.
func attemptEvent(kind tries.EventKind, id ident.AttemptID) tries.Event {
	return tries.Event{Kind: kind, Attempt: id, Target: "z", Incarnation: 7, Outcome: ran, Status: 201}
}

// noRetries is a retry budget with no retries left.
type noRetries struct{}

func (noRetries) Spend(time.Time, ident.CustomerName) bool { return false }

func TestOutcomes(t *testing.T) {
	claimed, held := tries.EventLedgerClaimed, tries.EventLedgerHeld
	idempotent := tries.Config{Request: "r", MaxAttempts: 2}
	once := tries.Config{Request: "r", MaxAttempts: 2, Once: true}
	onceWithKey := tries.Config{Request: "r", MaxAttempts: 2, Once: true, LedgerKey: "k"}
	noBudget := tries.Config{Request: "r", RetryBudget: noRetries{}}
	retryAfter := 3 * time.Second
	for name, c := range map[string]struct {
		cfg    tries.Config
		events []tries.Event
		want   tries.Action
	}{
		"no target":                          {idempotent, []tries.Event{{Kind: tries.EventStart}}, tries.Action{Outcome: notRun, Status: 503, RetryAfter: time.Second}},
		"all targets refuse":                 {idempotent, []tries.Event{start(), refused(1, "r", overloaded), refused(2, "r.2", overloaded)}, tries.Action{Outcome: notRun, Status: 503, RetryAfter: retryAfter}},
		"refused as quarantined":             {idempotent, []tries.Event{start(), refused(1, "r", quarantined)}, tries.Action{Outcome: notRun, Status: 422, RetryAfter: retryAfter}},
		"complete response":                  {idempotent, []tries.Event{start(), head(1, "r"), data(1, "r", 0), end(1, "r", 5)}, tries.Action{Outcome: ran, Status: 200}},
		"stream resumed":                     {idempotent, []tries.Event{start(), head(1, "r"), data(1, "r", 0), broken(1), head(2, "r"), data(2, "r", 5), end(2, "r", 10)}, tries.Action{Outcome: ran, Status: 200}},
		"response too short":                 {tries.Config{Request: "r", MaxJoins: 1}, []tries.Event{start(), head(1, "r"), data(1, "r", 0), end(1, "r", 9), head(2, "r"), end(2, "r", 9)}, tries.Action{Outcome: unknown, Status: 502, RetryAfter: time.Second, Truncated: true}},
		"two targets crash":                  {idempotent, []tries.Event{start(), crashed(1, "r"), crashed(2, "r.2")}, tries.Action{Outcome: unknown, Status: 502}},
		"retry budget used up":               {noBudget, []tries.Event{start(), crashed(1, "r")}, tries.Action{Outcome: unknown, Status: 503, RetryAfter: time.Second}},
		"not idempotent, target crashes":     {once, []tries.Event{start(), crashed(1, "r")}, tries.Action{Outcome: unknown, Status: 502}},
		"not idempotent, tombstoned":         {once, []tries.Event{start(), broken(1), attemptEvent(tries.EventTombstoned, "r"), refused(2, "r.2", overloaded)}, tries.Action{Outcome: notRun, Status: 503, RetryAfter: retryAfter}},
		"not idempotent, attempt seen":       {once, []tries.Event{start(), broken(1), attemptEvent(tries.EventAttemptSeen, "r"), head(2, "r"), end(2, "r", 0)}, tries.Action{Outcome: ran, Status: 200}},
		"not idempotent, tombstone unknown":  {once, []tries.Event{start(), broken(1), attemptEvent(tries.EventTombstoneUnknown, "r")}, tries.Action{Outcome: unknown, Status: 502}},
		"response recorded in ledger":        {onceWithKey, []tries.Event{start(), attemptEvent(tries.EventLedgerSettled, "x")}, tries.Action{Outcome: ran, Status: 201}},
		"ledger does not reply":              {onceWithKey, []tries.Event{start(), {Kind: tries.EventLedgerUnknown}}, tries.Action{Outcome: unknown, Status: 503, RetryAfter: time.Second}},
		"ledger claim released":              {onceWithKey, []tries.Event{start(), attemptEvent(claimed, "r"), refused(1, "r", quarantined), attemptEvent(tries.EventLedgerReleased, "r")}, tries.Action{Outcome: notRun, Status: 422, RetryAfter: retryAfter}},
		"joins attempt of another router":    {onceWithKey, []tries.Event{start(), attemptEvent(held, "x"), attemptEvent(tries.EventAttemptSeen, "x"), head(1, "x"), end(1, "x", 0)}, tries.Action{Outcome: ran, Status: 200}},
		"takes over claim of another router": {onceWithKey, []tries.Event{start(), attemptEvent(held, "x"), attemptEvent(tries.EventTombstoned, "x"), attemptEvent(claimed, "r"), head(1, "r"), end(1, "r", 0)}, tries.Action{Outcome: ran, Status: 200}},
		"quarantined before sending":         {idempotent, []tries.Event{{Kind: tries.EventQuarantined}}, tries.Action{Outcome: notRun, Status: 422}},
	} {
		t.Run(name, func(t *testing.T) {
			m := tries.New(c.cfg)
			var last tries.Action
			for i, e := range c.events {
				assert.Assert(t, !m.Done(), "event %d", i)
				// Only the last action of the last event is compared.
				for _, last = range m.Step(epoch, e) {
				}
			}
			c.want.Kind = tries.ActionFinish
			assert.DeepEqual(t, last, c.want)
			assert.Equal(t, m.Record().Outcome, c.want.Outcome)
		})
	}
}

func TestDeadline(t *testing.T) {
	m := tries.New(tries.Config{Request: "r", Once: true, Deadline: epoch.Add(time.Second)})
	m.Step(epoch, start())
	actions := m.Step(m.NextTimeout(), tries.Event{Kind: tries.EventTimeout})
	assert.Equal(t, len(actions), 2)
	assert.Equal(t, actions[0].Kind, tries.ActionCancel)
	assert.Assert(t, !actions[0].Stop)
	assert.DeepEqual(t, actions[1], tries.Action{Kind: tries.ActionFinish, Outcome: unknown, Status: 504})
}

func TestHedge(t *testing.T) {
	proposals := &plan{candidates: []tries.Candidate{targets[0], targets[0], targets[1]}}
	m := tries.New(tries.Config{Request: "r", HedgeAfter: time.Millisecond, Plan: proposals})
	m.Step(epoch, start())
	actions := m.Step(m.NextTimeout(), tries.Event{Kind: tries.EventTimeout})
	assert.Equal(t, len(actions), 1)
	assert.Equal(t, actions[0].Target, ident.TargetName("b"))
	m.Step(epoch, head(2, "r.2"))
	actions = m.Step(epoch, data(2, "r.2", 0))
	assert.Equal(t, actions[0].Kind, tries.ActionCancel)
	assert.Assert(t, actions[0].Stop)
	assert.Equal(t, actions[0].Stream, tries.StreamID(1))
}

func TestJitteredRetryAfter(t *testing.T) {
	seen := make(map[time.Duration]bool)
	for seed := range uint64(20) {
		m := tries.New(tries.Config{Request: "r", Random: rand.New(rand.NewPCG(seed, 0))})
		finish := m.Step(epoch, tries.Event{Kind: tries.EventStart})[0]
		assert.Assert(t, finish.RetryAfter >= time.Second && finish.RetryAfter <= 1500*time.Millisecond)
		seen[finish.RetryAfter] = true
	}
	assert.Assert(t, len(seen) > 15)
}

func TestSuccessfulRequestDoesNotAllocate(t *testing.T) {
	const runs = 100
	machines := make([]*tries.Machine, 0, runs+1)
	for range runs + 1 {
		machines = append(machines, tries.New(tries.Config{Request: "r"}))
	}
	next := 0
	allocations := testing.AllocsPerRun(runs, func() {
		m := machines[next]
		next++
		m.Step(epoch, start())
		m.Step(epoch, head(1, "r"))
		m.Step(epoch, data(1, "r", 0))
		m.Step(epoch, end(1, "r", 5))
		m.NextTimeout()
	})
	assert.Equal(t, allocations, 0.0)
}

func BenchmarkRequest(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		m := tries.New(tries.Config{Request: "r"})
		m.Step(epoch, start())
		m.Step(epoch, head(1, "r"))
		for offset := range uint64(100) {
			m.Step(epoch, data(1, "r", 5*offset))
		}
		m.Step(epoch, end(1, "r", 500))
	}
}

// FuzzMachine feeds arbitrary events in arbitrary order. A request must end at
// most once, and with OUTCOME_NOT_RUN only if no attempt may have run.
func FuzzMachine(f *testing.F) {
	// Each event is three bytes: its kind, the stream and flags, and the
	// attempt, reason, offset and length.
	f.Add(false, []byte{1, 0, 0, 4, 1, 1, 6, 0x41, 1})
	f.Add(true, []byte{1, 0, 0, 10, 0, 1, 7, 1, 0, 15, 0, 1})
	f.Fuzz(func(t *testing.T, once bool, script []byte) {
		m := tries.New(tries.Config{Request: "r", Once: once, LedgerKey: "k"})
		ends := 0
		for ; len(script) >= 3; script = script[3:] {
			e := tries.Event{
				Kind:          tries.EventKind(script[0]),
				Stream:        tries.StreamID(script[1] % 8),
				Attempt:       []ident.AttemptID{"x", "r", "r.2", "r.3"}[script[2]%4],
				Candidates:    targets,
				Reason:        wire.RefusalReason(script[2] % 12),
				Offset:        uint64(script[2] >> 4),
				Length:        uint64(script[2] >> 4),
				Outcome:       wire.Outcome(script[1] >> 6),
				TargetCrashed: script[1]&8 != 0,
			}
			for _, a := range m.Step(epoch, e) {
				if a.Kind != tries.ActionFinish {
					continue
				}
				ends++
				assert.Assert(t, a.Outcome != notRun || noneRan(m.Record()))
			}
			assert.Assert(t, ends <= 1)
		}
	})
}

// noneRan reports whether no attempt of the record can have run.
func noneRan(record *tries.Record) bool {
	for _, a := range record.Attempts {
		switch a.Result {
		case tries.ResultRefused, tries.ResultUnsent, tries.ResultTombstoned:
		default:
			return false
		}
	}
	return true
}
