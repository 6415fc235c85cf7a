package health

import (
	"math"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Phase is the phase of a target's health.
type Phase uint8

// Phases of a target.
const (
	// PhaseUnknown means that the target has not joined.
	PhaseUnknown Phase = iota
	// PhaseHealthy means that the target receives its full share of work.
	PhaseHealthy
	// PhaseSlowStart means that the target receives a share that rises with
	// time.
	PhaseSlowStart
	// PhaseEjected means that the target receives nothing.
	PhaseEjected
	// PhaseHalfOpen means that the target receives only a probe, whose result
	// decides on its readmission.
	PhaseHalfOpen
)

// State is the health of a target at one time.
type State struct {
	Phase Phase
	// Weight is the share of its normal work that the target should receive,
	// from 0 to 1.
	Weight float64
	// Penalty counts recent ejections and rejoins and decays with time.
	Penalty float64
	// Until is the earliest end of an ejection.
	Until time.Time
}

// Result is the result of one request or probe.
type Result struct {
	Failed bool
	// Latency is the time to the first byte; 0 means not measured.
	Latency time.Duration
	// Probe marks the result of a probe.
	Probe bool
}

// target holds the health of one target. The lock of its shard guards it.
type target struct {
	name ident.TargetName
	pool *pool
	// ejected is true from an ejection until a probe readmits the target or the
	// target leaves. The pool counts ejected targets.
	ejected bool
	// left is true while a target that has joined before is not a member.
	left         bool
	ejectedUntil time.Time
	slowStartAt  time.Time
	// lastEventAt is the time of the last result, join or leave.
	lastEventAt time.Time
	lastProbe   time.Time

	consecutiveFailures int
	// decayedResults and decayedFailures are exponentially decayed counts: each
	// result multiplies both by 1-resultSmoothing before it is added.
	decayedResults  float64
	decayedFailures float64
	latency         meanLatency

	penalty   float64
	penaltyAt time.Time
}

// resultSmoothing is the weight of one result in a target's running averages.
const resultSmoothing = 0.05

func (t *target) state(now time.Time, cfg *Config) State {
	s := State{Penalty: t.decayedPenalty(now, cfg), Until: t.ejectedUntil}
	switch {
	case t.left:
		s.Phase = PhaseUnknown
	case t.ejected && now.Before(t.ejectedUntil):
		s.Phase = PhaseEjected
	case t.ejected:
		s.Phase = PhaseHalfOpen
	case now.Sub(t.slowStartAt) < cfg.SlowStart:
		s.Phase = PhaseSlowStart
		progress := float64(now.Sub(t.slowStartAt)) / float64(cfg.SlowStart)
		s.Weight = cfg.SlowStartMinWeight + (1-cfg.SlowStartMinWeight)*max(0, progress)
	default:
		s.Phase = PhaseHealthy
		s.Weight = 1
	}
	return s
}

// decayedPenalty returns the penalty at now.
func (t *target) decayedPenalty(now time.Time, cfg *Config) float64 {
	elapsed := now.Sub(t.penaltyAt)
	if t.penalty == 0 || elapsed <= 0 {
		return t.penalty
	}
	return t.penalty * math.Exp2(-float64(elapsed)/float64(cfg.PenaltyHalfLife))
}

func (t *target) penalize(now time.Time, cfg *Config) {
	t.penalty = t.decayedPenalty(now, cfg) + 1
	t.penaltyAt = now
}

// ejectionTime returns the duration of an ejection, which doubles with each
// point of penalty.
func (t *target) ejectionTime(now time.Time, cfg *Config) time.Duration {
	factor := math.Exp2(max(0, t.decayedPenalty(now, cfg)-1))
	return time.Duration(min(float64(cfg.MaxEjectionTime), float64(cfg.BaseEjectionTime)*factor))
}

func (t *target) record(r Result) {
	t.decayedResults += 1 - resultSmoothing*t.decayedResults
	t.decayedFailures -= resultSmoothing * t.decayedFailures
	if r.Failed {
		t.decayedFailures++
		t.consecutiveFailures++
		return
	}
	t.consecutiveFailures = 0
}

// recentPenalty is the minimum penalty of a target that was ejected or rejoined
// within the last half-life.
const recentPenalty = 0.5

// shouldEject reports whether the recent results justify an ejection.
func (t *target) shouldEject(now time.Time, cfg *Config) bool {
	if t.consecutiveFailures >= cfg.ConsecutiveFailures {
		return true
	}
	// In slow start after a recent ejection or rejoin, a single failure suffices.
	if t.consecutiveFailures > 0 && now.Sub(t.slowStartAt) < cfg.SlowStart && t.decayedPenalty(now, cfg) >= recentPenalty {
		return true
	}
	// decayedResults approaches 1/resultSmoothing but never reaches it.
	// MinResults is capped at half of that, so that it can be reached.
	sufficient := t.decayedResults >= min(cfg.MinResults, 0.5/resultSmoothing)
	return sufficient && t.decayedFailures/t.decayedResults >= cfg.FailureRate
}

// resetResults discards the results from before an ejection or join.
func (t *target) resetResults() {
	t.consecutiveFailures = 0
	t.decayedResults = 0
	t.decayedFailures = 0
	t.latency = meanLatency{}
}

// meanLatency is a running geometric mean of latencies. meanLog is the mean of
// their logarithms in nanoseconds.
type meanLatency struct {
	meanLog float64
	samples int
}

func (l *meanLatency) add(d time.Duration, weight float64) {
	value := math.Log(float64(d))
	l.samples++
	if share := 1 / float64(l.samples); share > weight {
		weight = share
	}
	l.meanLog += weight * (value - l.meanLog)
}
