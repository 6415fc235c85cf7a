package room

import (
	"math"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// recentPeriod and usualPeriod are the time constants of the rates that customers send
	// at now and usually.
	recentPeriod = 2 * time.Second
	usualPeriod  = 30 * time.Second
	// minObserved is how long a service must have been observed before a rate counts as
	// usual.
	minObserved = 6 * time.Second
	// A customer floods if it sends more than floodFactor times its usual rate, and more
	// than burstFactor times as much above it as all customers together: a burst of all is
	// no flood. A customer of fewer recent requests than minFloodRequests reaches that by
	// chance.
	floodFactor      = 3
	burstFactor      = 2
	minFloodRequests = 6
	// minFloodPart is the least part of all requests of late that a flood is.
	minFloodPart = 0.1
	// floodLearning is the part of the requests of a flood that count as usual, so that a
	// lasting rise ceases to be one after about a minute.
	floodLearning = 0.5
	// floodAllowance is the multiple of its usual rate that a flooding customer keeps.
	floodAllowance = 1.5
	// maxCustomers bounds the customers that are kept.
	maxCustomers = 2048
)

// usage is how much the customers of a service send.
type usage struct {
	since     time.Time
	customers map[ident.CustomerName]*customerUsage
	// all counts the requests of all customers, and also as usual those of floods.
	all customerUsage
	// floodedUntil is the end of the time for which a flood counts after its last request.
	floodedUntil time.Time
}

// customerUsage counts the requests of a customer, with exponential decay.
type customerUsage struct {
	recent, usual float64
	at            time.Time
}

// record records a request of a customer. It reports whether the customer floods, and the
// part of its requests that its usual rate allows.
func (u *usage) record(now time.Time, customer ident.CustomerName) (flooding bool, allowed float64) {
	if u.customers == nil {
		u.since, u.customers = now, make(map[ident.CustomerName]*customerUsage)
	}
	c := u.customers[customer]
	if c == nil {
		u.makeRoom(now)
		c = new(customerUsage)
		u.customers[customer] = c
	}
	elapsed := c.recordRecent(now)
	u.all.usual = u.all.usual*decay(u.all.recordRecent(now), usualPeriod) + 1
	recentRate := c.recent / recentPeriod.Seconds()
	observed := min(now.Sub(u.since), usualPeriod)
	// A rate that is usual for a mean customer is usual for any.
	observedSeconds := max(observed, minObserved).Seconds()
	usualRate := max(c.usual, u.meanUsual()) / observedSeconds
	burst := u.all.recent / recentPeriod.Seconds() / (u.all.usual / observedSeconds)
	flooding = now.Sub(u.since) >= minObserved && c.recent >= max(minFloodRequests, minFloodPart*u.all.recent) &&
		recentRate > max(floodFactor, burstFactor*burst)*usualRate
	c.usual *= decay(elapsed, usualPeriod)
	if flooding {
		c.usual += floodLearning
		u.floodedUntil = now.Add(recentPeriod / 2)
		return true, min(1, floodAllowance*usualRate/recentRate)
	}
	c.usual++
	return false, 1
}

// recordRecent counts a request and returns the time since the last one.
func (c *customerUsage) recordRecent(now time.Time) time.Duration {
	elapsed := time.Duration(0)
	if !c.at.IsZero() {
		// Concurrent requests may come with their times out of order.
		elapsed = max(0, now.Sub(c.at))
	}
	c.at = now
	c.recent = c.recent*decay(elapsed, recentPeriod) + 1
	return elapsed
}

// isFlooded reports whether a customer of the service floods it.
func (u *usage) isFlooded(now time.Time) bool { return now.Before(u.floodedUntil) }

// meanUsual returns the usual requests of a customer, over all.
func (u *usage) meanUsual() float64 { return u.all.usual / float64(len(u.customers)) }

// makeRoom drops the customers that have sent nothing for long, if too many are kept.
func (u *usage) makeRoom(now time.Time) {
	if len(u.customers) < maxCustomers {
		return
	}
	for name, c := range u.customers {
		if now.Sub(c.at) > usualPeriod {
			delete(u.customers, name)
		}
	}
	if len(u.customers) >= maxCustomers {
		clear(u.customers)
		u.since, u.all = now, customerUsage{}
	}
}

func decay(elapsed, period time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / period.Seconds())
}
