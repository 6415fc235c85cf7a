// Package limit holds each customer to the limits of its record at one
// router. The limits are the fleet's, and a router enforces its share of
// them.
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
	shards = 64
	// burstTime is how much of a rate may be used at once.
	burstTime = 2 * time.Second
	// slack lets a router use more than an even share, since balancers don't
	// spread a customer's requests evenly.
	slack = 2.0
	// roundUp makes sure that whoever waits as told finds room.
	roundUp = time.Millisecond
	// minWait and maxWait bound what a refused caller is told.
	minWait = 100 * time.Millisecond
	maxWait = time.Minute
)

// ExceededError refuses a request over one of the customer's limits.
type ExceededError struct {
	// Limit names the field of the customer's record.
	Limit string
	// RetryAfter is when the limit allows such a request again.
	RetryAfter time.Duration
}

// Error implements error.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("the customer's limit %s is reached", e.Limit)
}

// Limiter counts what each customer uses at this router. Its zero value is
// ready for use by several goroutines.
type Limiter struct {
	shards [shards]shard
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

// bucket is a token bucket. Its zero value is full.
type bucket struct {
	used   float64
	filled time.Time
}

// Acquire counts a request in, or returns an *ExceededError. Share is this
// router's part of the fleet, 1 over the number of routers. End must follow a
// request that was counted in.
func (l *Limiter) Acquire(now time.Time, customer *record.Customer, share float64, tokens ident.Tokens) error {
	s := l.shard(customer.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	u := s.usage(customer.Name)
	part := min(1, slack*share)
	limits := customer.Limits
	if limits.InFlight > 0 && u.inFlight >= atLeastOne(float64(limits.InFlight)*part) {
		return &ExceededError{Limit: "InFlight", RetryAfter: time.Second}
	}
	requestRate := limits.RequestsPerSecond * part
	tokenRate := float64(limits.TokensPerMinute) / time.Minute.Seconds() * part
	if wait := u.requests.wait(now, requestRate, 1); wait > 0 {
		return &ExceededError{Limit: "RequestsPerSecond", RetryAfter: wait}
	}
	if wait := u.tokens.wait(now, tokenRate, float64(tokens)); wait > 0 {
		return &ExceededError{Limit: "TokensPerMinute", RetryAfter: wait}
	}
	u.requests.used++
	u.tokens.used += float64(tokens)
	u.inFlight++
	return nil
}

// Release counts a request out.
func (l *Limiter) Release(customer ident.CustomerName) {
	s := l.shard(customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usage(customer).inFlight--
}

// wait drains the bucket at rate and returns how long n more must wait, zero
// if there is room. A bucket that is empty takes any n, so that no request is
// too large for ever. A rate of zero sets no limit.
func (b *bucket) wait(now time.Time, rate, n float64) time.Duration {
	if rate <= 0 {
		*b = bucket{filled: now}
		return 0
	}
	if !b.filled.IsZero() {
		b.used = max(0, b.used-rate*max(0, now.Sub(b.filled).Seconds()))
	}
	b.filled = now
	room := max(1, rate*burstTime.Seconds())
	if b.used == 0 || b.used+n <= room {
		return 0
	}
	over := min(b.used, b.used+n-room)
	wait := time.Duration(over/rate*float64(time.Second)) + roundUp
	return min(maxWait, max(minWait, wait))
}

func (l *Limiter) shard(customer ident.CustomerName) *shard {
	return &l.shards[xxhash.Sum64String(string(customer))%shards]
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

func atLeastOne(x float64) int { return max(1, int(math.Ceil(x))) }
