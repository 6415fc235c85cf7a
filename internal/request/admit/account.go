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

// account is the running and queued work of one customer at the target.
type account struct {
	name    ident.CustomerName
	weight  float64
	running int
	// virtualTime is the tokens admitted so far divided by the weight, as in
	// weighted fair queueing: the customer with the lowest is served next.
	virtualTime float64
	queue       []queuedWork
}

// accounts holds the customers that have running or queued work. A list is
// enough, since there are few.
type accounts struct {
	// active is in the order in which the customers became active.
	active []*account
	// virtualStart is the virtual time at which a newly active customer starts, so
	// that it gets no credit for having been idle.
	virtualStart float64
	queued       int
}

// getOrAdd returns the customer's account, adding one if there is none.
func (a *accounts) getOrAdd(name ident.CustomerName, weight uint32) *account {
	if acc := a.find(name); acc != nil {
		return acc
	}
	acc := &account{name: name, weight: float64(max(weight, 1)), virtualTime: a.virtualStart}
	a.active = append(a.active, acc)
	return acc
}

// find returns the customer's account, nil if it has none.
func (a *accounts) find(name ident.CustomerName) *account {
	for _, acc := range a.active {
		if acc.name == name {
			return acc
		}
	}
	return nil
}

// dropIfIdle removes the account if it has neither running nor queued work.
func (a *accounts) dropIfIdle(acc *account) {
	if acc.running == 0 && len(acc.queue) == 0 {
		a.active = slices.DeleteFunc(a.active, func(x *account) bool { return x == acc })
	}
}

// fairShare returns the customer's share of total requests, by weight among the
// customers that are active now.
func (a *accounts) fairShare(acc *account, total int) float64 {
	sum := 0.0
	for _, other := range a.active {
		sum += other.weight
	}
	return float64(total) * acc.weight / sum
}

// findQueued returns the account of a queued attempt and its index in the
// account's queue, nil if the attempt is not queued.
func (a *accounts) findQueued(id ident.AttemptID) (*account, int) {
	for _, acc := range a.active {
		for i := range acc.queue {
			if acc.queue[i].work.Attempt == id {
				return acc, i
			}
		}
	}
	return nil, 0
}

// charge counts a request as running and advances the customer's virtual time by
// its tokens.
func (a *accounts) charge(acc *account, tokens ident.Tokens) {
	acc.running++
	acc.virtualTime = max(acc.virtualTime, a.virtualStart)
	a.virtualStart = max(a.virtualStart, a.minVirtualTime())
	acc.virtualTime += float64(max(tokens, 1)) / acc.weight
}

// minVirtualTime returns the lowest virtual time of the customers with queued
// work, 0 if there are none.
func (a *accounts) minVirtualTime() float64 {
	least, found := 0.0, false
	for _, acc := range a.active {
		if len(acc.queue) > 0 && (!found || acc.virtualTime < least) {
			least, found = acc.virtualTime, true
		}
	}
	return least
}

// push queues work behind the customer's queued work of the same or a higher
// priority.
func (a *accounts) push(acc *account, w queuedWork) {
	at := len(acc.queue)
	for at > 0 && acc.queue[at-1].work.Priority < w.work.Priority {
		at--
	}
	acc.queue = slices.Insert(acc.queue, at, w)
	a.queued++
}

// removeAt removes the customer's queued work at index i and returns it.
func (a *accounts) removeAt(acc *account, i int) queuedWork {
	w := acc.queue[i]
	acc.queue = slices.Delete(acc.queue, i, i+1)
	a.queued--
	return w
}

// nextCustomer returns the eligible customer with queued work and the lowest
// virtual time, nil if there is none.
func (a *accounts) nextCustomer(eligible func(*account) bool) *account {
	var best *account
	for _, acc := range a.active {
		if len(acc.queue) == 0 || !eligible(acc) {
			continue
		}
		if best == nil || acc.virtualTime < best.virtualTime {
			best = acc
		}
	}
	return best
}

// longestQueue returns the customer with the longest queue relative to its
// weight, nil if no work is queued.
func (a *accounts) longestQueue() *account {
	var best *account
	most := 0.0
	for _, acc := range a.active {
		length := float64(len(acc.queue)) / acc.weight
		if length > most {
			best, most = acc, length
		}
	}
	return best
}
