package clock

import (
	"context"
	"sync"
	"time"
)

// Fake is a clock that moves only when it is told to. Its zero value stands
// at the zero time and is ready for use.
type Fake struct {
	mu     sync.Mutex
	now    time.Time
	alarms []alarm
}

type alarm struct {
	at   time.Time
	ring chan time.Time
}

// NewFake returns a fake clock that stands at start.
func NewFake(start time.Time) *Fake { return &Fake{now: start} }

// Now returns the time at which the clock stands.
func (f *Fake) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// After returns a channel that receives the time once the clock has been
// moved d ahead.
func (f *Fake) After(d time.Duration) <-chan time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	ring := make(chan time.Time, 1)
	if d <= 0 {
		ring <- f.now
		return ring
	}
	f.alarms = append(f.alarms, alarm{at: f.now.Add(d), ring: ring})
	return ring
}

// Sleep waits until the clock has been moved d ahead or ctx ends.
func (f *Fake) Sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-f.After(d):
		return nil
	}
}

// Advance moves the clock by d and rings the alarms that have come due.
func (f *Fake) Advance(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	kept := f.alarms[:0]
	for _, a := range f.alarms {
		if a.at.After(f.now) {
			kept = append(kept, a)
			continue
		}
		a.ring <- f.now
	}
	f.alarms = kept
}
