package gate

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/process/logs"
	"cactusline.dev/cactusline/internal/request/place"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/route"
)

// recordNotice records what the target says of itself in any response. A response of
// another instance at the address says nothing of the target.
func (e *exchange) recordNotice(response *http.Response) {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return
	}
	notice := e.call.gate.cfg.Dialect.ParseResponse(response.Header).Notice
	now := e.call.gate.cfg.Clock.Now()
	e.recordRateLimit(now, notice.RateLimit)
	e.recordCold(now, notice.Cold)
	e.recordLeaving(now, notice.Leaving)
	e.recordServerLoad(now, notice.Load)
	if response.StatusCode == http.StatusServiceUnavailable {
		e.recordPause(now, notice.Pause)
	}
}

// recordRateLimit records the rate that the target accepts.
func (e *exchange) recordRateLimit(now time.Time, named RateLimit) {
	g, target := e.call.gate, e.choice.Target
	if named.Invalid != "" {
		if g.balancer.RecordInvalidRateLimit(target) {
			_ = level.Warn(g.cfg.Logger).Log(logs.FieldEvent, "TargetLimitInvalid", "Target", target.Name, "Text", named.Invalid)
		}
		return
	}
	limit := place.RateLimit{Limited: named.Named, Rate: named.Rate, NamedAt: now}
	if g.balancer.RecordRateLimit(target, limit) {
		g.permits.addLimit(target.Name, limit)
		g.logRateLimit(now, target, limit)
	}
}

// recordCold records for how long the target says that it is cold, and tells control.
func (e *exchange) recordCold(now time.Time, cold Coldness) {
	g, target := e.call.gate, e.choice.Target
	if !cold.Named || !g.balancer.RecordCold(now, target, now.Add(cold.For), now) {
		return
	}
	if limit := g.balancer.RateLimit(now, target); !limit.Until.IsZero() {
		g.permits.addLimit(target.Name, limit)
		g.logRateLimit(now, target, limit)
	}
}

// logRateLimit logs that the limit of a target changed.
func (g *Gate) logRateLimit(now time.Time, target *place.Target, limit place.RateLimit) {
	if !limit.Until.IsZero() {
		metrics.GetOrCreateCounter("cactusline_target_cold_notices_total").Inc()
		_ = level.Info(g.cfg.Logger).Log(logs.FieldEvent, "TargetCold", "Target", target.Name, "For", limit.Until.Sub(now).String())
		return
	}
	metrics.GetOrCreateCounter("cactusline_target_rate_limit_changes_total").Inc()
	if !limit.Limited {
		_ = level.Info(g.cfg.Logger).Log(logs.FieldEvent, "TargetLimitEnded", "Target", target.Name)
		return
	}
	_ = level.Warn(g.cfg.Logger).Log(logs.FieldEvent, "TargetLimited", "Target", target.Name, "Rate", float64(limit.Rate))
}

// recordLeaving records whether the target says that it leaves.
func (e *exchange) recordLeaving(now time.Time, leaving bool) {
	g, target := e.call.gate, e.choice.Target
	if !g.balancer.RecordLeaving(now, e.startedAt, target, leaving) {
		return
	}
	event := "TargetStays"
	if leaving {
		event = "TargetLeaves"
		metrics.GetOrCreateCounter("cactusline_targets_announced_leaving_total").Inc()
	}
	_ = level.Info(g.cfg.Logger).Log(logs.FieldEvent, event, "Target", target.Name, logs.FieldRequest, string(e.call.meta.ID))
}

// recordServerLoad records what the target says of its load.
func (e *exchange) recordServerLoad(now time.Time, load ServerLoad) {
	g, target := e.call.gate, e.choice.Target
	switch {
	case load.Invalid != "":
		if g.balancer.RecordInvalidServerLoad(target) {
			_ = level.Warn(g.cfg.Logger).Log(logs.FieldEvent, "TargetLoadInvalid", "Target", target.Name, "Text", load.Invalid)
		}
	case load.Named:
		changed, slow := g.balancer.RecordServerLoad(now, target, load.ServerLoad)
		if !changed {
			return
		}
		event := "TargetSlowEnded"
		if slow {
			event = "TargetSlow"
			metrics.GetOrCreateCounter("cactusline_target_slowdowns_total").Inc()
		}
		_ = level.Info(g.cfg.Logger).Log(logs.FieldEvent, event, "Target", target.Name, "Pace", load.Pace)
	}
}

// recordPause records that the target turned the request away and for how long it wants
// none.
func (e *exchange) recordPause(now time.Time, pause Pause) {
	g, target := e.call.gate, e.choice.Target
	switch {
	case pause.Invalid != "":
		if g.balancer.RecordInvalidPause(target) {
			_ = level.Warn(g.cfg.Logger).Log(logs.FieldEvent, "TargetPauseInvalid", "Target", target.Name, "Text", pause.Invalid)
		}
	case pause.For > 0 && g.balancer.RecordPause(now, target, pause.For):
		metrics.GetOrCreateCounter("cactusline_target_pauses_total").Inc()
		_ = level.Warn(g.cfg.Logger).Log(logs.FieldEvent, "TargetPauses", "Target", target.Name, "For", pause.For.String(), logs.FieldRequest, string(e.call.meta.ID))
	}
}

const (
	// minPauseSpread and maxPauseSpread bound the time over which callers are spread that
	// come back after a pause.
	minPauseSpread = 400 * time.Millisecond
	maxPauseSpread = 2 * time.Second
	// urgentPauseSpread is that time for urgent and returning requests, which come first.
	urgentPauseSpread = 200 * time.Millisecond
)

// finishPaused ends a request that no target wants before the end of a pause. Its caller
// is told to come back after that. As many come back as were rejected in the pause, so
// they are spread over as long a time.
func (c *call) finishPaused(now, end time.Time) {
	wait := end.Sub(now)
	if c.placement.Urgent || c.gate.balancer.IsReturning(now, &c.placement) {
		wait += rand.N(urgentPauseSpread)
	} else {
		wait += urgentPauseSpread + rand.N(min(max(wait, minPauseSpread), maxPauseSpread))
	}
	c.respondErrorRetryAfter(http.StatusServiceUnavailable, "Paused", wait)
}

// coldnessOf returns how the targets of each service of a document warm up.
func coldnessOf(table *route.Table) map[ident.ServiceName]place.Coldness {
	services := make(map[ident.ServiceName]place.Coldness)
	for service := range table.Services() {
		services[service.Name] = place.Coldness{Period: service.ColdPeriod, Rate: service.ColdRate}
	}
	return services
}

// countNotices counts the targets that leave or pause by their own word.
func (g *Gate) countNotices(of func(place.TargetNotice) bool) int {
	count := 0
	for _, notice := range g.balancer.Notices(g.cfg.Clock.Now()) {
		if of(notice) {
			count++
		}
	}
	return count
}

func isLeaving(notice place.TargetNotice) bool { return !notice.LeavingSince.IsZero() }

func isPaused(notice place.TargetNotice) bool { return !notice.PausedUntil.IsZero() }
