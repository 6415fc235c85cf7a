package admit

import "time"

// DefaultDigestMaxAge is how long a target without news of the pool's load goes
// by the mean that it last knew.
const DefaultDigestMaxAge = 3 * time.Second

// blind reports whether there has been no news for so long that nothing is
// known of the mean. That is so when every control process is lost or out of
// reach: to hold the bound by the old mean would then shrink the target to
// one request, so admission goes by the target's own limits instead.
func (b *bound) blind(now time.Time) bool {
	last := b.news.At
	if last.IsZero() {
		if b.born.IsZero() {
			b.born = now
		}
		last = b.born
	}
	return now.Sub(last) > DefaultDigestMaxAge
}

// DigestStale reports whether admission goes without news of the pool's load.
func (c *Controller) DigestStale(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.bound.blind(now)
}
