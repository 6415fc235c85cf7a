package route

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Fault describes one error in a document.
type Fault struct {
	// Location names the part of the document, such as "route NAME".
	Location string
	// Problem describes the error.
	Problem string
}

// maxShownFaults is the maximum number of faults in the text of an
// InvalidError.
const maxShownFaults = 5

// InvalidError reports why a document is rejected.
type InvalidError struct {
	Faults []Fault
}

// Error returns the number of faults and the first of them.
func (e *InvalidError) Error() string {
	var text strings.Builder
	fmt.Fprintf(&text, "document has %d faults", len(e.Faults))
	for _, fault := range e.Faults[:min(len(e.Faults), maxShownFaults)] {
		fmt.Fprintf(&text, "; %s: %s", fault.Location, fault.Problem)
	}
	return text.String()
}

// checker collects the faults of a document.
type checker struct {
	faults         []Fault
	services       map[ident.ServiceName]bool
	routesByPrefix map[[2]string]string
	keyOwners      map[string]ident.CustomerName
}

// Validate returns an *InvalidError with all faults of a document, or nil if
// there are none.
func (d *Document) Validate() error {
	c := &checker{
		services:       make(map[ident.ServiceName]bool),
		routesByPrefix: make(map[[2]string]string),
		keyOwners:      make(map[string]ident.CustomerName),
	}
	if d.Version == 0 {
		c.addFault("version", "must be above 0")
	}
	for i := range d.Services {
		c.checkService(&d.Services[i])
	}
	for i := range d.Routes {
		c.checkRoute(&d.Routes[i])
	}
	for i := range d.Customers {
		c.checkCustomer(&d.Customers[i])
	}
	if len(c.faults) > 0 {
		return &InvalidError{Faults: c.faults}
	}
	return nil
}

const (
	// maxColdPeriod and maxColdRate are far above what any service has.
	maxColdPeriod = time.Hour
	maxColdRate   = 1e6
)

// NewerFaults returns the faults in fields that earlier releases ignored. Documents that
// were accepted may have them, so Validate does not report them. The regions are those
// that are known; if there are none, any is valid.
func (d *Document) NewerFaults(regions []ident.RegionName) []Fault {
	c := new(checker)
	for i := range d.Services {
		s := &d.Services[i]
		if s.ColdPeriod < 0 || s.ColdPeriod > maxColdPeriod {
			c.addFault("service "+string(s.Name), "cold period %v is not from 0 to %v", s.ColdPeriod, maxColdPeriod)
		}
		if s.ColdRate < 0 || s.ColdRate > maxColdRate {
			c.addFault("service "+string(s.Name), "cold rate %v is not from 0 to %v", s.ColdRate, maxColdRate)
		}
	}
	for i := range d.Routes {
		c.checkRegions("route "+d.Routes[i].Name, d.Routes[i].HomeRegions, regions)
	}
	for i := range d.Customers {
		c.checkRegions("customer "+string(d.Customers[i].Name), d.Customers[i].HomeRegions, regions)
	}
	return c.faults
}

func (c *checker) checkRegions(location string, homes, known []ident.RegionName) {
	for _, region := range homes {
		if region == "" || (len(known) > 0 && !slices.Contains(known, region)) {
			c.addFault(location, "home region %q is unknown", region)
		}
	}
}

func (c *checker) addFault(location, format string, args ...any) {
	c.faults = append(c.faults, Fault{Location: location, Problem: fmt.Sprintf(format, args...)})
}

func (c *checker) checkService(s *Service) {
	if c.services[s.Name] {
		c.addFault("service "+string(s.Name), "is defined twice")
	}
	c.services[s.Name] = true
}

func (c *checker) checkRoute(r *Route) {
	location := "route " + r.Name
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		c.addFault(location, "prefix %q does not begin and end with a slash", r.Prefix)
	}
	hostAndPrefix := [2]string{strings.ToLower(r.Host), r.Prefix}
	if earlier, found := c.routesByPrefix[hostAndPrefix]; found {
		c.addFault(location, "has the same host and prefix as route %s", earlier)
	}
	c.routesByPrefix[hostAndPrefix] = r.Name
	if r.Timeout <= 0 {
		c.addFault(location, "timeout must be above 0")
	}
	totalWeight := 0
	for _, share := range r.Split {
		if !c.services[share.Service] {
			c.addFault(location, "service %q is unknown", share.Service)
		}
		if share.Weight < 0 {
			c.addFault(location, "weight of service %q is below 0", share.Service)
		}
		totalWeight += max(0, share.Weight)
	}
	if totalWeight == 0 {
		c.addFault(location, "weights add up to 0")
	}
}

func (c *checker) checkCustomer(customer *Customer) {
	for _, key := range customer.Keys {
		if owner, found := c.keyOwners[key]; found && owner != customer.Name {
			c.addFault("customer "+string(customer.Name), "shares a key with customer %s", owner)
		}
		c.keyOwners[key] = customer.Name
	}
}
