package clock

import (
	"context"
	"sync"
	"time"
)

// Fake is a clock that moves only when Advance is called. Its zero value shows
// the zero time and is ready for use. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now time.Time
	// elapsed is the time by which the clock was advanced, and for which it was suspended.
	elapsed time.Duration
	timers  []timer
}

type timer struct {
	deadline time.Time
	fired    chan time.Time
}

// NewFake returns a fake clock that shows start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the time of the clock.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Elapsed returns the time by which the clock was advanced or suspended.
func (f *Fake) Elapsed() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.elapsed
}

// Suspend lets d pass as on a machine that is suspended: Now and timers stand still.
func (f *Fake) Suspend(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.elapsed += d
}

// After returns a channel on which the time is sent once the clock has advanced
// by d.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	fired := make(chan time.Time, 1)
	if d <= 0 {
		fired <- f.now
		return fired
	}
	f.timers = append(f.timers, timer{deadline: f.now.Add(d), fired: fired})
	return fired
}

// Sleep waits until the clock has advanced by d or ctx is done. It returns the
// error of ctx in the second case.
func (f *Fake) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.After(d):
		return nil
	}
}

// Advance moves the clock forward by d and fires the timers that are due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	f.elapsed += d
	kept := f.timers[:0]
	for _, t := range f.timers {
		if t.deadline.After(f.now) {
			kept = append(kept, t)
			continue
		}
		t.fired <- f.now
	}
	f.timers = kept
}
