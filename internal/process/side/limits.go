package side

import (
	"cactusline.dev/cactusline/internal/request/admit"
	"cactusline.dev/cactusline/internal/version/record"
)

// limitsOf returns what the records say of the target's load: its capacity,
// and the tightest bound of the routes that lead to it.
func (s *Sidecar) limitsOf(set *record.Set) admit.Limits {
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
		if route.LoadBound == 0 || !leadsTo(route, target) {
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

// leadsTo reports whether a route may send requests to a target.
func leadsTo(route *record.Route, target *record.Target) bool {
	if route.Model == "" {
		return route.Service == target.Service
	}
	return target.Serves(route.Model, route.ModelVersion, route.Adapter)
}
