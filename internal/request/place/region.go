package place

import (
	"slices"

	"cactusline.dev/cactusline/internal/version/ident"
)

// SetRegions sets the region of each failure domain. Requests that are limited to regions
// reach no target in a domain that the map lacks.
func (b *Balancer) SetRegions(regions map[ident.DomainName]ident.RegionName) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.regions = regions
	for _, t := range b.byName {
		t.owner.mu.Lock()
		t.region = regions[t.Domain]
		t.owner.mu.Unlock()
	}
}

// isHome reports whether the target is in a region where the request may run.
func (t *Target) isHome(req *Request) bool {
	return !req.HasRegions || (t.region != "" && slices.Contains(req.Regions, t.region))
}
