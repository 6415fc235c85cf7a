package digest

import (
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// ModelPool returns the name of the pool of targets that serve a model.
func ModelPool(model ident.ModelName) PoolName { return PoolName("model/" + model) }

// ServicePool returns the name of the pool of targets of a service.
func ServicePool(service ident.ServiceName) PoolName { return PoolName("service/" + service) }

// TargetPool returns the name of the pool of the target's service, if it has
// one, otherwise that of its first model. A target with neither belongs to the
// service pool with the empty name.
func TargetPool(target *record.Target) PoolName {
	if target.Service != "" || len(target.Models) == 0 {
		return ServicePool(target.Service)
	}
	return ModelPool(target.Models[0].Name)
}

// RoutePool returns the name of the pool that serves a route.
func RoutePool(route *record.Route) PoolName {
	if route.Model == "" {
		return ServicePool(route.Service)
	}
	return ModelPool(route.Model)
}
