package gate

import (
	"net/http"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/process/logs"
	"cactusline.dev/cactusline/internal/request/place"
)

// recordRateLimit records the rate that the target accepts, by a response. A response of
// another instance at the address says nothing of the target.
func (e *exchange) recordRateLimit(response *http.Response) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	g, target := e.call.gate, e.choice.Target
	named := g.cfg.Dialect.ParseResponse(response.Header).RateLimit
	if named.Invalid != "" {
		if g.balancer.RecordInvalidRateLimit(target) {
			_ = level.Warn(g.cfg.Logger).Log(logs.FieldEvent, "TargetLimitInvalid", "Target", target.Name, "Text", named.Invalid)
		}
		return
	}
	limit := place.RateLimit{Limited: named.Named, Rate: named.Rate, NamedAt: g.cfg.Clock.Now()}
	if g.balancer.RecordRateLimit(target, limit) {
		g.permits.addLimit(target.Name, limit)
		g.logRateLimit(target, limit)
	}
}

// logRateLimit logs that the limit of a target changed.
func (g *Gate) logRateLimit(target *place.Target, limit place.RateLimit) {
	metrics.GetOrCreateCounter("cactusline_target_rate_limit_changes_total").Inc()
	if !limit.Limited {
		_ = level.Info(g.cfg.Logger).Log(logs.FieldEvent, "TargetLimitEnded", "Target", target.Name)
		return
	}
	_ = level.Warn(g.cfg.Logger).Log(logs.FieldEvent, "TargetLimited", "Target", target.Name, "Rate", float64(limit.Rate))
}
