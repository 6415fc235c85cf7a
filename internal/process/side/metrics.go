package side

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cactusline.dev/cactusline/internal/conn/http1"
	"cactusline.dev/cactusline/internal/conn/wire"
)

// registerMetrics registers the gauges of the target.
func (s *Sidecar) registerMetrics() {
	gauge := func(name string, read func() float64) {
		metrics.GetOrCreateGauge(fmt.Sprintf("cactusline_target_%s{target=%q}", name, s.cfg.TargetName), read)
	}
	gauge("requests", func() float64 { return float64(s.admission.Load().Requests) })
	gauge("tokens", func() float64 { return float64(s.admission.Load().Tokens) })
	gauge("queued", func() float64 { return float64(s.admission.Load().Queued) })
	gauge("leaving", func() float64 { return boolToFloat(s.leaving.Load()) })
	gauge("down", func() float64 { return boolToFloat(s.down.Load()) })
	gauge("blind", func() float64 { return boolToFloat(s.admission.DigestStale(s.cfg.Clock.Now())) })
	gauge("attempts_remembered", func() float64 { return float64(s.attempts.Stats().Attempts) })
	gauge("revision", func() float64 { return float64(s.revision()) })
}

// countRefusal counts a refused attempt.
func (s *Sidecar) countRefusal(reason wire.RefusalReason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_target_refused_total{target=%q,reason=%q}", s.cfg.TargetName, reason)).Inc()
}

// countBroken counts an answer that is malformed or incomplete, or did not come.
func (s *Sidecar) countBroken(err error) {
	reason := "Incomplete"
	if http1.IsMalformed(err) {
		reason = "Malformed"
	}
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_target_broken_answers_total{target=%q,reason=%q}", s.cfg.TargetName, reason)).Inc()
}

// countInvariantBroken counts a violated invariant.
func (s *Sidecar) countInvariantBroken() {
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_target_invariants_broken_total{target=%q}", s.cfg.TargetName)).Inc()
}

func boolToFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
