package admit

import (
	"slices"
	"time"
)

// worthQueueing reports whether there is room in the queue and time to wait.
func (c *Controller) worthQueueing(now time.Time, w Work) bool {
	if c.cfg.MaxQueue < 0 {
		return false
	}
	return w.Deadline.IsZero() || w.Deadline.After(now)
}

// patience returns how long the work may be queued. Work that has other
// targets left waits only as long as the warm prefix is worth.
func (c *Controller) patience(w Work) time.Duration {
	if w.Final {
		return c.cfg.MaxQueueTime
	}
	saved := float64(w.WarmTokens) / float64(c.cfg.PrefillRate) * float64(time.Second)
	return min(c.cfg.MaxQueueTime, time.Duration(c.cfg.WarmWaitFactor*saved))
}

// enqueue queues the work. If the queue is full, the newest work of the
// customer that queues most for its weight has to go.
func (c *Controller) enqueue(now time.Time, acc *account, w Work) (Decision, []QueuedDecision) {
	c.accounts.push(acc, waiting{work: w, since: now})
	if c.accounts.queued <= c.cfg.MaxQueue {
		return Decision{Kind: Queued, Load: c.snapshot()}, nil
	}
	most := c.accounts.longest()
	evicted := c.accounts.pop(most, len(most.queue)-1)
	decision := c.refuse(evicted.work, Overloaded)
	c.accounts.drop(most)
	if evicted.work.Attempt == w.Attempt {
		return decision, nil
	}
	return Decision{Kind: Queued, Load: c.snapshot()}, []QueuedDecision{c.verdict(now, evicted, decision)}
}

func (c *Controller) verdict(now time.Time, w waiting, d Decision) QueuedDecision {
	return QueuedDecision{Work: w.work, Decision: d, Waited: now.Sub(w.since)}
}

// settle refuses queued work that may not wait longer and admits what fits.
func (c *Controller) settle(now time.Time) []QueuedDecision {
	if c.accounts.queued == 0 {
		return nil
	}
	verdicts := c.expire(now)
	for {
		acc := c.accounts.next(func(a *account) bool { return c.fits(now, a, a.queue[0].work) })
		if acc == nil {
			return verdicts
		}
		w := c.accounts.pop(acc, 0)
		verdicts = append(verdicts, c.verdict(now, w, c.admit(now, acc, w.work)))
	}
}

// expire refuses queued work whose time is up, or all of it if the target
// takes no work.
func (c *Controller) expire(now time.Time) []QueuedDecision {
	var verdicts []QueuedDecision
	for _, acc := range slices.Clone(c.accounts.active) {
		for i := 0; i < len(acc.queue); {
			reason := c.overdue(now, acc.queue[i])
			if reason == 0 {
				i++
				continue
			}
			w := c.accounts.pop(acc, i)
			decision := c.refuse(w.work, reason)
			// It has waited for as long as it may, and is not to wait elsewhere.
			decision.LessLoaded = ""
			verdicts = append(verdicts, c.verdict(now, w, decision))
		}
		c.accounts.drop(acc)
	}
	return verdicts
}

// overdue returns why queued work is to be refused, 0 if it may wait on.
func (c *Controller) overdue(now time.Time, w waiting) Reason {
	if reason := c.unfit(now, w.work); reason != 0 {
		return reason
	}
	if now.Sub(w.since) >= c.patience(w.work) {
		return Overloaded
	}
	return 0
}
