package record

import (
	"slices"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Customer returns a customer by name.
func (s *Set) Customer(name ident.CustomerName) (*Customer, bool) {
	customer, found := s.customers.byName[name]
	return customer, found
}

// CustomerByKey returns the customer that owns a bearer key.
func (s *Set) CustomerByKey(hash KeyHash) (*Customer, bool) {
	customer, found := s.customers.byKey[hash]
	return customer, found
}

// Service returns a service by name.
func (s *Set) Service(name ident.ServiceName) (*Service, bool) {
	service, found := s.services[name]
	return service, found
}

// Model returns a model by name.
func (s *Set) Model(name ident.ModelName) (*Model, bool) {
	model, found := s.models[name]
	return model, found
}

// Target returns a target by name.
func (s *Set) Target(name ident.TargetName) (*Target, bool) {
	target, found := s.targets.byName[name]
	return target, found
}

// Targets returns all targets sorted by name.
func (s *Set) Targets() []*Target { return s.targets.all }

// TargetsOn returns the targets of a VM sorted by name.
func (s *Set) TargetsOn(vm ident.VMName) []*Target { return s.targets.byVM[vm] }

// ModelTargets returns the targets that serve a model in any version, leaving
// ones included, sorted by name.
func (s *Set) ModelTargets(model ident.ModelName) []*Target { return s.targets.byModel[model] }

// ServiceTargets returns the targets of a service, leaving ones included, sorted
// by name.
func (s *Set) ServiceTargets(service ident.ServiceName) []*Target {
	return s.targets.byService[service]
}

// Routes returns all routes sorted by name.
func (s *Set) Routes() []*Route { return s.routes.all }

// ModelRoute returns the route for a customer's requests for a model. A route
// that lists the customer takes precedence over one that lists none.
func (s *Set) ModelRoute(customer ident.CustomerName, model ident.ModelName) (*Route, bool) {
	return mostSpecific(s.routes.byModel[model], customer)
}

// ServiceRoute returns the route for a customer's requests for a service, with
// the same precedence as ModelRoute.
func (s *Set) ServiceRoute(customer ident.CustomerName, service ident.ServiceName) (*Route, bool) {
	return mostSpecific(s.routes.byService[service], customer)
}

// mostSpecific returns the first route that lists the customer, or else the
// first that lists none.
func mostSpecific(routes []*Route, customer ident.CustomerName) (*Route, bool) {
	var general *Route
	for _, route := range routes {
		if slices.Contains(route.Customers, customer) {
			return route, true
		}
		if general == nil && len(route.Customers) == 0 {
			general = route
		}
	}
	return general, general != nil
}

// Candidates returns the targets that may serve the requests of a route, sorted
// by name. They serve its service, or its model version and adapter, are in its
// region and are not leaving.
func (s *Set) Candidates(route *Route) []*Target {
	pool := s.ServiceTargets(route.Service)
	if route.Model != "" {
		pool = s.ModelTargets(route.Model)
	}
	var out []*Target
	for _, target := range pool {
		if s.eligible(route, target) {
			out = append(out, target)
		}
	}
	return out
}

// eligible reports whether a target of the route's model or service may serve
// its requests.
func (s *Set) eligible(route *Route, target *Target) bool {
	if route.Region != "" && target.Region != route.Region {
		return false
	}
	if route.Model != "" && !target.Serves(route.Model, route.ModelVersion, route.Adapter) {
		return false
	}
	return !s.TargetLeaving(target.Name)
}

// Serves reports whether the target serves the model in the version and with
// the adapter. An empty version or adapter means any.
func (t *Target) Serves(model ident.ModelName, version, adapter string) bool {
	return slices.ContainsFunc(t.Models, func(m TargetModel) bool {
		if m.Name != model || (version != "" && m.Version != version) {
			return false
		}
		return adapter == "" || slices.Contains(m.Adapters, adapter)
	})
}

// TargetLeaving reports whether a target takes no new work, because of its own
// record or of a departure of the target or its VM. An unknown target counts
// as leaving.
func (s *Set) TargetLeaving(name ident.TargetName) bool {
	target, found := s.targets.byName[name]
	if !found || target.Leaving || s.departures.targets[name] != nil {
		return true
	}
	return s.departures.vms[target.VM] != nil
}

// VMLeaving reports whether a VM has a departure.
func (s *Set) VMLeaving(vm ident.VMName) bool {
	return s.departures.vms[vm] != nil
}
