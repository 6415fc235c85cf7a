package ctrl

import "github.com/VictoriaMetrics/metrics"

// measure adds the figures of this process to its metrics.
func (c *Control) measure() {
	metrics.GetOrCreateGauge("cactusline_revision", func() float64 {
		return float64(c.cfg.Store.Set().Revision())
	})
	metrics.GetOrCreateGauge("cactusline_watchers", func() float64 {
		return float64(c.hub.count())
	})
	metrics.GetOrCreateGauge("cactusline_clock_skew_seconds", func() float64 {
		return c.skews.largest().Seconds()
	})
	metrics.GetOrCreateGauge("cactusline_quorum_age_seconds", func() float64 {
		since, _, _ := c.hub.confirmation()
		return c.cfg.Clock.Now().Sub(since).Seconds()
	})
}

// count returns how many processes watch.
func (h *hub) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.watchers)
}
