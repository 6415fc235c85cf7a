// Package room decides whether there is room for a request at the targets of its service,
// before the request is sent. While there is too little, it rejects what costs callers
// least.
//
// A target queues more requests than it can answer in time. Without admission, a service
// that gets more than it can do answers all of them late, and turns the rest away when its
// queues are full.
//
// Each process decides by itself on the few requests that it gets. What it knows of the
// targets is a tenth of a second old or more, so it doesn't admit and reject by a bound on
// the queue: all processes would do both by turns. It controls the part of the requests
// that is rejected, such that the wait at the targets stays at a part of the time that
// requests can wait.
package room

import (
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// targetShare is the wait that the controller aims at, as a part of the time that
	// requests can wait. The rest is for the fluctuations of the queues. It aims at
	// floodedShare while a customer floods: the room that is left unused then is that of the
	// flood, and no others wait for it.
	targetShare  = 0.3
	floodedShare = 0.05
	// The level changes by integralGain a second for each unit by which the share is above
	// the target, and by proportionalGain for each unit by which it changes.
	integralGain     = 0.25
	proportionalGain = 1.0
	// maxStep is the longest time between two requests of a service that the level changes
	// by. After maxPause it begins anew.
	maxStep  = time.Second
	maxPause = 5 * time.Second
	// fullShare is the share from which no request can be answered in time. The least urgent
	// ones are then rejected whatever the level is.
	fullShare = 1.0
	// minWaitable is the least time that a request can wait, as a part of its work. It
	// keeps room for requests whose objective is shorter than their work.
	minWaitable = 0.5
	// lateWidth and floodWidth are the ranges of the level in which the classes of late
	// requests and of floods are rejected in rising part; that of each priority is 1.
	lateWidth  = 0.3
	floodWidth = 0.5
	// floorShare is the least part of the admitted share that each priority gets, as a part
	// of what all get.
	floorShare = 0.5
	// maxRejected is the most that is rejected of a class other than late requests. What is
	// admitted shows whether the forecast is true.
	maxRejected = 0.95
	// admittedWeight is the weight of one decision in the admitted share.
	admittedWeight = 0.05
	// priorityPeriod is how long a priority counts after its last request.
	priorityPeriod = 2 * time.Second
	// maxPriority bounds the priorities that are told apart.
	maxPriority = 9
	// A rejected caller is told to come back after minRetryAfter at least, and before it
	// has used 1/retryAfterShare of the time that it has left.
	minRetryAfter   = 150 * time.Millisecond
	retryAfterShare = 3
	// Nor is it told to wait much longer than those ahead of it: retryAfterWaits times as
	// long and maxRetrySpread.
	retryAfterWaits = 4
	maxRetrySpread  = time.Second
)

// Class says what a request costs its caller if it is rejected, the least first.
type Class string

// The classes, as they are logged.
const (
	// ClassLate are requests that can no longer be answered in time.
	ClassLate Class = "Late"
	// ClassFlood are requests of a customer that sends many times its usual.
	ClassFlood Class = "Flood"
	// ClassPriority are all others. Less urgent ones are rejected first.
	ClassPriority Class = "Priority"
)

// Request describes a request that needs room.
type Request struct {
	Service  ident.ServiceName
	Customer ident.CustomerName
	// Route identifies the requests that have the same objective.
	Route    string
	Priority int
	// Objective is the time within which an answer counts as on time, from the first
	// attempt of the caller.
	Objective time.Duration
	// Timeout is the time that the caller has left.
	Timeout time.Duration
}

// Forecast is what is predicted for a request at the best target.
type Forecast struct {
	// Wait is the time until the request begins, and Work the time that it then takes.
	Wait time.Duration
	Work time.Duration
}

// Decision says whether a request is admitted, and by what.
type Decision struct {
	Admitted bool
	Class    Class
	// Share is the predicted wait as a part of the time that requests can wait.
	Share float64
	// Level is the level of overload, from 0.
	Level float64
	// Rejected is the part of the requests of this kind that are rejected.
	Rejected float64
	// RetryAfter is when the caller of a rejected request should come back.
	RetryAfter time.Duration
}

// Controller decides on the requests of one process. The zero value is ready for use. It
// is safe for concurrent use.
type Controller struct {
	mu       sync.Mutex
	services map[ident.ServiceName]*service
}

// service is what a controller knows of the requests for one service.
type service struct {
	level      level
	priorities [maxPriority + 1]time.Time
	timeouts   map[callerKey]*longestTimeout
	usage      usage
	// admitted is the part of the requests that were admitted of late.
	admitted float64
}

// level is the level of overload of a service, a controller of the wait.
type level struct {
	value, share float64
	at           time.Time
}

// update changes the level by the share of a request and the share that is aimed at, up to
// a bound.
func (l *level) update(now time.Time, share, target, bound float64) float64 {
	// Concurrent requests may come with their times out of order.
	elapsed := max(0, now.Sub(l.at))
	step := min(elapsed, maxStep)
	switch {
	case elapsed > maxPause:
		step, l.value, l.share = 0, 0, share
	case elapsed > maxStep:
		l.share = share
	}
	l.value += integralGain*step.Seconds()*(share-target) + proportionalGain*(share-l.share)
	l.value = min(max(l.value, 0), bound)
	l.at, l.share = l.at.Add(elapsed), share
	return l.value
}

