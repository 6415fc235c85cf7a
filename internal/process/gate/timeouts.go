package gate

import (
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/version/route"
)

// routeTimeouts remembers the longer timeouts that routes had in earlier documents, by
// which streams may still run.
type routeTimeouts struct {
	mu sync.Mutex
	// firstAt is when the first document came. Which timeouts there were before is not
	// known.
	firstAt time.Time
	earlier map[string]earlierTimeout
}

// earlierTimeout is a timeout that a route had until its document was replaced.
type earlierTimeout struct {
	timeout time.Duration
	// until is when the last of the streams has ended that began with it.
	until time.Time
}

// replaced records that a document takes the place of another one, nil for the first.
func (r *routeTimeouts) replaced(now time.Time, previous, next *route.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if previous == nil {
		r.firstAt = now
		return
	}
	for key, earlier := range r.earlier {
		if !now.Before(earlier.until) {
			delete(r.earlier, key)
		}
	}
	for old := range previous.Routes() {
		if old.Kind != route.Stream {
			continue
		}
		if current := next.Find(old.Host, old.Prefix); current != nil && current.Timeout >= old.Timeout {
			continue
		}
		if r.earlier == nil {
			r.earlier = make(map[string]earlierTimeout)
		}
		if known := r.earlier[routeKey(old)]; known.timeout <= old.Timeout {
			r.earlier[routeKey(old)] = earlierTimeout{timeout: old.Timeout, until: now.Add(streamTimeouts * old.Timeout)}
		}
	}
}

// longest returns the longest timeout with which a stream of a route that is taken up may
// have begun. Soon after the start of the process, that is the longest of all routes.
func (r *routeTimeouts) longest(now time.Time, table *route.Table, of *route.Route) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	longest := of.Timeout
	if earlier, found := r.earlier[routeKey(of)]; found && now.Before(earlier.until) {
		longest = max(longest, earlier.timeout)
	}
	if ofAll := table.LongestStreamTimeout(); now.Sub(r.firstAt) < streamTimeouts*ofAll {
		longest = max(longest, ofAll)
	}
	return longest
}

// routeKey identifies a route over documents.
func routeKey(r *route.Route) string { return r.Host + " " + r.Prefix }
