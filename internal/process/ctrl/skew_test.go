package ctrl_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/ctrl"
)

func TestSkewIsWhatTheJourneyDoesNotExplain(t *testing.T) {
	asked := time.Unix(100, 0)
	answered := asked.Add(40 * time.Millisecond)
	assert.Equal(t, ctrl.Skew(asked, answered, asked.Add(20*time.Millisecond)), time.Duration(0))
	assert.Equal(t, ctrl.Skew(asked, answered, answered.Add(3*time.Second)), 3*time.Second)
	assert.Equal(t, ctrl.Skew(asked, answered, asked.Add(-time.Minute)), -time.Minute)
}
