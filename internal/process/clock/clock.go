// Package clock provides the system clock and a fake clock for tests. Packages
// that need the time declare an interface with the methods that they use, which
// both types implement.
package clock

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// processStart is the fallback for the start of Elapsed.
var processStart = time.Now()

// System is the system clock. Its zero value is ready for use.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// Elapsed returns the time since an unspecified start. Unlike differences between times
// of Now, it includes the time for which the machine was suspended.
func (System) Elapsed() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return time.Since(processStart)
	}
	return time.Duration(now.Nano())
}

// After returns a channel on which the current time is sent after d.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Sleep waits until d has passed or ctx is done. It returns the error of ctx in
// the second case.
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
