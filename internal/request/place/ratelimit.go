package place

import (
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// RateLimit is the rate that a target accepts from all callers together.
type RateLimit struct {
	// Limited is false for a target that accepts any rate.
	Limited bool
	Rate    ident.Rate
	// NamedAt is when a response of the target said so.
	NamedAt time.Time
}

// RecordRateLimit records what a target says of the rate that it accepts, unless
// something newer is known. It reports whether the limit changed.
func (b *Balancer) RecordRateLimit(t *Target, limit RateLimit) bool {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	if !limit.NamedAt.After(t.rateLimit.NamedAt) {
		return false
	}
	changed := limit.Limited != t.rateLimit.Limited || limit.Rate != t.rateLimit.Rate
	t.rateLimit = limit
	t.rateLimitInvalid = false
	return changed
}

// RecordInvalidRateLimit records that a target names a limit that cannot be used. The
// limit that it named before stays in force. It reports whether the target has not done
// so since its last valid response.
func (b *Balancer) RecordInvalidRateLimit(t *Target) bool {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	first := !t.rateLimitInvalid
	t.rateLimitInvalid = true
	return first
}

// RateLimit returns the rate that a target accepts.
func (b *Balancer) RateLimit(t *Target) RateLimit {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	return t.rateLimit
}

// LimitedCount returns the number of targets that limit their rate.
func (b *Balancer) LimitedCount() int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	count := 0
	for _, t := range b.byName {
		if b.RateLimit(t).Limited {
			count++
		}
	}
	return count
}
