package admit

import "cactusline.dev/cactusline/internal/version/ident"

// Limits are the limits that operators configured for the target. Zero fields
// leave the current limit unchanged.
type Limits struct {
	// LoadBound is the multiple of the pool's mean load that the target may
	// carry.
	LoadBound float64
	// MaxRequests is the maximum number of running requests.
	MaxRequests int
	// MaxTokens is the maximum number of tokens of the running requests.
	MaxTokens ident.Tokens
}

// SetLimits changes the limits for later admissions. A LoadBound below 1 is
// ignored.
func (c *Controller) SetLimits(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limits.LoadBound >= 1 {
		c.cfg.LoadBound = limits.LoadBound
		c.cfg.AdmitBound = admitBoundFor(limits.LoadBound)
		c.limiter.admitBound = c.cfg.AdmitBound
	}
	if limits.MaxRequests > 0 {
		c.cfg.MaxRequests = limits.MaxRequests
		c.limiter.staleLimit = c.softLimit()
	}
	if limits.MaxTokens > 0 {
		c.cfg.MaxTokens = limits.MaxTokens
	}
}

// admitBoundFor returns the AdmitBound for a LoadBound, in the same ratio as the
// defaults and at least 1.
func admitBoundFor(bound float64) float64 {
	return max(1, bound*DefaultAdmitBound/DefaultLoadBound)
}
