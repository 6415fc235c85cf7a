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

// ledger grants every claim unless it holds an answer, and keeps what is
// settled.
type ledger struct {
	held    *relay.Answer
	settled chan *relay.Answer
}

func (l *ledger) Claim(_ context.Context, claim relay.Claim) relay.LedgerReply {
	if l.held != nil {
		event := tries.Event{Kind: tries.EventLedgerSettled, Outcome: wire.Outcome_OUTCOME_RAN, Status: l.held.Status}
		return relay.LedgerReply{Event: event, Answer: l.held}
	}
	return relay.LedgerReply{Event: tries.Event{Kind: tries.EventLedgerClaimed, Attempt: claim.Attempt}}
}

func (l *ledger) Release(_ context.Context, _ relay.LedgerKey, attempt ident.AttemptID, _ ident.Incarnation) relay.LedgerReply {
	return relay.LedgerReply{Event: tries.Event{Kind: tries.EventLedgerReleased, Attempt: attempt}}
}

func (l *ledger) Settle(_ context.Context, _ relay.LedgerKey, _ ident.AttemptID, _ wire.Outcome, answer *relay.Answer) {
	l.settled <- answer
}

// chunks answers with pieces of the given lengths.
type chunks []int

func (c chunks) ServeCall(_ context.Context, call *wire.Call, stream *link.Stream) {
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

// runStep runs a request that is not idempotent, with a key, and an answer of
// the given pieces, of which the ledger takes 100 bytes.
func runStep(t *testing.T, l *ledger, answer chunks) (relay.Result, *caller) {
	t.Helper()
	cfg := configure(t, answer, "a")
	cfg.Ledger = l
	cfg.MaxRecordedBytes = 100
	request := ask("step", "a")
	request.Tries.Once = true
	request.Tries.LedgerKey = "key"
	request.Submit.Once = true
	c := &caller{}
	result := relay.Run(t.Context(), cfg, request, c)
	return result, c
}

func TestLedgerKeepsTheWholeAnswerOrNone(t *testing.T) {
	for _, test := range []struct {
		name      string
		answer    chunks
		truncated bool
	}{
		{"fits", chunks{60, 40}, false},
		{"one byte too long", chunks{60, 41}, true},
		{"a short piece after a long one", chunks{90, 32, 5}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := &ledger{settled: make(chan *relay.Answer, 1)}
			result, c := runStep(t, l, test.answer)
			assert.Equal(t, result.Outcome, wire.Outcome_OUTCOME_RAN)
			kept := <-l.settled
			assert.Equal(t, kept.Truncated, test.truncated)
			if !test.truncated {
				assert.DeepEqual(t, kept.Body, c.body)
				return
			}
			assert.Equal(t, len(kept.Body), 0)
		})
	}
}

func TestAnswerThatIsNotKeptIsNeverGivenInPart(t *testing.T) {
	l := &ledger{held: &relay.Answer{Status: 201, Body: []byte("half"), Truncated: true}}
	result, c := runStep(t, l, nil)
	assert.Equal(t, result.Outcome, wire.Outcome_OUTCOME_RAN)
	assert.Assert(t, result.AnswerUnavailable && !result.HeadSent)
	assert.Equal(t, len(c.body), 0)
}
