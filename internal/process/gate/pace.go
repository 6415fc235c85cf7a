package gate

import (
	"context"
	"time"
)

const (
	// paceSlice is one wait in which a process that gets processor time wakes on
	// time, give or take paceSlack.
	paceSlice = 25 * time.Millisecond
	paceSlack = 25 * time.Millisecond
	// paceSlices on time in a row are enough to read what came meanwhile.
	paceSlices = 6
)

// awaitPace returns once this process wakes on time again, or when ctx ends.
// Idle connections are closed after it: a process that stood still has requests
// in them that it has not read yet.
func awaitPace(ctx context.Context, clock Clock) {
	for onTime := 0; onTime < paceSlices; {
		began := clock.Now()
		if clock.Sleep(ctx, paceSlice) != nil {
			return
		}
		onTime++
		if clock.Now().Sub(began) > paceSlice+paceSlack {
			onTime = 0
		}
	}
}
