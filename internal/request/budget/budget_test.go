package budget_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/request/budget"
	"cactusline.dev/cactusline/internal/version/ident"
)

var epoch = time.Unix(1000, 0)

// countRetries sends requests of a customer at a rate for some seconds, retries as
// often as the budget allows and returns the number of retries.
func countRetries(b *budget.Service, from time.Time, customer ident.CustomerName, seconds, requestsPerSecond int) int {
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
	b := budget.New(budget.Config{RetryRatio: 0.1, PoolRate: 2}).Service("s")
	retries := countRetries(b, epoch, "big", 60, 100)
	pooled := 60 + 10
	assert.Assert(t, retries >= 550 && retries <= 600+pooled, "%d retries of 6000 requests", retries)
}

func TestOneCustomerCannotExhaustBudgetOfOthers(t *testing.T) {
	b := budget.New(budget.Config{}).Service("s")
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
	b := budget.New(budget.Config{PoolRate: 0.001}).Service("s")
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
	b := budget.New(budget.Config{MaxCustomers: 8}).Service("s")
	for i := range 100 {
		b.RecordRequest(epoch, ident.CustomerName(fmt.Sprint(i)))
	}
	assert.Assert(t, b.Spend(epoch, "99"), "the shared account has earned retries")
}

func TestDoesNotAllocate(t *testing.T) {
	b := budget.New(budget.Config{}).Service("s")
	b.RecordRequest(epoch, "c")
	allocations := testing.AllocsPerRun(100, func() {
		b.RecordRequest(epoch, "c")
		b.Spend(epoch, "c")
	})
	assert.Equal(t, allocations, 0.0)
}

func TestServicesDoNotShareEarnedRetries(t *testing.T) {
	b := budget.New(budget.Config{PoolRate: 0.001, MaxServices: 2, Random: func() float64 { return 0.99 }})
	for range 1000 {
		b.Service("a").RecordRequest(epoch, "c")
	}
	assert.Assert(t, !b.Service("b").Spend(epoch, "c"))
	assert.Assert(t, b.Service("a").Spend(epoch, "c"))
	for range 100 {
		b.Service("x").RecordRequest(epoch, "c")
	}
	assert.Assert(t, b.Service("y").Spend(epoch, "c"), "services above the maximum share an account")
}

func TestOneCustomerCannotUseAllThatOthersEarned(t *testing.T) {
	b := budget.New(budget.Config{PoolRate: 0.001}).Service("s")
	for range 900 {
		b.RecordRequest(epoch, "busy")
	}
	for range 100 {
		b.RecordRequest(epoch, "greedy")
	}
	spent := 0
	for b.Spend(epoch, "greedy") {
		spent++
	}
	assert.Assert(t, spent >= 45 && spent <= 55, "%d of 100 retries went to one customer", spent)
}

// A fleet of many processes, each with a small part of the traffic, may retry as much as
// was earned over all of them, and no more, while one customer floods one service and all
// requests to the other one fail.
func TestFleetOfManyProcessesRetriesWhatItEarned(t *testing.T) {
	const (
		gates, seconds     = 105, 30
		busyRate, failRate = 900, 300 // requests per second of the whole fleet
		ratio, slack       = 0.2, 250.0
	)
	rng := rand.New(rand.NewPCG(1, 2))
	fleet := make([]*budget.Budget, gates)
	for i := range fleet {
		fleet[i] = budget.New(budget.Config{
			RetryRatio: ratio * 0.65, Window: 5 * time.Second, PoolRate: slack / 10 / 2 / gates, Random: rng.Float64,
		})
	}
	customer := func() ident.CustomerName {
		if rng.Float64() < 0.5 {
			return "flood"
		}
		return ident.CustomerName(fmt.Sprint(rng.IntN(40)))
	}
	perSecond := make([]int, seconds)
	for second := range seconds {
		for i := range busyRate + failRate {
			now := epoch.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/(busyRate+failRate))
			b, name := fleet[rng.IntN(gates)], customer()
			if i%(busyRate+failRate) < busyRate {
				b.Service("busy").RecordRequest(now, name)
				continue
			}
			b.Service("failing").RecordRequest(now, name)
			for try := 0; second >= 10 && try < 3 && b.Service("failing").Spend(now, name); try++ {
				perSecond[second]++
			}
		}
	}
	total := 0
	for from := 10; from+10 <= seconds; from++ {
		retries := 0
		for _, count := range perSecond[from : from+10] {
			retries += count
		}
		assert.Assert(t, float64(retries) <= ratio*failRate*10+slack, "%d retries in 10 s from second %d", retries, from)
	}
	for _, count := range perSecond {
		total += count
	}
	earned := ratio * 0.65 * failRate * 20
	assert.Assert(t, float64(total) >= 0.9*earned, "%d retries, %.0f were earned", total, earned)
}
