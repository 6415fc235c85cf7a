package gate

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"

	"cactusline.dev/cactusline/internal/request/carry"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/route"
)

// reasonNoHomeTarget is the reason of a rejection because no target in the home regions of
// the request can get it.
const reasonNoHomeTarget = "NoTargetInHomeRegion"

// SetRegions sets the region of each failure domain.
func (g *Gate) SetRegions(regions map[ident.DomainName]ident.RegionName) {
	g.balancer.SetRegions(regions)
}

// setHomeRegions limits the request to the home regions of its route and customer.
func (c *call) setHomeRegions() {
	c.placement.Regions, c.placement.HasRegions = route.HomeRegions(c.route, c.customer)
}

// finishOutsideHome ends a request that no target in its home regions could get, not one
// that they turned away, and reports whether that is so.
func (c *call) finishOutsideHome(action carry.Action) bool {
	if action != carry.Reject || !c.placement.HasRegions || len(c.placement.Tried) > 0 {
		return false
	}
	metrics.GetOrCreateCounter("cactusline_requests_without_home_total").Inc()
	c.respondError(http.StatusServiceUnavailable, reasonNoHomeTarget)
	return true
}
