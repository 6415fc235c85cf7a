package gate_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/gate"
)

// stallingClock is a clock whose first sleeps end late by the given delays.
type stallingClock struct {
	now    time.Time
	delays []time.Duration
	sleeps int
}

func (c *stallingClock) Now() time.Time { return c.now }

func (c *stallingClock) Sleep(ctx context.Context, d time.Duration) error {
	if c.sleeps < len(c.delays) {
		d += c.delays[c.sleeps]
	}
	c.sleeps++
	c.now = c.now.Add(d)
	return ctx.Err()
}

// A process that stalls at the end of its drain must not close idle connections
// before it has read the requests that arrived in them during the stall. Gates did
// so in one of four runs of a load test.
func TestAwaitTimelyWakeups(t *testing.T) {
	onTime := &stallingClock{}
	gate.AwaitTimelyWakeups(context.Background(), onTime)
	assert.Equal(t, onTime.sleeps, 6)
	delayed := &stallingClock{delays: []time.Duration{0, 0, 0, 0, 200 * time.Millisecond}}
	gate.AwaitTimelyWakeups(context.Background(), delayed)
	assert.Equal(t, delayed.sleeps, 11)
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	gate.AwaitTimelyWakeups(canceled, &stallingClock{})
}
