// Package permit implements fleet-wide rate limits with token buckets, for
// example for fetches from the weight store.
//
// The buckets are kept in memory by the leader of a term. The buckets of a new
// term start empty, so that the limit holds regardless of what the previous
// leader granted.
package permit

import (
	"math"
	"sync"
	"time"
)

// Kind is the kind of operation that is limited.
type Kind string

// KindWeights is the start of a fetch of weights.
const KindWeights Kind = "weights"

// Defaults of Limit in WeightLimits.
const (
	DefaultRate  = 1.0
	DefaultBurst = 4
)

// Limit configures a token bucket. In any period the bucket grants at most Burst
// plus Rate times the length of the period.
type Limit struct {
	// Rate is the number of tokens added per second.
	Rate float64
	// Burst is the capacity of the bucket.
	Burst uint32
}

// LimitFunc returns the limit of a kind, and false if the kind is unknown.
type LimitFunc func(kind Kind) (Limit, bool)

// WeightLimits returns a LimitFunc that knows only KindWeights. Zero fields of
// limit take their defaults.
func WeightLimits(limit Limit) LimitFunc {
	if limit.Rate == 0 {
		limit.Rate = DefaultRate
	}
	if limit.Burst == 0 {
		limit.Burst = DefaultBurst
	}
	return func(kind Kind) (Limit, bool) { return limit, kind == KindWeights }
}

// Bucket is a token bucket that starts empty. It is not safe for concurrent use.
type Bucket struct {
	limit      Limit
	tokens     float64
	lastRefill time.Time
}

// NewBucket returns an empty bucket.
func NewBucket(now time.Time, limit Limit) *Bucket { return &Bucket{limit: limit, lastRefill: now} }

// Take takes amount tokens or none. If there are too few tokens, retryAfter is
// the time until there will be enough, rounded up to a millisecond. It is zero if
// amount exceeds the burst, which is never granted.
func (b *Bucket) Take(now time.Time, amount uint32) (granted bool, retryAfter time.Duration) {
	return b.TakeAbove(now, amount, 0)
}

// TakeAbove is Take if at least reserve tokens are left after it.
func (b *Bucket) TakeAbove(now time.Time, amount, reserve uint32) (granted bool, retryAfter time.Duration) {
	b.refill(now)
	deficit := float64(amount+reserve) - b.tokens
	switch {
	case amount+reserve > b.limit.Burst:
		return false, 0
	case deficit > 0:
		seconds := math.Ceil(deficit/b.limit.Rate*1e3) / 1e3
		return false, time.Duration(seconds * float64(time.Second))
	}
	b.tokens -= float64(amount)
	return true, 0
}

// SetLimit changes the limit. The tokens stay, as far as the new burst allows.
func (b *Bucket) SetLimit(now time.Time, limit Limit) {
	b.refill(now)
	b.limit = limit
	b.tokens = min(b.tokens, float64(limit.Burst))
}

func (b *Bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.lastRefill); elapsed > 0 {
		b.tokens = min(float64(b.limit.Burst), b.tokens+b.limit.Rate*elapsed.Seconds())
		b.lastRefill = now
	}
}

// Limiter holds the buckets of the term that this process leads. It is safe for
// concurrent use.
type Limiter struct {
	limits LimitFunc

	mu      sync.Mutex
	term    uint64
	buckets map[Kind]*Bucket
}

// NewLimiter returns a Limiter with the limits that limits returns.
func NewLimiter(limits LimitFunc) *Limiter {
	return &Limiter{limits: limits, buckets: make(map[Kind]*Bucket)}
}

// Take takes tokens from the bucket of a kind in a term, as Bucket.Take does. The
// caller must confirm after the call that it still leads the term; otherwise the
// grant is void. For an unknown kind, Take returns false and zero.
func (l *Limiter) Take(now time.Time, term uint64, kind Kind, amount uint32) (granted bool, retryAfter time.Duration) {
	limit, known := l.limits(kind)
	if !known {
		return false, 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if term != l.term {
		l.term = term
		clear(l.buckets)
	}
	bucket := l.buckets[kind]
	if bucket == nil {
		bucket = NewBucket(now, limit)
		l.buckets[kind] = bucket
	}
	return bucket.Take(now, amount)
}
