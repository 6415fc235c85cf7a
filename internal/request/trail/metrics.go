package trail

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Metric names.
const (
	metricRequests = "cactusline_requests_total"
	metricAttempts = "cactusline_attempts_total"
	metricDuration = "cactusline_request_seconds"
	metricDropped  = "cactusline_decisions_dropped_total"
	metricSent     = "cactusline_decisions_sent_total"
)

// count updates the metrics with a decision.
func (d *Decision) count() {
	metrics.GetOrCreateCounter(fmt.Sprintf("%s{outcome=%q,once=\"%t\"}", metricRequests, d.Outcome, d.Once)).Inc()
	metrics.GetOrCreateHistogram(metricDuration).Update(d.Finished.Sub(d.Started).Seconds())
	for i := range d.Attempts {
		a := &d.Attempts[i]
		metrics.GetOrCreateCounter(fmt.Sprintf("%s{result=%q,reason=%q}", metricAttempts, a.Result, a.Reason)).Inc()
	}
}
