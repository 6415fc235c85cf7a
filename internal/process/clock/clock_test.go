package clock_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/clock"
)

func TestFakeTimerFiresWhenAdvanced(t *testing.T) {
	fake := clock.NewFake(time.Unix(100, 0))
	fired := fake.After(time.Second)
	fake.Advance(999 * time.Millisecond)
	assert.Equal(t, len(fired), 0)
	fake.Advance(time.Millisecond)
	assert.Equal(t, <-fired, time.Unix(101, 0))
}
