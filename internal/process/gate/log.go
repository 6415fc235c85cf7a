package gate

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/process/logs"
)

// logEnd tells how a request ended and what was tried for it.
func (g *Gate) logEnd(j *job, status int, outcome string) {
	took := g.cfg.Clock.Now().Sub(j.began)
	kind := "None"
	if j.route != nil {
		kind = j.route.Kind.String()
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_requests_total{kind=%q,outcome=%q}", kind, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("cactusline_request_seconds{kind=%q}", kind)).Update(took.Seconds())
	fields := []any{
		logs.FieldEvent, "RequestEnded", logs.FieldRequest, string(j.ask.ID),
		"Outcome", outcome, "Status", status, "Took", took.String(),
	}
	if j.table != nil {
		fields = append(fields, "Document", uint64(j.table.Version()))
	}
	if j.route != nil {
		fields = append(fields, "Route", j.route.Name, "Customer", string(j.name()), "Attempts", j.trail)
	}
	logger := level.Info(g.cfg.Logger)
	if outcome != "Finish" {
		logger = level.Warn(g.cfg.Logger)
	}
	_ = log.With(logger, fields...).Log()
}

// logEjected tells that a target is left alone for a while.
func (g *Gate) logEjected(j *job, last attempt) {
	metrics.GetOrCreateCounter("cactusline_target_ejections_total").Inc()
	_ = level.Warn(g.cfg.Logger).Log(
		logs.FieldEvent, "TargetEjected", logs.FieldRequest, string(j.ask.ID),
		"Target", last.Target, "Result", last.Result, "Status", last.Status, logs.FieldError, last.Error,
	)
}
