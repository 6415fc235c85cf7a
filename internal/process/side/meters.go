package side

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"cactusline.dev/cactusline/internal/conn/wire"
)

// measure adds the figures of the target to the process's metrics.
func (s *Sidecar) measure() {
	gauge := func(name string, read func() float64) {
		metrics.GetOrCreateGauge(fmt.Sprintf("cactusline_target_%s{target=%q}", name, s.cfg.TargetName), read)
	}
	gauge("requests", func() float64 { return float64(s.admitted.Load().Requests) })
	gauge("tokens", func() float64 { return float64(s.admitted.Load().Tokens) })
	gauge("queued", func() float64 { return float64(s.admitted.Load().Queued) })
	gauge("leaving", func() float64 { return asNumber(s.leaving.Load()) })
	gauge("down", func() float64 { return asNumber(s.down.Load()) })
	gauge("blind", func() float64 { return asNumber(s.admitted.DigestStale(s.cfg.Clock.Now())) })
	gauge("attempts_remembered", func() float64 { return float64(s.attempts.Stats().Attempts) })
	gauge("revision", func() float64 { return float64(s.revision()) })
}

// countRefused counts an attempt that was refused.
func (s *Sidecar) countRefused(reason wire.RefusalReason) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_target_refused_total{target=%q,reason=%q}", s.cfg.TargetName, reason)).Inc()
}

// countBroken counts an invariant that was seen broken.
func (s *Sidecar) countBroken() {
	metrics.GetOrCreateCounter(fmt.Sprintf("cactusline_target_invariants_broken_total{target=%q}", s.cfg.TargetName)).Inc()
}

func asNumber(holds bool) float64 {
	if holds {
		return 1
	}
	return 0
}
