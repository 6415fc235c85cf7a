package gate

import (
	"context"
	"time"
)

const (
	// A sleep of wakeInterval that ends more than maxWakeDelay late shows that the
	// process got no processor time.
	wakeInterval = 25 * time.Millisecond
	maxWakeDelay = 25 * time.Millisecond
	// requiredWakeups is the number of consecutive timely wakeups in which the
	// process has time to read the requests that arrived during a stall.
	requiredWakeups = 6
)

// awaitTimelyWakeups waits until this process wakes on time requiredWakeups times in
// a row, or until ctx ends. It must run before idle connections are closed: after a
// stall they may hold requests that the process has not read yet.
func awaitTimelyWakeups(ctx context.Context, clock Clock) {
	for onTime := 0; onTime < requiredWakeups; {
		start := clock.Now()
		if clock.Sleep(ctx, wakeInterval) != nil {
			return
		}
		onTime++
		if clock.Now().Sub(start) > wakeInterval+maxWakeDelay {
			onTime = 0
		}
	}
}
