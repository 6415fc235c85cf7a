package ctrl

import (
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// maxSkew is the difference between the clocks of two control VMs above
	// which an error is logged. Commands carry the time of the leader's clock,
	// which determines when ledger keys and verdicts expire.
	maxSkew = time.Second
	// skewWarnInterval is the minimum interval between two log lines about
	// clock skew.
	skewWarnInterval = time.Minute
)

// clockSkews has the differences between this VM's clock and those of the other
// control VMs. Its zero value is ready to use.
type clockSkews struct {
	mu       sync.Mutex
	byVM     map[ident.VMName]time.Duration
	warnedAt time.Time
}

// clockSkew returns how far a remote clock, read between sentAt and receivedAt,
// is ahead of this one. It is 0 if remoteTime lies between them, and negative
// if the remote clock is behind.
func clockSkew(sentAt, receivedAt, remoteTime time.Time) time.Duration {
	switch {
	case remoteTime.Before(sentAt):
		return remoteTime.Sub(sentAt)
	case remoteTime.After(receivedAt):
		return remoteTime.Sub(receivedAt)
	}
	return 0
}

// set stores the skew of a VM's clock.
func (s *clockSkews) set(vm ident.VMName, skew time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byVM == nil {
		s.byVM = make(map[ident.VMName]time.Duration)
	}
	s.byVM[vm] = skew
}

// largest returns the largest absolute skew.
func (s *clockSkews) largest() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	largest := time.Duration(0)
	for _, skew := range s.byVM {
		largest = max(largest, skew.Abs())
	}
	return largest
}

// shouldWarn reports whether a warning is due, and if so records it as given.
func (s *clockSkews) shouldWarn(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.warnedAt) < skewWarnInterval {
		return false
	}
	s.warnedAt = now
	return true
}

// checkClockSkew compares the clock of another control VM with this one's and
// logs a difference above maxSkew.
func (c *Control) checkClockSkew(vm ident.VMName, sentAt time.Time, remoteTime time.Time) {
	if remoteTime.IsZero() {
		return
	}
	now := c.cfg.Clock.Now()
	skew := clockSkew(sentAt, now, remoteTime)
	c.clockSkews.set(vm, skew)
	if skew.Abs() > maxSkew && c.clockSkews.shouldWarn(now) {
		_ = level.Error(c.cfg.Logger).Log("msg", "clock skew exceeds the limit", "vm", vm, "skew", skew)
	}
}