// Decide decides on a request. The draws are random numbers in [0, 1).
func (c *Controller) Decide(now time.Time, req Request, forecast Forecast, draw, retryDraw float64) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.service(req.Service)
	lower, ranks := s.rank(now, req.Priority)
	elapsed := s.elapsed(now, req)
	flooding, allowed := s.usage.record(now, req.Customer)
	waitable := max(req.Objective-forecast.Work, time.Duration(minWaitable*float64(forecast.Work)), time.Millisecond)
	decision := Decision{Admitted: true, Class: ClassPriority, Share: float64(forecast.Wait) / float64(waitable)}
	target := targetShare
	if s.usage.isFlooded(now) {
		target = floodedShare
	}
	decision.Level = s.level.update(now, decision.Share, target, lateWidth+floodWidth+float64(ranks))
	begin, width, most := lateWidth+float64(lower), 1.0, min(1-floorShare*s.admitted, maxRejected)
	switch {
	case elapsed > 0 && req.Objective-elapsed < forecast.Wait+forecast.Work:
		decision.Class, begin, width, most = ClassLate, 0, lateWidth, 1
	case flooding:
		decision.Class, begin, width, most = ClassFlood, lateWidth, floodWidth, 1-allowed
	case s.usage.isFlooded(now):
		begin += floodWidth
	}
	decision.Rejected = min(max((decision.Level-begin)/width, 0), most)
	if decision.Share >= fullShare && lower == 0 {
		decision.Rejected = most
	}
	if forecast.Wait > 0 && draw < decision.Rejected {
		decision.Admitted = false
		decision.RetryAfter = retryAfter(forecast.Wait, req.Timeout, retryDraw)
	}
	s.recordDecision(decision.Admitted)
	return decision
}

func (c *Controller) service(name ident.ServiceName) *service {
	if c.services == nil {
		c.services = make(map[ident.ServiceName]*service)
	}
	s := c.services[name]
	if s == nil {
		s = &service{timeouts: make(map[callerKey]*longestTimeout), admitted: 1}
		c.services[name] = s
	}
	return s
}

func (s *service) recordDecision(admitted bool) {
	sample := 0.0
	if admitted {
		sample = 1
	}
	s.admitted += admittedWeight * (sample - s.admitted)
}

// rank records the priority of a request. It returns the number of less urgent priorities
// that the service got lately, and that of all.
func (s *service) rank(now time.Time, priority int) (lower, ranks int) {
	priority = min(max(priority, 0), maxPriority)
	s.priorities[priority] = now
	for i, at := range s.priorities {
		if at.IsZero() || now.Sub(at) >= priorityPeriod {
			continue
		}
		ranks++
		if i > priority {
			lower++
		}
	}
	return lower, ranks
}

// elapsed returns the time that has passed since the caller's first attempt, as far as its
// timeout tells: a caller states the time that it has left, which is less than that of
// others when it comes back.
func (s *service) elapsed(now time.Time, req Request) time.Duration {
	key := callerKey{customer: req.Customer, route: req.Route}
	longest := s.timeouts[key]
	if longest == nil {
		if len(s.timeouts) >= maxCallers {
			clear(s.timeouts)
		}
		longest = new(longestTimeout)
		s.timeouts[key] = longest
	}
	usual := longest.record(now, req.Timeout)
	elapsed := usual - req.Timeout
	if elapsed < minRetryAfter || elapsed > time.Duration(maxElapsedShare*float64(usual)) {
		// A caller waits longer than that before it comes back, and it has more left: the
		// callers of the customer have different timeouts.
		return 0
	}
	return elapsed
}

// callerKey identifies requests whose callers mostly have the same timeout.
type callerKey struct {
	customer ident.CustomerName
	route    string
}

const (
	// maxCallers bounds the customers and routes whose timeouts are kept for a service.
	maxCallers = 1 << 14
	// maxElapsedShare is the part of its timeout that a caller has used at most when it
	// comes back after two rejections, each of a third of what was left.
	maxElapsedShare = 0.56
)

// retryAfter returns when the caller of a rejected request should come back: not before
// the requests that are ahead have begun, and spread over the time that it can wait.
func retryAfter(wait, timeout time.Duration, draw float64) time.Duration {
	latest := min(timeout/retryAfterShare, retryAfterWaits*wait+maxRetrySpread)
	earliest := min(max(wait, minRetryAfter), latest/2)
	return earliest + time.Duration(draw*float64(latest-earliest))
}

// timeoutPeriod is half of the time for which the longest timeout of a route counts.
const timeoutPeriod = 5 * time.Second

// longestTimeout is the longest timeout of a route's requests of late.
type longestTimeout struct {
	since             time.Time
	current, previous time.Duration
}

// record records a timeout and returns the longest one.
func (l *longestTimeout) record(now time.Time, timeout time.Duration) time.Duration {
	if now.Sub(l.since) >= timeoutPeriod {
		l.since, l.previous, l.current = now, l.current, 0
	}
	l.current = max(l.current, timeout)
	return max(l.current, l.previous)
}
