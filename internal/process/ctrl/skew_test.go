package ctrl_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/ctrl"
)

func TestClockSkewIgnoresRoundTripTime(t *testing.T) {
	sentAt := time.Unix(100, 0)
	receivedAt := sentAt.Add(40 * time.Millisecond)
	assert.Equal(t, ctrl.ClockSkew(sentAt, receivedAt, sentAt.Add(20*time.Millisecond)), time.Duration(0))
	assert.Equal(t, ctrl.ClockSkew(sentAt, receivedAt, receivedAt.Add(3*time.Second)), 3*time.Second)
	assert.Equal(t, ctrl.ClockSkew(sentAt, receivedAt, sentAt.Add(-time.Minute)), -time.Minute)
}
