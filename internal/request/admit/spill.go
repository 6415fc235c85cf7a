package admit

import (
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// minSpillWait is how long work is queued before it may be spilled to a less
	// loaded target.
	minSpillWait = 50 * time.Millisecond
	// spillDivisor limits spilling to 1 + queued/spillDivisor requests per digest.
	spillDivisor = 8
)

// spill refuses queued work that cannot run here because of the load bound while
// other targets are below the mean, so that routers offer it to those. Without
// it the mean could not rise: work would wait at some targets while others are
// idle. Each digest spills only a little, since all targets of the pool act on
// the same digest at once.
func (c *Controller) spill(now time.Time) []QueuedDecision {
	if !c.shouldSpill(now) {
		return nil
	}
	var decisions []QueuedDecision
	for range 1 + c.customers.queuedCount/spillDivisor {
		w, ok := c.removeSpillable(now)
		if !ok {
			break
		}
		decision := c.refuse(w.work, Overloaded)
		decisions = append(decisions, c.queuedDecision(now, w, decision))
	}
	return decisions
}

// shouldSpill reports whether work is queued because of the load bound, while the
// target is above the mean and a less loaded target is known.
func (c *Controller) shouldSpill(now time.Time) bool {
	if c.customers.queuedCount == 0 || c.limiter.digestStale(now) || c.load.Requests < c.lastRequestLimit || c.lastRequestLimit >= c.cfg.MaxRequests {
		return false
	}
	return float64(c.load.Requests) > c.limiter.digest.Mean() && c.lessLoaded() != ""
}

// lessLoaded returns a random one of the other targets that the digest lists as
// least loaded, empty if there is none.
func (c *Controller) lessLoaded() ident.TargetName {
	light := slices.DeleteFunc(slices.Clone(c.limiter.digest.LeastLoaded), func(name ident.TargetName) bool {
		return name == c.cfg.Target
	})
	if len(light) == 0 {
		return ""
	}
	return light[c.cfg.Rand.IntN(len(light))]
}

// removeSpillable removes and returns the last work in the queue of the customer
// with the longest queue, if it may be spilled and has waited for minSpillWait.
func (c *Controller) removeSpillable(now time.Time) (queuedWork, bool) {
	cust := c.customers.longestQueueCustomer()
	if cust == nil || len(cust.queue) == 0 {
		return queuedWork{}, false
	}
	last := len(cust.queue) - 1
	candidate := cust.queue[last]
	if !candidate.work.Final || candidate.work.NoSpill || now.Sub(candidate.since) < minSpillWait {
		return queuedWork{}, false
	}
	w := c.customers.removeAt(cust, last)
	c.customers.dropIfIdle(cust)
	return w, true
}
