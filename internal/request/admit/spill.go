package admit

import (
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// spillAfter is how long work is queued before it may be sent on to a
	// lighter target.
	spillAfter = 50 * time.Millisecond
	// spillShare is the part of the queue that one digest may send on.
	spillShare = 8
)

// spill refuses queued work that the bound holds back here while the pool's
// mean shows that others carry less, so that routers take it there. Without
// it the mean can't rise: work waits at some targets, and the others idle. A
// digest sends on little, since all queues of the pool act on it at once.
func (c *Controller) spill(now time.Time) []QueuedDecision {
	if !c.heldBack(now) {
		return nil
	}
	var verdicts []QueuedDecision
	for range 1 + c.accounts.queued/spillShare {
		w, ok := c.takeNewest(now)
		if !ok {
			break
		}
		decision := c.refuse(w.work, Overloaded)
		verdicts = append(verdicts, c.verdict(now, w, decision))
	}
	return verdicts
}

// heldBack reports whether it is the bound that keeps work queued, with the
// target above the mean and a lighter one known.
func (c *Controller) heldBack(now time.Time) bool {
	if c.accounts.queued == 0 || c.bound.blind(now) || c.load.Requests < c.limit || c.limit >= c.cfg.MaxRequests {
		return false
	}
	return float64(c.load.Requests) > c.bound.news.Mean() && c.lighter() != ""
}

// lighter returns one of the targets that carried least of late, other than
// this one; empty if none is known.
func (c *Controller) lighter() ident.TargetName {
	light := slices.DeleteFunc(slices.Clone(c.bound.news.Light), func(name ident.TargetName) bool {
		return name == c.cfg.Target
	})
	if len(light) == 0 {
		return ""
	}
	return light[c.cfg.Rand.IntN(len(light))]
}

// takeNewest takes the newest work from the longest queue, if it has waited
// for long enough.
func (c *Controller) takeNewest(now time.Time) (waiting, bool) {
	acc := c.accounts.longest()
	if acc == nil || len(acc.queue) == 0 {
		return waiting{}, false
	}
	last := len(acc.queue) - 1
	newest := acc.queue[last]
	if !newest.work.Final || newest.work.NoSpill || now.Sub(newest.since) < spillAfter {
		return waiting{}, false
	}
	w := c.accounts.pop(acc, last)
	c.accounts.drop(acc)
	return w, true
}
