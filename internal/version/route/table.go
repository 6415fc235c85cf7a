package route

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Table finds the route of a request. It is compiled from one document and is
// immutable.
type Table struct {
	document       *Document
	routesByHost   map[string][]*Route
	customersByKey map[string]*Customer
	services       map[ident.ServiceName]*Service
	requiresKey    bool
	// longestStreamTimeout is the longest timeout of a route for streams.
	longestStreamTimeout time.Duration
}

// Compile returns the table of a document, or an *InvalidError if the document
// is invalid.
func Compile(d *Document) (*Table, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	t := &Table{
		document:       d,
		routesByHost:   make(map[string][]*Route),
		customersByKey: make(map[string]*Customer),
		services:       make(map[ident.ServiceName]*Service, len(d.Services)),
		requiresKey:    len(d.Customers) > 0,
	}
	for i := range d.Routes {
		host := strings.ToLower(d.Routes[i].Host)
		t.routesByHost[host] = append(t.routesByHost[host], &d.Routes[i])
		if d.Routes[i].Kind == Stream {
			t.longestStreamTimeout = max(t.longestStreamTimeout, d.Routes[i].Timeout)
		}
	}
	for _, routes := range t.routesByHost {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(a.Prefix, b.Prefix) })
	}
	for i := range d.Services {
		t.services[d.Services[i].Name] = &d.Services[i]
	}
	for i := range d.Customers {
		for _, key := range d.Customers[i].Keys {
			t.customersByKey[key] = &d.Customers[i]
		}
	}
	return t, nil
}

// Version returns the version of the document.
func (t *Table) Version() ident.Version { return t.document.Version }

// Document returns the document from which the table was compiled. The caller must not
// modify it.
func (t *Table) Document() *Document { return t.document }

// Limits returns the limits on callers.
func (t *Table) Limits() Limits { return t.document.Limits }

// TokenCapacity returns the number of tokens that each target of a service can hold, 0 if
// unknown.
func (t *Table) TokenCapacity(name ident.ServiceName) ident.Tokens {
	if service := t.services[name]; service != nil {
		return service.TokenCapacity
	}
	return 0
}

// LongestStreamTimeout returns the longest timeout of a route for streams, 0 if there is
// none.
func (t *Table) LongestStreamTimeout() time.Duration { return t.longestStreamTimeout }

// Routes returns all routes, in no particular order.
func (t *Table) Routes() iter.Seq[*Route] {
	return func(yield func(*Route) bool) {
		for _, routes := range t.routesByHost {
			for _, r := range routes {
				if !yield(r) {
					return
				}
			}
		}
	}
}

// Services returns all services, in no particular order. The caller must not modify them.
func (t *Table) Services() iter.Seq[*Service] { return maps.Values(t.services) }

// RequiresKey reports whether requests for routes that are not public need a
// key.
func (t *Table) RequiresKey() bool { return t.requiresKey }

// CustomerByKey returns the customer that owns a key, or nil if none does.
func (t *Table) CustomerByKey(key string) *Customer { return t.customersByKey[key] }

// Find returns the route with the longest prefix that matches the path, or nil
// if none matches. The host may include a port.
func (t *Table) Find(host, path string) *Route {
	routes := t.routesByHost[NormalizeHost(host)]
	// All prefixes end with a slash, so only the parts of the path that end
	// with one are looked up, the longest first.
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		prefix := path[:end+1]
		i, found := slices.BinarySearchFunc(routes, prefix, func(r *Route, prefix string) int {
			return cmp.Compare(r.Prefix, prefix)
		})
		if found {
			return routes[i]
		}
	}
	return nil
}

// NormalizeHost returns the host of a request as routes name it: in lower case and
// without its port.
func NormalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

// LeadsTo reports whether requests on the route may go to a service.
func (r *Route) LeadsTo(service ident.ServiceName) bool {
	return slices.ContainsFunc(r.Split, func(share Share) bool { return share.Service == service && share.Weight > 0 })
}

// ChooseService chooses a service of the route by weight. The draw is a random
// number in [0, 1); the same draw yields the same service as long as the
// weights stay the same.
func (r *Route) ChooseService(draw float64) ident.ServiceName {
	totalWeight := 0
	for _, share := range r.Split {
		totalWeight += share.Weight
	}
	remaining := draw * float64(totalWeight)
	for _, share := range r.Split {
		if remaining -= float64(share.Weight); remaining < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
