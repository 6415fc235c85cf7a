package route

import (
	"cmp"
	"slices"
	"strings"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Table answers which route a request takes. It is compiled from one document
// and does not change.
type Table struct {
	version   ident.Version
	hosts     map[string][]*Route
	customers map[string]*Customer
	keyed     bool
	limits    Limits
}

// Compile returns the table of a document, or why it can't be put in force.
func Compile(d *Document) (*Table, error) {
	if err := d.Validate(); err != nil {
		return nil, err
	}
	t := &Table{
		version:   d.Version,
		hosts:     make(map[string][]*Route),
		customers: make(map[string]*Customer),
		keyed:     len(d.Customers) > 0,
		limits:    d.Limits,
	}
	for i := range d.Routes {
		host := strings.ToLower(d.Routes[i].Host)
		t.hosts[host] = append(t.hosts[host], &d.Routes[i])
	}
	for _, routes := range t.hosts {
		slices.SortFunc(routes, func(a, b *Route) int { return cmp.Compare(a.Prefix, b.Prefix) })
	}
	for i := range d.Customers {
		for _, key := range d.Customers[i].Keys {
			t.customers[key] = &d.Customers[i]
		}
	}
	return t, nil
}

// Version returns the version of the document.
func (t *Table) Version() ident.Version { return t.version }

// Limits returns the limits of callers.
func (t *Table) Limits() Limits { return t.limits }

// RequiresKey reports whether requests need a key.
func (t *Table) RequiresKey() bool { return t.keyed }

// CustomerByKey returns whose key this is, nil if it is nobody's.
func (t *Table) CustomerByKey(key string) *Customer { return t.customers[key] }

// Find returns the route with the longest prefix of the path, nil if there is
// none. The host may carry a port.
func (t *Table) Find(host, path string) *Route {
	routes := t.hosts[hostName(host)]
	// Prefixes end with a slash, so that each is looked up at one of the path's.
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		prefix := path[:end+1]
		at, found := slices.BinarySearchFunc(routes, prefix, func(r *Route, prefix string) int {
			return cmp.Compare(r.Prefix, prefix)
		})
		if found {
			return routes[at]
		}
	}
	return nil
}

// hostName returns the host without port, in lower case.
func hostName(host string) string {
	if at := strings.LastIndexByte(host, ':'); at >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:at]
	}
	return strings.ToLower(host)
}

// ChooseService returns the service that a route gives a request whose draw is in
// [0, 1). The same draw stays with its service while the weights stay.
func (r *Route) ChooseService(draw float64) ident.ServiceName {
	total := 0
	for _, share := range r.Split {
		total += share.Weight
	}
	left := draw * float64(total)
	for _, share := range r.Split {
		if left -= float64(share.Weight); left < 0 {
			return share.Service
		}
	}
	return r.Split[len(r.Split)-1].Service
}
