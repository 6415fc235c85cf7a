package ctrl

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// maxSkew is how far two control VMs' clocks may be apart. The leader's
	// clock stamps commands, by which ledger keys and verdicts expire.
	maxSkew = time.Second
	// skewWarnInterval bounds how often a clock that is off is logged.
	skewWarnInterval = time.Minute
)

// skews keeps how far the clocks of the other control VMs are from this one's.
// Its zero value knows none.
type skews struct {
	mu     sync.Mutex
	byVM   map[ident.VMName]time.Duration
	warned time.Time
}

// skewOf returns how far a clock that was read between asked and answered is
// off, beyond what the journey explains.
func skewOf(asked, answered, clock time.Time) time.Duration {
	switch {
	case clock.Before(asked):
		return clock.Sub(asked)
	case clock.After(answered):
		return clock.Sub(answered)
	}
	return 0
}

// note keeps the skew of a VM's clock.
func (s *skews) note(vm ident.VMName, skew time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byVM == nil {
		s.byVM = make(map[ident.VMName]time.Duration)
	}
	s.byVM[vm] = skew
}

// largest returns the largest skew, whichever way.
func (s *skews) largest() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	largest := time.Duration(0)
	for _, skew := range s.byVM {
		largest = max(largest, skew.Abs())
	}
	return largest
}

// mayWarn reports whether a warning is due, and takes it as given.
func (s *skews) mayWarn(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.warned) < skewWarnInterval {
		return false
	}
	s.warned = now
	return true
}

// noteClock compares another control VM's clock with this one's.
func (c *Control) noteClock(vm ident.VMName, asked time.Time, clock time.Time) {
	if clock.IsZero() {
		return
	}
	now := c.cfg.Clock.Now()
	skew := skewOf(asked, now, clock)
	c.skews.note(vm, skew)
	if skew.Abs() > maxSkew && c.skews.mayWarn(now) {
		_ = level.Error(c.cfg.Logger).Log("msg", "clocks are apart", "vm", vm, "skew", skew)
	}
}
