package gate_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/gate"
)

// stalled is a clock of a process that wakes late for some of its sleeps.
type stalled struct {
	now    time.Time
	late   []time.Duration
	sleeps int
}

func (s *stalled) Now() time.Time { return s.now }

func (s *stalled) Sleep(ctx context.Context, d time.Duration) error {
	if s.sleeps < len(s.late) {
		d += s.late[s.sleeps]
	}
	s.sleeps++
	s.now = s.now.Add(d)
	return ctx.Err()
}

// On the bench, dar-siraj-grown scale-1 (once in four plays): a gate that stood
// still at the end of its drain closed idle connections with requests in them.
func TestStopWaitsForAProcessThatStoodStill(t *testing.T) {
	onTime := &stalled{}
	gate.AwaitPace(context.Background(), onTime)
	assert.Equal(t, onTime.sleeps, 6)
	late := &stalled{late: []time.Duration{0, 0, 0, 0, 200 * time.Millisecond}}
	gate.AwaitPace(context.Background(), late)
	assert.Equal(t, late.sleeps, 11)
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	gate.AwaitPace(ended, &stalled{})
}
