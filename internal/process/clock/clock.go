// Package clock gives the system clock and a fake one for tests. Code that
// needs time declares the small interface that it uses; both types fit.
package clock

import (
	"context"
	"time"
)

// System is the machine's clock. Its zero value is ready for use.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// After returns a channel that receives the time once d has passed.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Sleep waits for d or until ctx ends, whichever is first, and returns the
// context's error if it ended.
func (System) Sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
