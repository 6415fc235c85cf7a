package trail_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/trail"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

func TestRingKeepsNewestDecisions(t *testing.T) {
	ring := trail.NewRing(640)
	for i := range 100_000 {
		assert.Assert(t, ring.Add([]byte(fmt.Sprintf(`{"Request":"r%d"}`, i))))
	}
	kept := 0
	for i := range 100_000 {
		kept += len(ring.Get(ident.RequestID(fmt.Sprintf("r%d", i))))
	}
	assert.Equal(t, kept, 640)
	assert.Equal(t, len(ring.Get("r99999")), 1)
	assert.Equal(t, len(ring.Get("r0")), 0)
	for _, bad := range []string{"", "{}", "[", `{"Request":"x","Router":"` + string(bytes.Repeat([]byte("x"), 5000)) + `"}`} {
		assert.Assert(t, !ring.Add([]byte(bad)), bad)
	}
}

func TestRoutineDecisions(t *testing.T) {
	ran := tries.AttemptRecord{Result: tries.ResultRan}
	tests := []struct {
		name    string
		record  tries.Record
		routine bool
	}{
		{"one successful attempt", tries.Record{Outcome: wire.Outcome_OUTCOME_RAN, Attempts: []tries.AttemptRecord{ran}}, true},
		{"request that must run once", tries.Record{Once: true, Outcome: wire.Outcome_OUTCOME_RAN, Attempts: []tries.AttemptRecord{ran}}, false},
		{"retry", tries.Record{Outcome: wire.Outcome_OUTCOME_RAN, Attempts: []tries.AttemptRecord{{Result: tries.ResultRefused}, ran}}, false},
		{"crash", tries.Record{Outcome: wire.Outcome_OUTCOME_UNKNOWN, Attempts: []tries.AttemptRecord{{Result: tries.ResultCrashed}}}, false},
		{"truncated", tries.Record{Truncated: true, Outcome: wire.Outcome_OUTCOME_RAN, Attempts: []tries.AttemptRecord{ran}}, false},
		{"refused", tries.Record{Outcome: wire.Outcome_OUTCOME_NOT_RUN}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			assert.Equal(t, trail.NewDecision("router", &test.record).Routine(), test.routine)
		})
	}
}

// countdownClock is a clock whose Sleep returns at once, left times, and then
// fails.
type countdownClock struct {
	left int
}

func (s *countdownClock) Sleep(ctx context.Context, _ time.Duration) error {
	if s.left == 0 {
		return context.Canceled
	}
	s.left--
	return ctx.Err()
}

func TestSenderStaysWithinBudget(t *testing.T) {
	const seconds, budget = 60, 300
	var mu sync.Mutex
	var sent bytes.Buffer
	sender := trail.NewSender(trail.Config{
		Router: "router", Clock: &countdownClock{left: seconds}, Logger: log.NewNopLogger(), BytesPerSecond: budget,
		Send: func(_ context.Context, lines []byte) error {
			mu.Lock()
			defer mu.Unlock()
			sent.Write(lines)
			return nil
		},
	})
	for i := range 10_000 {
		sender.Report(&tries.Record{Request: ident.RequestID(fmt.Sprint(i)), Once: true})
	}
	sender.Run(t.Context())
	// The initial 16 seconds of saved budget plus the budget of each second.
	assert.Assert(t, sent.Len() <= (16+seconds)*budget, sent.Len())
	ring := trail.NewRing(0)
	for line := range bytes.Lines(sent.Bytes()) {
		assert.Assert(t, ring.Add(bytes.TrimSpace(line)), string(line))
	}
	assert.Equal(t, len(ring.Get("0")), 1)
}
