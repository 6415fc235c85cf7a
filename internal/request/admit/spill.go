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
	// spillDivisor limits the work spilled per digest to one more than the queue
	// length divided by it.
	spillDivisor = 8
)

// spill refuses queued work that cannot run here because of the load bound while
// other targets are below the mean, so that routers offer it to those. Without
// it the mean could not rise: work would wait at some targets while others are
// idle. Each digest spills only a little, since all targets of the pool act on
// the same digest at once.
func (c *Controller) spill(now time.Time) []QueuedDecision {
	if !c.limitedByMean(now) {
		return nil
	}
	var decisions []QueuedDecision
	for range 1 + c.accounts.queued/spillDivisor {
		w, ok := c.popNewest(now)
		if !ok {
			break
		}
		decision := c.refuse(w.work, Overloaded)
		decisions = append(decisions, c.queuedDecision(now, w, decision))
	}
	return decisions
}

// limitedByMean reports whether work is queued because of the load bound, while
// the target is above the mean and a less loaded target is known.
func (c *Controller) limitedByMean(now time.Time) bool {
	if c.accounts.queued == 0 || c.limiter.digestStale(now) || c.load.Requests < c.requestLimit || c.requestLimit >= c.cfg.MaxRequests {
		return false
	}
	return float64(c.load.Requests) > c.limiter.digest.Mean() && c.lessLoaded() != ""
}

// lessLoaded returns a random one of the other targets that the digest lists as
// least loaded, empty if there is none.
func (c *Controller) lessLoaded() ident.TargetName {
	light := slices.DeleteFunc(slices.Clone(c.limiter.digest.Light), func(name ident.TargetName) bool {
		return name == c.cfg.Target
	})
	if len(light) == 0 {
		return ""
	}
	return light[c.cfg.Rand.IntN(len(light))]
}

// popNewest removes and returns the last work of the longest queue if it may be
// spilled and has waited for minSpillWait.
func (c *Controller) popNewest(now time.Time) (queuedWork, bool) {
	acc := c.accounts.longestQueue()
	if acc == nil || len(acc.queue) == 0 {
		return queuedWork{}, false
	}
	last := len(acc.queue) - 1
	newest := acc.queue[last]
	if !newest.work.Final || newest.work.NoSpill || now.Sub(newest.since) < minSpillWait {
		return queuedWork{}, false
	}
	w := c.accounts.removeAt(acc, last)
	c.accounts.dropIfIdle(acc)
	return w, true
}
