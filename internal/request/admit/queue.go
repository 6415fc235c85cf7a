package admit

import (
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// waiting is one queued attempt.
type waiting struct {
	work  Work
	since time.Time
}

// account is the standing of one customer at the target.
type account struct {
	name    ident.CustomerName
	weight  float64
	running int
	// passed is the customer's virtual time: tokens admitted over weight.
	passed float64
	queue  []waiting
}

// accounts holds the customers that have work running or queued. These are
// few, so that a list serves.
type accounts struct {
	// active is in the order in which the customers came.
	active []*account
	// base is the virtual time at which a returning customer starts.
	base   float64
	queued int
}

// get returns the customer's account and makes it if there is none.
func (a *accounts) get(name ident.CustomerName, weight uint32) *account {
	if acc := a.find(name); acc != nil {
		return acc
	}
	acc := &account{name: name, weight: float64(max(weight, 1)), passed: a.base}
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

// drop forgets the account once it has neither running nor queued work.
func (a *accounts) drop(acc *account) {
	if acc.running == 0 && len(acc.queue) == 0 {
		a.active = slices.DeleteFunc(a.active, func(x *account) bool { return x == acc })
	}
}

// share returns the requests out of total that the customer's weight gives
// it among the customers that are active now.
func (a *accounts) share(acc *account, total int) float64 {
	sum := 0.0
	for _, other := range a.active {
		sum += other.weight
	}
	return float64(total) * acc.weight / sum
}

// locate returns the account and place of a queued attempt, nil if it is not
// queued.
func (a *accounts) locate(id ident.AttemptID) (*account, int) {
	for _, acc := range a.active {
		for i := range acc.queue {
			if acc.queue[i].work.Attempt == id {
				return acc, i
			}
		}
	}
	return nil, 0
}

// charge moves the customer's virtual time on by admitted tokens.
func (a *accounts) charge(acc *account, tokens ident.Tokens) {
	acc.running++
	acc.passed = max(acc.passed, a.base)
	a.base = max(a.base, a.least())
	acc.passed += float64(max(tokens, 1)) / acc.weight
}

// least returns the lowest virtual time of the customers that queue.
func (a *accounts) least() float64 {
	least, found := 0.0, false
	for _, acc := range a.active {
		if len(acc.queue) > 0 && (!found || acc.passed < least) {
			least, found = acc.passed, true
		}
	}
	return least
}

// push queues work behind the customer's work of no lower priority.
func (a *accounts) push(acc *account, w waiting) {
	at := len(acc.queue)
	for at > 0 && acc.queue[at-1].work.Priority < w.work.Priority {
		at--
	}
	acc.queue = slices.Insert(acc.queue, at, w)
	a.queued++
}

// pop takes the customer's queued work at place i.
func (a *accounts) pop(acc *account, i int) waiting {
	w := acc.queue[i]
	acc.queue = slices.Delete(acc.queue, i, i+1)
	a.queued--
	return w
}

// next returns the customer that is to be served first among those that may
// run, nil if none queues.
func (a *accounts) next(may func(*account) bool) *account {
	var best *account
	for _, acc := range a.active {
		if len(acc.queue) == 0 || !may(acc) {
			continue
		}
		if best == nil || acc.passed < best.passed {
			best = acc
		}
	}
	return best
}

// longest returns the customer that queues most for its weight.
func (a *accounts) longest() *account {
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
