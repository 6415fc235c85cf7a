package clock_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/clock"
)

func TestFakeRingsWhenAdvanced(t *testing.T) {
	fake := clock.NewFake(time.Unix(100, 0))
	ring := fake.After(time.Second)
	fake.Advance(999 * time.Millisecond)
	assert.Equal(t, len(ring), 0)
	fake.Advance(time.Millisecond)
	assert.Equal(t, <-ring, time.Unix(101, 0))
}
