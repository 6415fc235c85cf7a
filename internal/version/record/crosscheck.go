package record

import (
	"fmt"
	"slices"
	"strings"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Check validates the records of a set against each other. It finds, for
// example, a route that names an unknown model. It returns nil or a *Faults
// with all faults in a fixed order.
func (s *Set) Check() error {
	var out crossChecks
	out.customers(values[Customer](s, KindCustomer))
	for _, route := range s.routes.all {
		out.route(s, route)
	}
	out.overlaps(s.routes.all)
	for _, target := range s.targets.all {
		out.target(s, target)
	}
	if len(out.faults) == 0 {
		return nil
	}
	return &Faults{List: out.faults}
}

// crossChecks collects the faults that concern more than one record.
type crossChecks struct {
	faults []Fault
}

// require adds a fault of the record unless the condition holds.
func (c *crossChecks) require(holds bool, kind Kind, name, field, format string, args ...any) {
	if holds {
		return
	}
	record := Key{Kind: kind, Name: name}.String()
	c.faults = append(c.faults, Fault{Record: record, Field: field, Problem: fmt.Sprintf(format, args...)})
}

// customers checks that no bearer key belongs to two customers.
func (c *crossChecks) customers(customers []*Customer) {
	owners := make(map[KeyHash]ident.CustomerName)
	for _, customer := range customers {
		for i, key := range customer.Keys {
			owner, found := owners[key]
			field := fmt.Sprintf("Keys[%d]", i)
			c.require(!found, KindCustomer, string(customer.Name), field, "belongs to customer %s too", owner)
			owners[key] = customer.Name
		}
	}
}

// route checks that everything a route names exists.
func (c *crossChecks) route(s *Set, route *Route) {
	for i, name := range route.Customers {
		_, found := s.Customer(name)
		c.require(found, KindRoute, route.Name, fmt.Sprintf("Customers[%d]", i), "customer %q is unknown", name)
	}
	if route.Service != "" {
		_, found := s.Service(route.Service)
		c.require(found, KindRoute, route.Name, "Service", "service %q is unknown", route.Service)
		return
	}
	model, found := s.Model(route.Model)
	if !found {
		c.require(false, KindRoute, route.Name, "Model", "model %q is unknown", route.Model)
		return
	}
	c.require(model.hasVersion(route.ModelVersion), KindRoute, route.Name, "ModelVersion",
		"model %s has no version %q", route.Model, route.ModelVersion)
	c.require(model.hasAdapter(route.ModelVersion, route.Adapter), KindRoute, route.Name, "Adapter",
		"model %s has no adapter %q in that version", route.Model, route.Adapter)
}

// overlaps checks that no two routes match the same requests.
func (c *crossChecks) overlaps(routes []*Route) {
	owners := make(map[string]string)
	for _, route := range routes {
		for _, key := range route.matchKeys() {
			earlier, found := owners[key]
			c.require(!found, KindRoute, route.Name, "", "takes the same requests as route %s", earlier)
			owners[key] = route.Name
		}
	}
}

// matchKeys returns a key for each combination of a customer and a model or
// service that the route matches. Routes with a key in common match the same
// requests.
func (r *Route) matchKeys() []string {
	subject := strings.Join([]string{string(r.Model), string(r.Service)}, "\x00")
	if len(r.Customers) == 0 {
		return []string{subject}
	}
	var out []string
	for _, customer := range r.Customers {
		out = append(out, subject+"\x00"+string(customer))
	}
	return out
}

// target checks that the service or models of a target exist.
func (c *crossChecks) target(s *Set, target *Target) {
	if target.Service != "" {
		_, found := s.Service(target.Service)
		c.require(found, KindTarget, string(target.Name), "Service", "service %q is unknown", target.Service)
	}
	for i, served := range target.Models {
		field := fmt.Sprintf("Models[%d]", i)
		model, found := s.Model(served.Name)
		if !found {
			c.require(false, KindTarget, string(target.Name), field+".Name", "model %q is unknown", served.Name)
			continue
		}
		c.require(model.hasVersion(served.Version), KindTarget, string(target.Name), field+".Version",
			"model %s has no version %q", served.Name, served.Version)
		for _, adapter := range served.Adapters {
			c.require(model.hasAdapter(served.Version, adapter), KindTarget, string(target.Name), field+".Adapters",
				"model %s has no adapter %q in that version", served.Name, adapter)
		}
	}
}

// hasVersion reports whether the model has a version; an empty version means
// any.
func (m *Model) hasVersion(version string) bool {
	return version == "" || slices.ContainsFunc(m.Versions, func(v ModelVersion) bool { return v.Name == version })
}

// hasAdapter reports whether a version of the model has the adapter. An empty
// version means any version; an empty adapter is always present.
func (m *Model) hasAdapter(version, adapter string) bool {
	return adapter == "" || slices.ContainsFunc(m.Versions, func(v ModelVersion) bool {
		return (version == "" || v.Name == version) && slices.Contains(v.Adapters, adapter)
	})
}
