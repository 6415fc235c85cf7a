package admit

import (
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// queuedWork is an attempt in the queue.
type queuedWork struct {
	work  Work
	since time.Time
}

// customer holds the running and queued work of one customer at the target.
type customer struct {
	name    ident.CustomerName
	weight  float64
	running int
	// virtualTime is the tokens admitted so far divided by the weight, as in
	// weighted fair queueing: the customer with the lowest is served next.
	virtualTime float64
	queue       []queuedWork
}

// fairQueue is a weighted fair queue of the customers that have running or queued
// work. A list is enough, since there are few.
type fairQueue struct {
	// active is in the order in which the customers became active.
	active []*customer
	// virtualStart is the virtual time at which a newly active customer starts, so
	// that it gets no credit for having been idle.
	virtualStart float64
	queuedCount  int
}

// getOrAdd returns the customer with the given name, adding it if it is not active.
func (q *fairQueue) getOrAdd(name ident.CustomerName, weight uint32) *customer {
	if cust := q.find(name); cust != nil {
		return cust
	}
	cust := &customer{name: name, weight: float64(max(weight, 1)), virtualTime: q.virtualStart}
	q.active = append(q.active, cust)
	return cust
}

// find returns the customer with the given name, nil if it is not active.
func (q *fairQueue) find(name ident.CustomerName) *customer {
	for _, cust := range q.active {
		if cust.name == name {
			return cust
		}
	}
	return nil
}

// dropIfIdle removes the customer if it has neither running nor queued work.
func (q *fairQueue) dropIfIdle(cust *customer) {
	if cust.running == 0 && len(cust.queue) == 0 {
		q.active = slices.DeleteFunc(q.active, func(x *customer) bool { return x == cust })
	}
}

// fairShare returns the customer's share of total requests, by weight among the
// customers that are active now.
func (q *fairQueue) fairShare(cust *customer, total int) float64 {
	sum := 0.0
	for _, other := range q.active {
		sum += other.weight
	}
	return float64(total) * cust.weight / sum
}

// findQueued returns the customer of a queued attempt and the attempt's index in
// the customer's queue, nil if the attempt is not queued.
func (q *fairQueue) findQueued(id ident.AttemptID) (*customer, int) {
	for _, cust := range q.active {
		for i := range cust.queue {
			if cust.queue[i].work.Attempt == id {
				return cust, i
			}
		}
	}
	return nil, 0
}

// charge counts a request as running and advances the customer's virtual time by
// its tokens. virtualStart follows the lowest virtual time of the customers that
// wait; it never decreases.
func (q *fairQueue) charge(cust *customer, tokens ident.Tokens) {
	cust.running++
	cust.virtualTime = max(cust.virtualTime, q.virtualStart)
	q.virtualStart = max(q.virtualStart, q.minQueuedVirtualTime())
	cust.virtualTime += float64(max(tokens, 1)) / cust.weight
}

// minVirtualTime returns the lowest virtual time of the customers with queued
// work, 0 if there are none.
func (q *fairQueue) minQueuedVirtualTime() float64 {
	least, found := 0.0, false
	for _, cust := range q.active {
		if len(cust.queue) > 0 && (!found || cust.virtualTime < least) {
			least, found = cust.virtualTime, true
		}
	}
	return least
}

// push queues work behind the customer's queued work of the same or a higher
// priority.
func (q *fairQueue) push(cust *customer, w queuedWork) {
	at := len(cust.queue)
	for at > 0 && cust.queue[at-1].work.Priority < w.work.Priority {
		at--
	}
	cust.queue = slices.Insert(cust.queue, at, w)
	q.queuedCount++
}

// removeAt removes the customer's queued work at index i and returns it.
func (q *fairQueue) removeAt(cust *customer, i int) queuedWork {
	w := cust.queue[i]
	cust.queue = slices.Delete(cust.queue, i, i+1)
	q.queuedCount--
	return w
}

// nextCustomer returns the eligible customer with queued work and the lowest
// virtual time, nil if there is none.
func (q *fairQueue) nextCustomer(eligible func(*customer) bool) *customer {
	var best *customer
	for _, cust := range q.active {
		if len(cust.queue) == 0 || !eligible(cust) {
			continue
		}
		if best == nil || cust.virtualTime < best.virtualTime {
			best = cust
		}
	}
	return best
}

// longestQueue returns the customer with the longest queue relative to its
// weight, nil if no work is queued.
func (q *fairQueue) longestQueueCustomer() *customer {
	var best *customer
	most := 0.0
	for _, cust := range q.active {
		length := float64(len(cust.queue)) / cust.weight
		if length > most {
			best, most = cust, length
		}
	}
	return best
}
