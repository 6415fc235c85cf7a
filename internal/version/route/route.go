// Package route holds the routing document: one versioned whole that says
// which requests go to which services, for whom, and within which limits. A
// document is compiled into a Table, which answers for each request.
package route

import (
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Kind says what may be done with a request more than once.
type Kind int

// The kinds of routes.
const (
	// Safe requests may run any number of times.
	Safe Kind = iota
	// Unsafe requests may run at most once.
	Unsafe
	// Stream requests are answered by events. They may run at most once unless
	// the route is resumable.
	Stream
)

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"Safe", "Unsafe", "Stream"}[k] }

// Document is one version of the routing intent.
type Document struct {
	Version   ident.Version
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Route sends the requests of one host below one path to services.
type Route struct {
	Name string
	Host string
	// Prefix is of the path; it begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer, or a stream's first event,
	// is on time.
	LatencyObjective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Attempts is the number of targets on which one request may run.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another target after the last event.
	Resumable bool
	Split     []Share
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || (r.Kind == Stream && r.Resumable) }

// Share is the part of a route's requests that go to one service.
type Share struct {
	Service ident.ServiceName
	Weight  int
}

// Service is a set of targets that answer the same requests.
type Service struct {
	Name ident.ServiceName
}

// Customer is a party with keys.
type Customer struct {
	Name ident.CustomerName
	Keys []string
	// Priority goes before that of routes, if Ranked.
	Priority    int
	HasPriority bool
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeader     ident.Bytes
	MaxBody       ident.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
