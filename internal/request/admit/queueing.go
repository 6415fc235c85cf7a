package admit

import (
	"slices"
	"time"
)

// mayQueue reports whether the queue is enabled and the work's deadline has not
// passed.
func (c *Controller) mayQueue(now time.Time, w Work) bool {
	if c.cfg.MaxQueue < 0 {
		return false
	}
	return w.Deadline.IsZero() || w.Deadline.After(now)
}

// maxQueueTime returns how long the work may be queued. Work that is not final
// has other targets to try, so it waits only in proportion to the time that its
// warm prefix saves here; cold work does not wait at all.
func (c *Controller) maxQueueTime(w Work) time.Duration {
	if w.Final {
		return c.cfg.MaxQueueTime
	}
	saved := float64(w.WarmTokens) / float64(c.cfg.PrefillRate) * float64(time.Second)
	return min(c.cfg.MaxQueueTime, time.Duration(c.cfg.WarmWaitFactor*saved))
}

// enqueue queues the work. If the queue is full, it evicts the last work of the
// customer with the longest queue relative to its weight, which may be the work
// itself.
func (c *Controller) enqueue(now time.Time, acc *account, w Work) (Decision, []QueuedDecision) {
	c.accounts.push(acc, queuedWork{work: w, since: now})
	if c.accounts.queued <= c.cfg.MaxQueue {
		return Decision{Kind: Queued, Load: c.currentLoad()}, nil
	}
	longest := c.accounts.longestQueue()
	evicted := c.accounts.removeAt(longest, len(longest.queue)-1)
	decision := c.refuse(evicted.work, Overloaded)
	c.accounts.dropIfIdle(longest)
	if evicted.work.Attempt == w.Attempt {
		return decision, nil
	}
	return Decision{Kind: Queued, Load: c.currentLoad()}, []QueuedDecision{c.queuedDecision(now, evicted, decision)}
}

// queuedDecision returns a decision on queued work with the time that it waited.
func (c *Controller) queuedDecision(now time.Time, w queuedWork, d Decision) QueuedDecision {
	return QueuedDecision{Work: w.work, Decision: d, Waited: now.Sub(w.since)}
}

// processQueue refuses queued work that may not wait longer and admits what the
// target has room for.
func (c *Controller) processQueue(now time.Time) []QueuedDecision {
	if c.accounts.queued == 0 {
		return nil
	}
	decisions := c.refuseExpired(now)
	for {
		acc := c.accounts.nextCustomer(func(a *account) bool { return c.hasRoom(now, a, a.queue[0].work) })
		if acc == nil {
			return decisions
		}
		w := c.accounts.removeAt(acc, 0)
		decisions = append(decisions, c.queuedDecision(now, w, c.admit(now, acc, w.work)))
	}
}

// refuseExpired refuses queued work that may not wait longer; that is all of it
// if the target is leaving or down.
func (c *Controller) refuseExpired(now time.Time) []QueuedDecision {
	var decisions []QueuedDecision
	for _, acc := range slices.Clone(c.accounts.active) {
		for i := 0; i < len(acc.queue); {
			reason := c.expiredReason(now, acc.queue[i])
			if reason == 0 {
				i++
				continue
			}
			w := c.accounts.removeAt(acc, i)
			decision := c.refuse(w.work, reason)
			// The work has waited as long as it may and must not wait again at
			// another target.
			decision.LessLoaded = ""
			decisions = append(decisions, c.queuedDecision(now, w, decision))
		}
		c.accounts.dropIfIdle(acc)
	}
	return decisions
}

// expiredReason returns why queued work is to be refused now, 0 if it may keep
// waiting.
func (c *Controller) expiredReason(now time.Time, w queuedWork) Reason {
	if reason := c.refusalReason(now, w.work); reason != 0 {
		return reason
	}
	if now.Sub(w.since) >= c.maxQueueTime(w.work) {
		return Overloaded
	}
	return 0
}
