package budget_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/request/budget"
	"cactusline.dev/cactusline/internal/version/ident"
)

var epoch = time.Unix(1000, 0)

// countRetries sends requests of a customer at a rate for some seconds, retries as
// often as the budget allows and returns the number of retries.
func countRetries(b *budget.Budget, from time.Time, customer ident.CustomerName, seconds, requestsPerSecond int) int {
	retries := 0
	for i := range seconds * requestsPerSecond {
		now := from.Add(time.Duration(i) * time.Second / time.Duration(requestsPerSecond))
		b.RecordRequest(now, customer)
		for b.Spend(now, customer) {
			retries++
		}
	}
	return retries
}

func TestRetriesAreShareOfRequests(t *testing.T) {
	b := budget.New(budget.Config{RetryRatio: 0.1, PoolRate: 2})
	retries := countRetries(b, epoch, "big", 60, 100)
	pooled := 60 + 10
	assert.Assert(t, retries >= 550 && retries <= 600+pooled, "%d retries of 6000 requests", retries)
}

func TestOneCustomerCannotExhaustBudgetOfOthers(t *testing.T) {
	b := budget.New(budget.Config{})
	countRetries(b, epoch, "greedy", 60, 500)
	now := epoch.Add(time.Minute)
	for b.Spend(now, "greedy") {
	}
	for i := range 10 {
		customer := ident.CustomerName(fmt.Sprint("small", i))
		assert.Assert(t, b.Spend(now, customer), "%s has no retry left", customer)
	}
	for range 30 {
		b.RecordRequest(now, "steady")
	}
	assert.Assert(t, b.Spend(now, "steady"))
	assert.Assert(t, b.Spend(now, "steady"))
}

func TestEarnedRetriesDecay(t *testing.T) {
	b := budget.New(budget.Config{PoolRate: 0.001})
	for range 1000 {
		b.RecordRequest(epoch, "c")
	}
	b.Spend(epoch, "x")
	later := epoch.Add(10 * budget.DefaultWindow)
	spent := 0
	for b.Spend(later, "c") {
		spent++
	}
	assert.Assert(t, spent <= 1, "%d retries left from requests long ago", spent)
}

func TestCustomersAboveMaxShareAccount(t *testing.T) {
	b := budget.New(budget.Config{Shards: 1, MaxCustomers: 8})
	for i := range 100 {
		b.RecordRequest(epoch, ident.CustomerName(fmt.Sprint(i)))
	}
	assert.Assert(t, b.Spend(epoch, "99"), "the shared account has earned retries")
}

func TestDoesNotAllocate(t *testing.T) {
	b := budget.New(budget.Config{})
	b.RecordRequest(epoch, "c")
	allocations := testing.AllocsPerRun(100, func() {
		b.RecordRequest(epoch, "c")
		b.Spend(epoch, "c")
	})
	assert.Equal(t, allocations, 0.0)
}
