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

// failsOnce breaks off its first answer after a few bytes, as when its target
// fails, and completes the following ones.
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

// TestIdempotentRequestRetriedUnlessPartlyStreamed covers an idempotent request
// whose target fails after the first bytes. It is retried only if the caller
// has not received any of them.
func TestIdempotentRequestRetriedUnlessPartlyStreamed(t *testing.T) {
	for _, test := range []struct {
		name    string
		writer  relay.AnswerWriter
		outcome wire.Outcome
	}{
		{"buffered", &bufferedWriter{}, wire.Outcome_OUTCOME_RAN},
		{"streamed", &recordingWriter{}, wire.Outcome_OUTCOME_UNKNOWN},
	} {
		t.Run(test.name, func(t *testing.T) {
			cfg := newConfig(t, &failsOnce{}, "a", "b")
			result := relay.Run(t.Context(), cfg, newRequest("idempotent", "a", "b"), test.writer)
			assert.Equal(t, result.Outcome, test.outcome)
			assert.Equal(t, result.Truncated, test.outcome != wire.Outcome_OUTCOME_RAN)
			if buffered, ok := test.writer.(*bufferedWriter); ok {
				assert.Equal(t, string(buffered.body), "whole answer")
			}
		})
	}
}
