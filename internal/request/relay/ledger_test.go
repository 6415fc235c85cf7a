package relay_test

import (
	"bytes"
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/relay"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

// fakeLedger replies to a claim with the recorded answer if there is one, and
// grants it otherwise. It passes settled answers to the test.
type fakeLedger struct {
	recorded *relay.Answer
	settled  chan *relay.Answer
}

func (l *fakeLedger) Claim(_ context.Context, claim relay.Claim) relay.LedgerReply {
	if l.recorded != nil {
		event := tries.Event{Kind: tries.EventLedgerSettled, Outcome: wire.Outcome_OUTCOME_RAN, Status: l.recorded.Status}
		return relay.LedgerReply{Event: event, Answer: l.recorded}
	}
	return relay.LedgerReply{Event: tries.Event{Kind: tries.EventLedgerClaimed, Attempt: claim.Attempt}}
}

func (l *fakeLedger) Release(_ context.Context, _ relay.LedgerKey, attempt ident.AttemptID, _ ident.Incarnation) relay.LedgerReply {
	return relay.LedgerReply{Event: tries.Event{Kind: tries.EventLedgerReleased, Attempt: attempt}}
}

func (l *fakeLedger) Settle(_ context.Context, _ relay.LedgerKey, _ ident.AttemptID, _ wire.Outcome, answer *relay.Answer) {
	l.settled <- answer
}

// chunkedAnswer is a sidecar that answers with chunks of the given lengths in
// bytes.
type chunkedAnswer []int

func (c chunkedAnswer) ServeCall(_ context.Context, call *wire.Call, stream *link.Stream) {
	attempt := call.GetSubmit().GetAttempt()
	_ = stream.Send(&wire.Reply{Attempt: attempt, Body: &wire.Reply_Head{Head: &wire.Head{Status: 201}}})
	offset := uint64(0)
	for _, length := range c {
		_ = stream.Send(&wire.Reply{Attempt: attempt, Offset: offset, Body: &wire.Reply_Data{Data: bytes.Repeat([]byte{'x'}, length)}})
		offset += uint64(length)
	}
	end := &wire.End{Outcome: wire.Outcome_OUTCOME_RAN, Length: offset}
	_ = stream.Send(&wire.Reply{Attempt: attempt, Offset: offset, Body: &wire.Reply_End{End: end}})
}

// runKeyedRequest runs a request that is not idempotent and has a ledger key. The
// ledger records answers of at most 100 bytes.
func runKeyedRequest(t *testing.T, l *fakeLedger, answer chunkedAnswer) (relay.Result, *recordingWriter) {
	t.Helper()
	cfg := newConfig(t, answer, "a")
	cfg.Ledger = l
	cfg.MaxRecordedBytes = 100
	request := newRequest("keyed", "a")
	request.MachineConfig.Once = true
	request.MachineConfig.LedgerKey = "key"
	request.Submit.Once = true
	c := &recordingWriter{}
	result := relay.Run(t.Context(), cfg, request, c)
	return result, c
}

func TestLedgerRecordsWholeAnswerOrNone(t *testing.T) {
	for _, test := range []struct {
		name      string
		answer    chunkedAnswer
		truncated bool
	}{
		{"fits", chunkedAnswer{60, 40}, false},
		{"one byte too long", chunkedAnswer{60, 41}, true},
		{"a short chunk after one over the limit", chunkedAnswer{90, 32, 5}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := &fakeLedger{settled: make(chan *relay.Answer, 1)}
			result, c := runKeyedRequest(t, l, test.answer)
			assert.Equal(t, result.Outcome, wire.Outcome_OUTCOME_RAN)
			recorded := <-l.settled
			assert.Equal(t, recorded.Truncated, test.truncated)
			if !test.truncated {
				assert.DeepEqual(t, recorded.Body, c.body)
				return
			}
			assert.Equal(t, len(recorded.Body), 0)
		})
	}
}

func TestTruncatedRecordedAnswerIsNotWritten(t *testing.T) {
	l := &fakeLedger{recorded: &relay.Answer{Status: 201, Body: []byte("half"), Truncated: true}}
	result, c := runKeyedRequest(t, l, nil)
	assert.Equal(t, result.Outcome, wire.Outcome_OUTCOME_RAN)
	assert.Assert(t, result.AnswerUnavailable && !result.HeadSent)
	assert.Equal(t, len(c.body), 0)
}
