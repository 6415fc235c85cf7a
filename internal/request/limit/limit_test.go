package limit_test

import (
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cactusline.dev/cactusline/internal/request/limit"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

func TestInFlightLimitIsSplitAmongRouters(t *testing.T) {
	var limiter limit.Limiter
	customer := &record.Customer{Name: "club", Limits: record.Limits{InFlight: 10}}
	now := time.Unix(1, 0)
	for range 5 {
		assert.NilError(t, limiter.Acquire(now, customer, 0.25, 1))
	}
	var exceeded *limit.ExceededError
	assert.Assert(t, errors.As(limiter.Acquire(now, customer, 0.25, 1), &exceeded))
	assert.Equal(t, exceeded.Limit, "InFlight")
	limiter.Release(customer.Name)
	assert.NilError(t, limiter.Acquire(now, customer, 0.25, 1))
}

// No period may see more requests than its rate plus one burst, and a caller that
// waits for RetryAfter must be admitted.
func TestRandomisedRateStaysWithinLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var limiter limit.Limiter
		rate := rapid.Float64Range(0.5, 50).Draw(t, "rate")
		customer := &record.Customer{Name: "club", Limits: record.Limits{RequestsPerSecond: rate}}
		start := time.Unix(1, 0)
		now := start
		granted := 0.0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "gap")))
			err := limiter.Acquire(now, customer, 1, ident.Tokens(1))
			var exceeded *limit.ExceededError
			if errors.As(err, &exceeded) {
				now = now.Add(exceeded.RetryAfter)
				err = limiter.Acquire(now, customer, 1, ident.Tokens(1))
			}
			assert.NilError(t, err)
			granted++
			limiter.Release(customer.Name)
			assert.Assert(t, granted <= 1+max(1, 2*rate)+rate*now.Sub(start).Seconds())
		}
	})
}
