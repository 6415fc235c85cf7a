package record

import (
	"slices"

	"cactusline.dev/cactusline/internal/version/ident"
)

// customerIndex finds customers by name and by key.
type customerIndex struct {
	byName map[ident.CustomerName]*Customer
	byKey  map[KeyHash]*Customer
}

// routeIndex finds routes by model and by service; each list is sorted by name.
type routeIndex struct {
	all       []*Route
	byModel   map[ident.ModelName][]*Route
	byService map[ident.ServiceName][]*Route
}

// targetIndex finds targets by name, model, service and VM; each list is
// sorted by name.
type targetIndex struct {
	all       []*Target
	byName    map[ident.TargetName]*Target
	byModel   map[ident.ModelName][]*Target
	byService map[ident.ServiceName][]*Target
	byVM      map[ident.VMName][]*Target
}

// departureIndex finds departures by target and by VM.
type departureIndex struct {
	targets map[ident.TargetName]*Departure
	vms     map[ident.VMName]*Departure
}

// index rebuilds the indexes of the given kinds.
func (s *Set) index(kinds map[Kind]bool) {
	if kinds[KindCustomer] {
		s.customers = indexCustomers(typedRecords[Customer](s, KindCustomer))
	}
	if kinds[KindService] {
		s.services = make(map[ident.ServiceName]*Service)
		for _, service := range typedRecords[Service](s, KindService) {
			s.services[service.Name] = service
		}
	}
	if kinds[KindModel] {
		s.models = make(map[ident.ModelName]*Model)
		for _, model := range typedRecords[Model](s, KindModel) {
			s.models[model.Name] = model
		}
	}
	if kinds[KindRoute] {
		s.routes = indexRoutes(typedRecords[Route](s, KindRoute))
	}
	if kinds[KindTarget] {
		s.targets = indexTargets(typedRecords[Target](s, KindTarget))
	}
	if kinds[KindDeparture] {
		s.departures = indexDepartures(typedRecords[Departure](s, KindDeparture))
	}
}

// typedRecords returns the typed values of the records of a kind, sorted by
// name.
func typedRecords[T any](s *Set, kind Kind) []*T {
	records := s.List(kind)
	out := make([]*T, 0, len(records))
	for _, r := range records {
		if value, ok := any(r.value).(*T); ok {
			out = append(out, value)
		}
	}
	return out
}

func indexCustomers(customers []*Customer) customerIndex {
	index := customerIndex{
		byName: make(map[ident.CustomerName]*Customer, len(customers)),
		byKey:  make(map[KeyHash]*Customer, len(customers)),
	}
	for _, customer := range customers {
		index.byName[customer.Name] = customer
		for _, key := range customer.Keys {
			index.byKey[key] = customer
		}
	}
	return index
}

func indexRoutes(routes []*Route) routeIndex {
	index := routeIndex{
		all:       routes,
		byModel:   make(map[ident.ModelName][]*Route),
		byService: make(map[ident.ServiceName][]*Route),
	}
	for _, route := range routes {
		if route.Model != "" {
			index.byModel[route.Model] = append(index.byModel[route.Model], route)
		} else {
			index.byService[route.Service] = append(index.byService[route.Service], route)
		}
	}
	return index
}

func indexTargets(targets []*Target) targetIndex {
	index := targetIndex{
		all:       targets,
		byName:    make(map[ident.TargetName]*Target, len(targets)),
		byModel:   make(map[ident.ModelName][]*Target),
		byService: make(map[ident.ServiceName][]*Target),
		byVM:      make(map[ident.VMName][]*Target),
	}
	for _, target := range targets {
		index.byName[target.Name] = target
		index.byVM[target.VM] = append(index.byVM[target.VM], target)
		if target.Service != "" {
			index.byService[target.Service] = append(index.byService[target.Service], target)
		}
		for _, name := range modelNames(target) {
			index.byModel[name] = append(index.byModel[name], target)
		}
	}
	return index
}

// modelNames returns the distinct names of the models of a target.
func modelNames(target *Target) []ident.ModelName {
	var names []ident.ModelName
	for _, model := range target.Models {
		if !slices.Contains(names, model.Name) {
			names = append(names, model.Name)
		}
	}
	return names
}

func indexDepartures(departures []*Departure) departureIndex {
	index := departureIndex{
		targets: make(map[ident.TargetName]*Departure),
		vms:     make(map[ident.VMName]*Departure),
	}
	for _, departure := range departures {
		if departure.VM != "" {
			index.vms[departure.VM] = departure
		} else {
			index.targets[departure.Target] = departure
		}
	}
	return index
}
