package admit

import (
	"slices"
	"time"
)

// mayQueue reports whether the queue is enabled and the work's deadline has not
// passed. How long the work may wait is up to maxQueueTime.
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
func (c *Controller) enqueue(now time.Time, cust *customer, w Work) (Decision, []QueuedDecision) {
	c.customers.push(cust, queuedWork{work: w, since: now})
	if c.customers.queuedCount <= c.cfg.MaxQueue {
		return Decision{Kind: Queued, Load: c.currentLoad()}, nil
	}
	longest := c.customers.longestQueueCustomer()
	evicted := c.customers.removeAt(longest, len(longest.queue)-1)
	decision := c.refuse(evicted.work, Overloaded)
	c.customers.dropIfIdle(longest)
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
// target has room for. It need not check coldAllowed, since cold work is only
// queued if it is final.
func (c *Controller) processQueue(now time.Time) []QueuedDecision {
	if c.customers.queuedCount == 0 {
		return nil
	}
	decisions := c.refuseQueued(now)
	for {
		cust := c.customers.nextCustomer(func(a *customer) bool { return c.hasRoom(now, a, a.queue[0].work) })
		if cust == nil {
			return decisions
		}
		w := c.customers.removeAt(cust, 0)
		decisions = append(decisions, c.queuedDecision(now, w, c.admit(now, cust, w.work)))
	}
}

// refuseQueued refuses queued work that may not wait longer; that is all of it
// if the target is leaving or down.
func (c *Controller) refuseQueued(now time.Time) []QueuedDecision {
	var decisions []QueuedDecision
	for _, cust := range slices.Clone(c.customers.active) {
		for i := 0; i < len(cust.queue); {
			reason := c.queuedRefusalReason(now, cust.queue[i])
			if reason == 0 {
				i++
				continue
			}
			w := c.customers.removeAt(cust, i)
			decision := c.refuse(w.work, reason)
			// Name no target that would queue the work again: it has waited as
			// long as it may. If this target is leaving or down, the router
			// itself chooses another one.
			decision.LessLoaded = ""
			decisions = append(decisions, c.queuedDecision(now, w, decision))
		}
		c.customers.dropIfIdle(cust)
	}
	return decisions
}

// queuedRefusalReason returns why queued work is to be refused now, 0 if it may keep
// waiting.
func (c *Controller) queuedRefusalReason(now time.Time, w queuedWork) Reason {
	if reason := c.refusalReason(now, w.work); reason != 0 {
		return reason
	}
	if now.Sub(w.since) >= c.maxQueueTime(w.work) {
		return Overloaded
	}
	return 0
}
