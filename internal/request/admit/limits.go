package admit

import "cactusline.dev/cactusline/internal/version/ident"

// Limits are what operators' records say of the target; zero fields leave
// what was set before.
type Limits struct {
	// LoadBound is the multiple of the mean load that the target may carry.
	LoadBound float64
	// MaxRequests bounds the requests that the target runs.
	MaxRequests int
	// MaxTokens bounds the tokens that the target holds.
	MaxTokens ident.Tokens
}

// SetLimits takes new limits for work that is offered from now on. A bound
// below the mean is ignored.
func (c *Controller) SetLimits(limits Limits) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if limits.LoadBound >= 1 {
		c.cfg.LoadBound = limits.LoadBound
		c.cfg.AdmitBound = aimOf(limits.LoadBound)
		c.bound.factor = c.cfg.AdmitBound
	}
	if limits.MaxRequests > 0 {
		c.cfg.MaxRequests = limits.MaxRequests
		c.bound.unseen = c.soft()
	}
	if limits.MaxTokens > 0 {
		c.cfg.MaxTokens = limits.MaxTokens
	}
}

// aimOf returns where admission stops for a bound, as far below it as the
// defaults are apart.
func aimOf(bound float64) float64 {
	return max(1, bound*DefaultAdmitBound/DefaultLoadBound)
}
