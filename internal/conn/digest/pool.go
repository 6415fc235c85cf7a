package digest

import (
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// ModelPool names the pool of the targets that serve a model.
func ModelPool(model ident.ModelName) PoolName { return PoolName("model/" + model) }

// ServicePool names the pool of the targets of a service.
func ServicePool(service ident.ServiceName) PoolName { return PoolName("service/" + service) }

// TargetPool names the pool that a target belongs to: that of its service, or
// of the first model that it serves.
func TargetPool(target *record.Target) PoolName {
	if target.Service != "" || len(target.Models) == 0 {
		return ServicePool(target.Service)
	}
	return ModelPool(target.Models[0].Name)
}

// RoutePool names the pool of the targets that a route leads to.
func RoutePool(route *record.Route) PoolName {
	if route.Model == "" {
		return ServicePool(route.Service)
	}
	return ModelPool(route.Model)
}
