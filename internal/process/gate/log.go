package gate

import (
	"fmt"
	"net/http"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/process/logs"
	"cactusline.dev/cactusline/internal/request/poison"
)

// logRequestEnded logs how a request ended, with all its attempts, and updates the
// metrics of requests.
func (g *Gate) logRequestEnded(c *call, status int, outcome string) {
	took := g.cfg.Clock.Now().Sub(c.startedAt)
	kind := "None"
	if c.route != nil {
		kind = c.route.Kind.String()
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_requests_total{kind=%q,outcome=%q}", kind, outcome)).Inc()
	metrics.GetOrCreateHistogram(fmt.Sprintf("cactusline_request_seconds{kind=%q}", kind)).Update(took.Seconds())
	fields := []any{
		logs.FieldEvent, "RequestEnded", logs.FieldRequest, string(c.meta.ID),
		"Outcome", outcome, "Status", status, "Took", took.String(),
	}
	if c.routeTable != nil {
		fields = append(fields, "Document", uint64(c.routeTable.Version()))
	}
	if len(c.attempts) == 0 && (isDenial(status) || outcome == reasonUnconfirmed) {
		fields = append(fields, "Confirmed", g.cfg.Follower.ConfirmedText())
		metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_denials_total{status=\"%d\"}", status)).Inc()
	}
	if c.route != nil {
		fields = append(fields, "Route", c.route.Name, "Customer", string(c.customerName()), "Attempts", c.attempts)
	}
	if c.placement.HasRegions {
		fields = append(fields, "HomeRegions", c.placement.Regions)
	}
	if c.meta.Resumes != "" {
		fields = append(fields, "Resumes", string(c.meta.Resumes), "LastEvent", c.meta.LastEventID, "Origin", c.originSource)
	}
	if c.responseLost || c.untilClose || c.quarantinedBy != 0 {
		fields = append(fields, logs.FieldFingerprint, c.fingerprint().String())
	}
	if c.responseLost && len(c.meta.PromptParts) > 0 {
		fields = append(fields, "Parts", c.sharedPartNames())
	}
	if c.quarantinedBy != 0 {
		fields = append(fields, c.quarantineFields()...)
	}
	fields = append(fields, c.roomFields()...)
	logger := level.Info(g.cfg.Logger)
	if outcome != "Finish" {
		logger = level.Warn(g.cfg.Logger)
	}
	_ = log.With(logger, fields...).Log()
}

// isDenial reports whether a status says that the document does not allow a request.
func isDenial(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound
}

// quarantineFields counts a rejection and returns the fields that say what the request
// was rejected for.
func (c *call) quarantineFields() []any {
	by, fields := "request", []any{"Quarantine", c.quarantinedBy.String()}
	if i := slices.Index(c.partFingerprints, c.quarantinedBy); i >= 0 {
		by, fields = "part", append(fields, "QuarantinedPart", c.meta.PromptParts[i].String())
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_quarantined_requests_total{by=%q}", by)).Inc()
	return fields
}

// sharedPartNames returns the parts of the prompt but the last one, as they are logged.
func (c *call) sharedPartNames() []string {
	shared := c.meta.PromptParts[:len(c.meta.PromptParts)-1]
	names := make([]string, 0, min(len(shared), maxLoggedParts))
	for _, part := range shared[:cap(names)] {
		names = append(names, part.String())
	}
	return names
}

// maxLoggedParts bounds the length of a line about a request.
const maxLoggedParts = 16

// logTargetEjected logs that a target was ejected after an attempt.
func (g *Gate) logTargetEjected(c *call, attempt attemptLog) {
	metrics.GetOrCreateCounter("cactusline_target_ejections_total").Inc()
	_ = level.Warn(g.cfg.Logger).Log(
		logs.FieldEvent, "TargetEjected", logs.FieldRequest, string(c.meta.ID),
		"Target", attempt.Target, "Result", attempt.Result, "Status", attempt.Status, logs.FieldError, attempt.Error,
	)
}

// logTargetCrashed logs that a target crashed, with the requests that were sent to it
// and got no complete response.
func (g *Gate) logTargetCrashed(crash poison.DirectCrash, err error) {
	metrics.GetOrCreateCounter("cactusline_target_crashes_total").Inc()
	texts := make([]string, 0, min(len(crash.InFlight), maxLoggedFingerprints))
	for _, fingerprint := range crash.InFlight[:cap(texts)] {
		texts = append(texts, fingerprint.String())
	}
	_ = level.Error(g.cfg.Logger).Log(
		logs.FieldEvent, "TargetCrashed", "Target", crash.Target, "InFlight", len(crash.InFlight), "Fingerprints", texts,
		"Parts", newestPartNames(crash.Parts), logs.FieldError, err,
	)
}

// newestPartNames returns the parts of the newest requests in flight at a crash, as they
// are logged.
func newestPartNames(parts []poison.PartInFlight) []string {
	names := make([]string, 0, min(len(parts), maxLoggedParts))
	for _, part := range parts[:cap(names)] {
		names = append(names, part.ID.String())
	}
	return names
}

// maxLoggedFingerprints bounds the length of a line about a crash.
const maxLoggedFingerprints = 16
