package trail

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// Names of metrics.
const (
	metricRequests = "cactusline_requests_total"
	metricAttempts = "cactusline_attempts_total"
	metricTime     = "cactusline_request_seconds"
	metricDropped  = "cactusline_decisions_dropped_total"
	metricSent     = "cactusline_decisions_sent_total"
)

// count adds a decision to the metrics of the process.
func (d *Decision) count() {
	metrics.GetOrCreateCounter(fmt.Sprintf("%s{outcome=%q,once=\"%t\"}", metricRequests, d.Outcome, d.Once)).Inc()
	metrics.GetOrCreateHistogram(metricTime).Update(d.Finished.Sub(d.Started).Seconds())
	for i := range d.Attempts {
		a := &d.Attempts[i]
		metrics.GetOrCreateCounter(fmt.Sprintf("%s{result=%q,reason=%q}", metricAttempts, a.Result, a.Reason)).Inc()
	}
}
