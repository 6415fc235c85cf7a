// Package lint finds what is valid in a routing document but has no effect or contradicts
// itself, and what differs between two documents.
package lint

import (
	"fmt"
	"slices"
	"strings"

	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/route"
)

// linter collects the findings about a valid document.
type linter struct {
	document *route.Document
	findings []route.Fault
	// withKeys are the customers that own a key.
	withKeys []*route.Customer
}

// Check returns the findings about a valid document: routes, services, customers, keys
// and shares that are never used, and settings that contradict each other.
func Check(d *route.Document) []route.Fault {
	l := &linter{document: d}
	for i := range d.Customers {
		if len(d.Customers[i].Keys) > 0 {
			l.withKeys = append(l.withKeys, &d.Customers[i])
		}
	}
	l.checkNames()
	for i := range d.Routes {
		l.checkRoute(&d.Routes[i])
	}
	for i := range d.Services {
		l.checkService(&d.Services[i])
	}
	for i := range d.Customers {
		l.checkCustomer(&d.Customers[i])
	}
	l.checkLimits()
	return l.findings
}

func (l *linter) add(location, format string, args ...any) {
	l.findings = append(l.findings, route.Fault{Location: location, Problem: fmt.Sprintf(format, args...)})
}

// checkNames reports names that two routes or two customers share. Two services that share
// one make a document invalid.
func (l *linter) checkNames() {
	seen := make(map[string]bool)
	check := func(location string) {
		if seen[location] {
			l.add(location, "is defined twice")
		}
		seen[location] = true
	}
	for i := range l.document.Routes {
		check(routeLocation(&l.document.Routes[i]))
	}
	for i := range l.document.Customers {
		check(customerLocation(&l.document.Customers[i]))
	}
}

func routeLocation(r *route.Route) string { return "route " + r.Name }

func customerLocation(c *route.Customer) string { return "customer " + string(c.Name) }

func (l *linter) checkRoute(r *route.Route) {
	location := routeLocation(r)
	l.checkMatch(r)
	for _, share := range r.Split {
		if share.Weight == 0 {
			l.add(location, "service %s has weight 0 and gets no requests", share.Service)
		}
	}
	if !r.Public && len(l.document.Customers) > 0 && len(l.withKeys) == 0 {
		l.add(location, "needs a key, but no customer has one")
	}
	if r.LatencyObjective > r.Timeout {
		l.add(location, "latency objective %v is above the timeout %v", r.LatencyObjective, r.Timeout)
	}
	if r.Attempts > 1 && !r.Repeatable() {
		l.add(location, "has %d attempts, but its requests may run only once (kind %v)", r.Attempts, r.Kind)
	}
	if r.Resumable && r.Kind != route.Stream {
		l.add(location, "is resumable, but only streams are resumed (kind %v)", r.Kind)
	}
	if !r.Public && len(l.withKeys) > 0 && !slices.ContainsFunc(l.withKeys, func(c *route.Customer) bool { return mayRun(r, c) }) {
		l.add(location, "shares no home region with any customer that has a key")
	}
}

// checkMatch reports hosts and prefixes that no request has.
func (l *linter) checkMatch(r *route.Route) {
	location := routeLocation(r)
	if r.Host == "" {
		l.add(location, "host is empty and matches only requests without a host")
	}
	if route.NormalizeHost(r.Host) != strings.ToLower(r.Host) {
		l.add(location, "host %q has a port and never matches, as ports of requests are ignored", r.Host)
	}
	if strings.ContainsAny(r.Prefix, "?# ") {
		l.add(location, "prefix %q has a character that no path has, and never matches", r.Prefix)
	}
}

// mayRun reports whether any region is left for a customer's requests on a route.
func mayRun(r *route.Route, customer *route.Customer) bool {
	regions, limited := route.HomeRegions(r, customer)
	return !limited || len(regions) > 0
}

func (l *linter) checkService(s *route.Service) {
	location := "service " + string(s.Name)
	if !slices.ContainsFunc(l.document.Routes, func(r route.Route) bool { return r.LeadsTo(s.Name) }) {
		l.add(location, "no route leads to it")
	}
	if s.ColdPeriod > 0 && s.ColdRate == 0 {
		l.add(location, "cold period %v has no effect without a cold rate", s.ColdPeriod)
	}
	if s.ColdRate > 0 && s.ColdPeriod == 0 {
		l.add(location, "cold rate %v has no cold period and holds only for targets that say themselves that they are cold", s.ColdRate)
	}
}

func (l *linter) checkCustomer(c *route.Customer) {
	location := customerLocation(c)
	if len(c.Keys) == 0 {
		l.add(location, "has no key, so no request is its own")
		return
	}
	if slices.Contains(c.Keys, "") {
		l.add(location, "has an empty key, so requests without a key are its own")
	}
	canRun := func(r route.Route) bool { return mayRun(&r, c) }
	if len(l.document.Routes) > 0 && !slices.ContainsFunc(l.document.Routes, canRun) {
		l.add(location, "shares no home region with any route")
	}
}

// checkLimits compares only limits that are set, as the gate has defaults for the others.
func (l *linter) checkLimits() {
	limits := &l.document.Limits
	if limits.MaxBody > 0 && limits.MaxHeader > limits.MaxBody {
		l.add("limits", "header limit of %d bytes is above the body limit of %d bytes", limits.MaxHeader, limits.MaxBody)
	}
	if limits.IdleTimeout > 0 && limits.HeaderTimeout > limits.IdleTimeout {
		l.add("limits", "header timeout %v is above the idle timeout %v", limits.HeaderTimeout, limits.IdleTimeout)
	}
}

// CheckVersion returns a finding if a document would not replace the one in force: those
// without a higher version are ignored.
func CheckVersion(inForce, next ident.Version) []route.Fault {
	if next > inForce {
		return nil
	}
	return []route.Fault{{
		Location: "version", Problem: fmt.Sprintf("%d is not above %d, which is in force, so sending the document changes nothing", next, inForce),
	}}
}
