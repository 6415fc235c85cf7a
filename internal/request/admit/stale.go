package admit

import "time"

// DigestMaxAge is the age above which a digest of the pool's load is
// stale and its mean is no longer used.
const DigestMaxAge = 3 * time.Second

// digestStale reports whether the last digest is too old to be used. That happens
// when every control process is down or unreachable. Admission then uses the
// target's own limits: the allowance for completed requests grows with the
// digest's age, so the load bound would fall to one request.
func (l *limiter) digestStale(now time.Time) bool {
	last := l.digest.At
	if last.IsZero() {
		if l.firstUsed.IsZero() {
			l.firstUsed = now
		}
		last = l.firstUsed
	}
	return now.Sub(last) > DigestMaxAge
}

// DigestStale reports whether the last digest is too old to be used, so that
// admission ignores the mean load.
func (c *Controller) DigestStale(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.limiter.digestStale(now)
}
