// Package route defines the routing document, which maps requests to services
// and sets the customers and limits of callers. A document is versioned as a
// whole and compiled into a Table, which finds the route of each request.
package route

import (
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Kind says whether a request may run more than once, and whether it is answered
// with a stream.
type Kind int

// The kinds of routes.
const (
	// Safe requests may run any number of times.
	Safe Kind = iota
	// Unsafe requests may run at most once.
	Unsafe
	// Stream requests are answered with a stream of events. They may run at
	// most once unless the route is resumable.
	Stream
)

// String returns the name of the kind.
func (k Kind) String() string { return [...]string{"Safe", "Unsafe", "Stream"}[k] }

// Document is one version of the routing configuration.
type Document struct {
	Version   ident.Version
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Route maps the requests for one host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix; it begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a caller waits for an answer.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer, or the first event
	// of a stream, counts as on time.
	LatencyObjective time.Duration
	// Priority ranks requests; 0 is the most urgent.
	Priority int
	// Attempts is the maximum number of targets on which one request may run.
	Attempts int
	// Public routes accept requests without a key.
	Public bool
	// Resumable streams may be continued on another target after the last event
	// that was received.
	Resumable bool
	Split     []Share
	// HomeRegions are the regions whose targets may get requests, empty for any.
	HomeRegions []ident.RegionName
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || (r.Kind == Stream && r.Resumable) }

// Share gives one service its weight among the services of a route.
type Share struct {
	Service ident.ServiceName
	Weight  int
}

// Service is a set of targets that answer the same requests.
type Service struct {
	Name ident.ServiceName
	// ColdPeriod is how long a target of the service is cold at most, and ColdRate the
	// number of requests per second that it can handle while it is. A service without a
	// rate has no cold targets.
	ColdPeriod time.Duration
	ColdRate   ident.Rate
	// TokenCapacity is the number of tokens that each target can hold, 0 if unknown.
	TokenCapacity ident.Tokens
}

// Customer owns a set of keys.
type Customer struct {
	Name ident.CustomerName
	Keys []string
	// Priority overrides the priority of routes if HasPriority is set.
	Priority    int
	HasPriority bool
	// HomeRegions are the regions whose targets may get the customer's requests, empty for
	// any.
	HomeRegions []ident.RegionName
}

// HomeRegions returns the regions in which a customer's requests on a route may run. It
// returns false if they may run in any. The customer is nil if it is not known.
func HomeRegions(r *Route, customer *Customer) (regions []ident.RegionName, limited bool) {
	switch {
	case customer == nil || len(customer.HomeRegions) == 0:
		return r.HomeRegions, len(r.HomeRegions) > 0
	case len(r.HomeRegions) == 0:
		return customer.HomeRegions, true
	}
	for _, region := range r.HomeRegions {
		if slices.Contains(customer.HomeRegions, region) {
			regions = append(regions, region)
		}
	}
	return regions, true
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	MaxHeader     ident.Bytes
	MaxBody       ident.Bytes
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
