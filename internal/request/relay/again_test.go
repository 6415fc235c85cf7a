package relay_test

import (
	"context"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/relay"
)

// failsOnce ends its first answer in the middle, as when its target fails.
type failsOnce struct{ calls atomic.Int64 }

func (f *failsOnce) ServeCall(_ context.Context, call *wire.Call, stream *link.Stream) {
	first := f.calls.Add(1) == 1
	attempt := call.GetSubmit().GetAttempt()
	_ = stream.Send(&wire.Reply{Attempt: attempt, Body: &wire.Reply_Head{Head: &wire.Head{Status: 200}}})
	body, end := []byte("whole answer"), &wire.End{Outcome: wire.Outcome_OUTCOME_RAN, Length: 12}
	if first {
		body, end = []byte("part"), &wire.End{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Length: 4, Error: "failed"}
	}
	_ = stream.Send(&wire.Reply{Attempt: attempt, Body: &wire.Reply_Data{Data: body}})
	_ = stream.Send(&wire.Reply{Attempt: attempt, Offset: uint64(len(body)), Body: &wire.Reply_End{End: end}})
}

// TestLookupRunsAgainUnlessItsCallerSawAPart covers an idempotent call whose
// target fails after the first bytes.
func TestLookupRunsAgainUnlessItsCallerSawAPart(t *testing.T) {
	for _, test := range []struct {
		name    string
		caller  relay.AnswerWriter
		outcome wire.Outcome
	}{
		{"held back", &held{}, wire.Outcome_OUTCOME_RAN},
		{"streamed", &caller{}, wire.Outcome_OUTCOME_UNKNOWN},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := configure(t, &failsOnce{}, "a", "b")
			result := relay.Run(t.Context(), cfg, ask("lookup", "a", "b"), test.caller)
			assert.Equal(t, result.Outcome, test.outcome)
			assert.Equal(t, result.Truncated, test.outcome != wire.Outcome_OUTCOME_RAN)
			if h, ok := test.caller.(*held); ok {
				assert.Equal(t, string(h.body), "whole answer")
			}
		})
	}
}
