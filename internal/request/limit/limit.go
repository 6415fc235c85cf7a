// Package limit enforces the limits in each customer's record at one router. The
// limits are for all routers together, so each router enforces its share of them.
package limit

import (
	"fmt"
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

const (
	shardCount = 64
	// burstDuration is the time whose worth of a rate may be used at once.
	burstDuration = 2 * time.Second
	// shareSlack multiplies a router's even share, since load balancers do not
	// spread a customer's requests evenly over the routers.
	shareSlack = 2.0
	// retryAfterMargin makes up for rounding, so that a caller that waits as told
	// is admitted.
	retryAfterMargin = time.Millisecond
	// minRetryAfter and maxRetryAfter bound the wait that a rejected caller is told.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = time.Minute
)

// ExceededError is returned for a request that exceeds one of the customer's limits.
type ExceededError struct {
	// Limit is the field name of the limit in the customer's record.
	Limit string
	// RetryAfter is how long to wait until the limit allows such a request again,
	// at most maxRetryAfter.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("the customer's limit %s is reached", e.Limit)
}

// Limiter tracks what each customer uses at this router. The zero value is ready
// for use. A Limiter is safe for concurrent use.
type Limiter struct {
	shards [shardCount]shard
}

type shard struct {
	mu        sync.Mutex
	customers map[ident.CustomerName]*usage
}

type usage struct {
	inFlight int
	requests bucket
	tokens   bucket
}

// bucket is a leaky bucket, whose level drains at the rate of the limit. The zero
// value is empty.
type bucket struct {
	level     float64
	updatedAt time.Time
}

// Acquire counts a request that starts, or returns an *ExceededError if it exceeds
// a limit. The routerShare is 1 divided by the number of routers. After a successful
// Acquire, Release must be called when the request ends.
func (l *Limiter) Acquire(now time.Time, customer *record.Customer, routerShare float64, tokens ident.Tokens) error {
	s := l.shard(customer.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usage(customer.Name)
	// enforcedShare is the fraction of each limit that this router allows.
	enforcedShare := min(1, shareSlack*routerShare)
	limits := customer.Limits
	if limits.InFlight > 0 && u.inFlight >= ceilAtLeastOne(float64(limits.InFlight)*enforcedShare) {
		return &ExceededError{Limit: "InFlight", RetryAfter: time.Second}
	}
	requestRate := limits.RequestsPerSecond * enforcedShare
	tokenRate := float64(limits.TokensPerMinute) / time.Minute.Seconds() * enforcedShare
	if wait := u.requests.drain(now, requestRate, 1); wait > 0 {
		return &ExceededError{Limit: "RequestsPerSecond", RetryAfter: wait}
	}
	if wait := u.tokens.drain(now, tokenRate, float64(tokens)); wait > 0 {
		return &ExceededError{Limit: "TokensPerMinute", RetryAfter: wait}
	}
	u.requests.level++
	u.tokens.level += float64(tokens)
	u.inFlight++
	return nil
}

// Release counts a request that ends.
func (l *Limiter) Release(customer ident.CustomerName) {
	s := l.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage(customer).inFlight--
}

// drain drains the bucket at rate, per second, and returns how long to wait
// before adding n, zero if n fits now. An empty bucket takes any n, so that no
// request is too large forever. A rate of zero means no limit.
func (b *bucket) drain(now time.Time, rate, n float64) time.Duration {
	if rate <= 0 {
		*b = bucket{updatedAt: now}
		return 0
	}
	if !b.updatedAt.IsZero() {
		b.level = max(0, b.level-rate*max(0, now.Sub(b.updatedAt).Seconds()))
	}
	b.updatedAt = now
	capacity := max(1, rate*burstDuration.Seconds())
	if b.level == 0 || b.level+n <= capacity {
		return 0
	}
	// A request larger than the bucket waits only until the bucket is empty.
	excess := min(b.level, b.level+n-capacity)
	delay := time.Duration(excess/rate*float64(time.Second)) + retryAfterMargin
	return min(maxRetryAfter, max(minRetryAfter, delay))
}

func (l *Limiter) shard(customer ident.CustomerName) *shard {
	return &l.shards[xxhash.Sum64String(string(customer))%shardCount]
}

func (s *shard) usage(customer ident.CustomerName) *usage {
	if s.customers == nil {
		s.customers = make(map[ident.CustomerName]*usage)
	}
	u, ok := s.customers[customer]
	if !ok {
		u = new(usage)
		s.customers[customer] = u
	}
	return u
}

func ceilAtLeastOne(x float64) int { return max(1, int(math.Ceil(x))) }
