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
	var out crossChecker
	out.checkBearerKeys(typedRecords[Customer](s, KindCustomer))
	for _, route := range s.routes.all {
		out.checkRoute(s, route)
	}
	out.checkOverlaps(s.routes.all)
	for _, target := range s.targets.all {
		out.checkTarget(s, target)
	}
	if len(out.faults) == 0 {
		return nil
	}
	return &Faults{List: out.faults}
}

// crossChecker collects the faults that concern more than one record.
type crossChecker struct {
	faults []Fault
}

// addFaultUnless adds a fault of a record unless ok is true.
func (c *crossChecker) addFaultUnless(ok bool, kind Kind, name, field, format string, args ...any) {
	if ok {
		return
	}
	record := Key{Kind: kind, Name: name}.String()
	c.faults = append(c.faults, Fault{Record: record, Field: field, Problem: fmt.Sprintf(format, args...)})
}

// checkBearerKeys checks that no bearer key belongs to two customers.
func (c *crossChecker) checkBearerKeys(customers []*Customer) {
	owners := make(map[KeyHash]ident.CustomerName)
	for _, customer := range customers {
		for i, key := range customer.Keys {
			owner, found := owners[key]
			field := fmt.Sprintf("Keys[%d]", i)
			c.addFaultUnless(!found, KindCustomer, string(customer.Name), field, "belongs to customer %s too", owner)
			owners[key] = customer.Name
		}
	}
}

// checkRoute checks that everything that a route names exists.
func (c *crossChecker) checkRoute(s *Set, route *Route) {
	for i, name := range route.Customers {
		_, found := s.Customer(name)
		c.addFaultUnless(found, KindRoute, route.Name, fmt.Sprintf("Customers[%d]", i), "customer %q is unknown", name)
	}
	if route.Service != "" {
		_, found := s.Service(route.Service)
		c.addFaultUnless(found, KindRoute, route.Name, "Service", "service %q is unknown", route.Service)
		return
	}
	model, found := s.Model(route.Model)
	if !found {
		c.addFaultUnless(false, KindRoute, route.Name, "Model", "model %q is unknown", route.Model)
		return
	}
	c.addFaultUnless(model.hasVersion(route.ModelVersion), KindRoute, route.Name, "ModelVersion",
		"model %s has no version %q", route.Model, route.ModelVersion)
	c.addFaultUnless(model.hasAdapter(route.ModelVersion, route.Adapter), KindRoute, route.Name, "Adapter",
		"model %s has no adapter %q in that version", route.Model, route.Adapter)
}

// checkOverlaps checks that no two routes match the same requests.
func (c *crossChecker) checkOverlaps(routes []*Route) {
	routeNames := make(map[string]string)
	for _, route := range routes {
		for _, key := range route.matchKeys() {
			earlier, found := routeNames[key]
			c.addFaultUnless(!found, KindRoute, route.Name, "", "takes the same requests as route %s", earlier)
			routeNames[key] = route.Name
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

// checkTarget checks that the service or models of a target exist.
func (c *crossChecker) checkTarget(s *Set, target *Target) {
	if target.Service != "" {
		_, found := s.Service(target.Service)
		c.addFaultUnless(found, KindTarget, string(target.Name), "Service", "service %q is unknown", target.Service)
	}
	for i, served := range target.Models {
		field := fmt.Sprintf("Models[%d]", i)
		model, found := s.Model(served.Name)
		if !found {
			c.addFaultUnless(false, KindTarget, string(target.Name), field+".Name", "model %q is unknown", served.Name)
			continue
		}
		c.addFaultUnless(model.hasVersion(served.Version), KindTarget, string(target.Name), field+".Version",
			"model %s has no version %q", served.Name, served.Version)
		for _, adapter := range served.Adapters {
			c.addFaultUnless(model.hasAdapter(served.Version, adapter), KindTarget, string(target.Name), field+".Adapters",
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
