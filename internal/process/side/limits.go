package side

import (
	"cactusline.dev/cactusline/internal/request/admit"
	"cactusline.dev/cactusline/internal/version/record"
)

// admissionLimits returns the limits of the target's load in the records: its
// capacity, and the lowest load bound of the routes that may use it.
func (s *Sidecar) admissionLimits(set *record.Set) admit.Limits {
	target, ok := set.Target(s.cfg.TargetName)
	if !ok {
		return admit.Limits{}
	}
	limits := admit.Limits{
		LoadBound:   admit.DefaultLoadBound,
		MaxRequests: target.Capacity.Requests,
		MaxTokens:   target.Capacity.Tokens,
	}
	tightest := 0.0
	for _, route := range set.Routes() {
		if route.LoadBound == 0 || !routeMayUse(route, target) {
			continue
		}
		if tightest == 0 || route.LoadBound < tightest {
			tightest = route.LoadBound
		}
	}
	if tightest > 0 {
		limits.LoadBound = tightest
	}
	return limits
}

// routeMayUse reports whether a route may send requests to a target.
func routeMayUse(route *record.Route, target *record.Target) bool {
	if route.Model == "" {
		return route.Service == target.Service
	}
	return target.Serves(route.Model, route.ModelVersion, route.Adapter)
}
