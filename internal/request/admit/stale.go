package admit

import "time"

// DigestMaxAge is the age above which a digest of the pool's load is
// stale and its mean is no longer used.
const DigestMaxAge = 3 * time.Second

// digestStale reports whether the last digest is too old to be used. Without a
// digest, the age counts from the first call.
//
// A digest becomes stale when every control process is down or unreachable.
// Admission then uses staleLimit instead of the mean load. Otherwise the mean,
// which is reduced for requests that may have completed since the digest, would
// fall toward zero and the limit to one request.
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
