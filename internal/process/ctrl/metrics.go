package ctrl

import (
	"slices"

	"github.com/VictoriaMetrics/metrics"
)

// registerMetrics registers the gauges of this process.
func (c *Control) registerMetrics() {
	metrics.GetOrCreateGauge("cactusline_revision", func() float64 {
		return float64(c.cfg.Store.Set().Revision())
	})
	metrics.GetOrCreateGauge("cactusline_watchers", func() float64 {
		return float64(c.hub.watcherCount())
	})
	metrics.GetOrCreateGauge("cactusline_clock_skew_seconds", func() float64 {
		return c.clockSkews.largest().Seconds()
	})
	metrics.GetOrCreateGauge("cactusline_limited_targets", func() float64 {
		named := slices.DeleteFunc(c.targetLimits(), func(limit TargetLimit) bool { return limit.Cold })
		return float64(len(named))
	})
	metrics.GetOrCreateGauge("cactusline_evacuated_domains", func() float64 {
		domains, _ := c.evacuatedTotals()
		return float64(domains)
	})
	metrics.GetOrCreateGauge("cactusline_evacuated_requests_in_flight", func() float64 {
		_, inFlight := c.evacuatedTotals()
		return float64(inFlight)
	})
	metrics.GetOrCreateGauge("cactusline_streams_known", func() float64 { return float64(c.origins.Len()) })
	metrics.GetOrCreateGauge("cactusline_quorum_age_seconds", func() float64 { return c.hub.confirmedAge().Seconds() })
}

// watcherCount returns the number of processes that watch.
func (h *hub) watcherCount() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.watchers)
}
