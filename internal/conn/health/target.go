package health

import (
	"math"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Phase is where a target stands.
type Phase uint8

// Phases.
const (
	// PhaseUnknown is a target that has not joined.
	PhaseUnknown Phase = iota
	// PhaseHealthy takes its full share.
	PhaseHealthy
	// PhaseSlowStart takes a share that rises with time.
	PhaseSlowStart
	// PhaseEjected takes nothing.
	PhaseEjected
	// PhaseHalfOpen takes nothing but a probe, on which its return depends.
	PhaseHalfOpen
)

// State is the judgement on a target.
type State struct {
	Phase Phase
	// Weight is the share of its normal work that a target should get, from 0
	// to 1.
	Weight float64
	// Penalty counts recent ejections and joins, decaying with time.
	Penalty float64
	// Until is when an ejection may end.
	Until time.Time
}

// Result is how one request or probe went.
type Result struct {
	Failed bool
	// Latency is the wait for the first byte; zero means not measured.
	Latency time.Duration
	// Probe marks the result of a probe.
	Probe bool
}

// target is what is known of one target.
type target struct {
	name ident.TargetName
	pool *pool
	// ejected tells of an ejection that has not ended, which the pool counts.
	ejected bool
	left    bool
	until   time.Time
	rising  time.Time
	heard   time.Time
	probed  time.Time

	failuresInRow int
	volume        float64
	failures      float64
	latency       latency

	penalty   float64
	penaltyAt time.Time
}

// smoothing is the weight of one result in running averages.
const smoothing = 0.05

func (t *target) state(now time.Time, cfg *Config) State {
	s := State{Penalty: t.decayed(now, cfg), Until: t.until}
	switch {
	case t.left:
		s.Phase = PhaseUnknown
	case t.ejected && now.Before(t.until):
		s.Phase = PhaseEjected
	case t.ejected:
		s.Phase = PhaseHalfOpen
	case now.Sub(t.rising) < cfg.SlowStart:
		s.Phase = PhaseSlowStart
		part := float64(now.Sub(t.rising)) / float64(cfg.SlowStart)
		s.Weight = cfg.SlowStartFrom + (1-cfg.SlowStartFrom)*max(0, part)
	default:
		s.Phase = PhaseHealthy
		s.Weight = 1
	}
	return s
}

// decayed returns the penalty for flapping as it stands now.
func (t *target) decayed(now time.Time, cfg *Config) float64 {
	elapsed := now.Sub(t.penaltyAt)
	if t.penalty == 0 || elapsed <= 0 {
		return t.penalty
	}
	return t.penalty * math.Exp2(-float64(elapsed)/float64(cfg.FlapHalfLife))
}

func (t *target) penalize(now time.Time, cfg *Config) {
	t.penalty = t.decayed(now, cfg) + 1
	t.penaltyAt = now
}

// timeOut returns how long an ejection lasts, which doubles with the penalty.
func (t *target) timeOut(now time.Time, cfg *Config) time.Duration {
	factor := math.Exp2(max(0, t.decayed(now, cfg)-1))
	return time.Duration(min(float64(cfg.MaxEject), float64(cfg.EjectFor)*factor))
}

func (t *target) count(r Result) {
	t.volume += 1 - smoothing*t.volume
	t.failures -= smoothing * t.failures
	if r.Failed {
		t.failures++
		t.failuresInRow++
		return
	}
	t.failuresInRow = 0
}

// lately is the penalty of a target that was ejected or joined again within
// one half-life.
const lately = 0.5

// failing reports whether the results ask for an ejection.
func (t *target) failing(now time.Time, cfg *Config) bool {
	if t.failuresInRow >= cfg.Failures {
		return true
	}
	if t.failuresInRow > 0 && now.Sub(t.rising) < cfg.SlowStart && t.decayed(now, cfg) >= lately {
		return true
	}
	enough := t.volume >= min(cfg.MinVolume, 0.5/smoothing)
	return enough && t.failures/t.volume >= cfg.FailureRate
}

// forget drops the results from before an ejection.
func (t *target) forget() {
	t.failuresInRow = 0
	t.volume = 0
	t.failures = 0
	t.latency = latency{}
}

// latency is a running geometric mean.
type latency struct {
	log   float64
	count int
}

func (l *latency) add(d time.Duration, weight float64) {
	value := math.Log(float64(d))
	l.count++
	if share := 1 / float64(l.count); share > weight {
		weight = share
	}
	l.log += weight * (value - l.log)
}
