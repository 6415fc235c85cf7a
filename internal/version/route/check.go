package route

import (
	"fmt"
	"strings"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Fault is one thing that is wrong with a document.
type Fault struct {
	// Location names the part of the document.
	Location string
	// Problem says what is wrong there.
	Problem string
}

// maxShownFaults bounds the faults in the text of an InvalidError.
const maxShownFaults = 5

// InvalidError says why a document can't be put in force.
type InvalidError struct {
	Faults []Fault
}

// Error lists the first faults.
func (e *InvalidError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "document has %d faults", len(e.Faults))
	for _, fault := range e.Faults[:min(len(e.Faults), maxShownFaults)] {
		fmt.Fprintf(&text, "; %s: %s", fault.Location, fault.Problem)
	}
	return text.String()
}

// checker gathers faults.
type checker struct {
	faults   []Fault
	services map[ident.ServiceName]bool
	places   map[[2]string]string
	keys     map[string]ident.CustomerName
}

// Validate returns an *InvalidError with all that is wrong with a document, nil
// if it may be put in force.
func (d *Document) Validate() error {
	c := &checker{
		services: make(map[ident.ServiceName]bool),
		places:   make(map[[2]string]string),
		keys:     make(map[string]ident.CustomerName),
	}
	if d.Version == 0 {
		c.fault("version", "must be above 0")
	}
	for i := range d.Services {
		c.service(&d.Services[i])
	}
	for i := range d.Routes {
		c.route(&d.Routes[i])
	}
	for i := range d.Customers {
		c.customer(&d.Customers[i])
	}
	if len(c.faults) > 0 {
		return &InvalidError{Faults: c.faults}
	}
	return nil
}

func (c *checker) fault(where, format string, args ...any) {
	c.faults = append(c.faults, Fault{Location: where, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) service(s *Service) {
	if c.services[s.Name] {
		c.fault("service "+string(s.Name), "stands twice")
	}
	c.services[s.Name] = true
}

func (c *checker) route(r *Route) {
	where := "route " + r.Name
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.fault(where, "prefix %q does not begin and end with a slash", r.Prefix)
	}
	place := [2]string{strings.ToLower(r.Host), r.Prefix}
	if other, taken := c.places[place]; taken {
		c.fault(where, "has the host and prefix of route %s", other)
	}
	c.places[place] = r.Name
	if r.Timeout <= 0 {
		c.fault(where, "timeout must be above 0")
	}
	total := 0
	for _, share := range r.Split {
		if !c.services[share.Service] {
			c.fault(where, "service %q is unknown", share.Service)
		}
		if share.Weight < 0 {
			c.fault(where, "weight of service %q is below 0", share.Service)
		}
		total += max(0, share.Weight)
	}
	if total == 0 {
		c.fault(where, "weights add up to 0")
	}
}

func (c *checker) customer(customer *Customer) {
	for _, key := range customer.Keys {
		if owner, taken := c.keys[key]; taken && owner != customer.Name {
			c.fault("customer "+string(customer.Name), "shares a key with customer %s", owner)
		}
		c.keys[key] = customer.Name
	}
}
