// Package permit keeps the token buckets from which the whole fleet takes
// what may be used at a limited rate, such as fetches from the weight store.
//
// The buckets are soft state of the process that leads a term. Those of a new
// term start empty, so that the rate holds whatever the one before gave out.
package permit

import (
	"math"
	"sync"
	"time"
)

// Kind names what is limited.
type Kind string

// KindWeights limits the fetches of weights that may start.
const KindWeights Kind = "weights"

// Defaults of Limit.
const (
	DefaultRate  = 1.0
	DefaultBurst = 4
)

// Limit bounds what is granted in any time span to Burst and Rate times the
// span.
type Limit struct {
	// Rate is granted in a second.
	Rate float64
	// Burst may be granted at once.
	Burst uint32
}

// LimitFunc returns the limit of a kind; false if there is no such kind.
type LimitFunc func(kind Kind) (Limit, bool)

// WeightLimits returns the limits of a fleet that fetches weights alone. Zero
// fields take their defaults.
func WeightLimits(limit Limit) LimitFunc {
	if limit.Rate == 0 {
		limit.Rate = DefaultRate
	}
	if limit.Burst == 0 {
		limit.Burst = DefaultBurst
	}
	return func(kind Kind) (Limit, bool) { return limit, kind == KindWeights }
}

// Bucket fills at a rate from empty. It is not safe for concurrent use.
type Bucket struct {
	limit  Limit
	tokens float64
	filled time.Time
}

// NewBucket returns an empty bucket.
func NewBucket(now time.Time, limit Limit) *Bucket { return &Bucket{limit: limit, filled: now} }

// Take takes an amount at once or not at all. If it is not granted it returns
// when it may be; 0 for an amount above the burst, which never is.
func (b *Bucket) Take(now time.Time, amount uint32) (granted bool, retryAfter time.Duration) {
	if elapsed := now.Sub(b.filled); elapsed > 0 {
		b.tokens = min(float64(b.limit.Burst), b.tokens+b.limit.Rate*elapsed.Seconds())
		b.filled = now
	}
	lacking := float64(amount) - b.tokens
	switch {
	case amount > b.limit.Burst:
		return false, 0
	case lacking > 0:
		seconds := math.Ceil(lacking/b.limit.Rate*1e3) / 1e3
		return false, time.Duration(seconds * float64(time.Second))
	}
	b.tokens -= float64(amount)
	return true, 0
}

// Limiter keeps the buckets of the term that this process leads. It is safe
// for concurrent use.
type Limiter struct {
	limits LimitFunc

	mu      sync.Mutex
	term    uint64
	buckets map[Kind]*Bucket
}

// NewLimiter returns a Limiter without buckets.
func NewLimiter(limits LimitFunc) *Limiter {
	return &Limiter{limits: limits, buckets: make(map[Kind]*Bucket)}
}

// Take takes from the bucket of a kind in a term, as Bucket.Take does. The
// grant counts only if the process still leads the term after the call.
func (k *Limiter) Take(now time.Time, term uint64, kind Kind, amount uint32) (granted bool, retryAfter time.Duration) {
	limit, known := k.limits(kind)
	if !known {
		return false, 0
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if term != k.term {
		k.term = term
		clear(k.buckets)
	}
	bucket := k.buckets[kind]
	if bucket == nil {
		bucket = NewBucket(now, limit)
		k.buckets[kind] = bucket
	}
	return bucket.Take(now, amount)
}
