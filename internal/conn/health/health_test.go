package health_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/health"
	"cactusline.dev/cactusline/internal/process/seeds"
	"cactusline.dev/cactusline/internal/version/ident"
)

var epoch = time.Unix(1000, 0)

func joinTargets(c *health.Checker, size int) []ident.TargetName {
	names := make([]ident.TargetName, size)
	for i := range names {
		names[i] = ident.TargetName(fmt.Sprintf("t%d", i))
		c.Join(epoch, names[i], "p")
	}
	return names
}

func reportFailures(c *health.Checker, now time.Time, name ident.TargetName) {
	for range health.DefaultConsecutiveFailures {
		c.Report(now, name, health.Result{Failed: true})
	}
}

func TestEjectionHalfOpenProbeAndSlowStart(t *testing.T) {
	c := health.New(health.Config{})
	joinTargets(c, 4)
	now := epoch.Add(time.Hour)
	assert.Equal(t, c.State(now, "t0").Phase, health.PhaseHealthy)
	reportFailures(c, now, "t0")
	state := c.State(now, "t0")
	assert.Equal(t, state.Phase, health.PhaseEjected)
	assert.Equal(t, state.Weight, 0.0)
	assert.Equal(t, state.Until, now.Add(health.DefaultBaseEjectionTime))

	now = state.Until
	assert.Equal(t, c.State(now, "t0").Phase, health.PhaseHalfOpen)
	name, ok := c.NextProbe(now)
	assert.Assert(t, ok)
	assert.Equal(t, name, ident.TargetName("t0"))
	c.Report(now, "t0", health.Result{Probe: true})
	assert.Equal(t, c.State(now, "t0").Phase, health.PhaseSlowStart)
	assert.Equal(t, c.State(now, "t0").Weight, health.DefaultSlowStartMinWeight)
	// A second checker: one failure after readmission ejects the target again.
	relapse := health.New(health.Config{})
	joinTargets(relapse, 4)
	reportFailures(relapse, epoch, "t0")
	probeTime := relapse.State(epoch, "t0").Until
	relapse.Report(probeTime, "t0", health.Result{Probe: true})
	relapse.Report(probeTime, "t0", health.Result{Failed: true})
	assert.Equal(t, relapse.State(probeTime, "t0").Phase, health.PhaseEjected, "one failure must eject a target in slow start after an ejection")
	midWeight := c.State(now.Add(health.DefaultSlowStart/2), "t0").Weight
	assert.Assert(t, midWeight > 0.5 && midWeight < 0.6)
	assert.Equal(t, c.State(now.Add(health.DefaultSlowStart), "t0").Weight, 1.0)
}

func TestRepeatedEjectionsLastLonger(t *testing.T) {
	c := health.New(health.Config{})
	joinTargets(c, 4)
	now := epoch.Add(time.Hour)
	var ejectionTimes []time.Duration
	for range 5 {
		reportFailures(c, now, "t0")
		until := c.State(now, "t0").Until
		ejectionTimes = append(ejectionTimes, until.Sub(now))
		now = until
		c.Report(now, "t0", health.Result{Probe: true})
	}
	for i := 1; i < len(ejectionTimes); i++ {
		assert.Assert(t, ejectionTimes[i] > ejectionTimes[i-1], "%v", ejectionTimes)
	}
	now = now.Add(20 * health.DefaultPenaltyHalfLife)
	reportFailures(c, now, "t0")
	assert.Assert(t, c.State(now, "t0").Until.Sub(now) < health.DefaultBaseEjectionTime+time.Second, "old penalties must have decayed")
}

func TestRepeatedJoinsAreSuppressed(t *testing.T) {
	c := health.New(health.Config{})
	joinTargets(c, 4)
	for i := range 5 {
		now := epoch.Add(time.Duration(i) * time.Second)
		c.Leave(now, "t0")
		c.Join(now, "t0", "p")
	}
	assert.Equal(t, c.State(epoch.Add(5*time.Second), "t0").Phase, health.PhaseEjected)
	c.Leave(epoch, "t0")
	c.ExpireDeparted(epoch.Add(time.Hour))
	c.Join(epoch.Add(time.Hour), "t0", "p")
	assert.Equal(t, c.State(epoch.Add(time.Hour), "t0").Phase, health.PhaseSlowStart)
}

func TestSlowTargetIsEjected(t *testing.T) {
	c := health.New(health.Config{})
	names := joinTargets(c, 10)
	rng := rand.New(rand.NewPCG(1, 1))
	now := epoch.Add(time.Hour)
	for range 200 {
		for i, name := range names {
			latency := time.Duration(100+rng.IntN(400)) * time.Millisecond
			if i == 3 {
				latency *= 8
			}
			c.Report(now, name, health.Result{Latency: latency})
		}
	}
	for i, name := range names {
		assert.Equal(t, c.State(now, name).Weight == 0, i == 3, "%s", name)
	}
}

// TestRandomisedMinUsableShare fails targets at random and checks that the
// usable share of the pool never falls below the minimum. It also checks that
// Usable falls back to all members if most of them are unknown.
func TestRandomisedMinUsableShare(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 20}, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 0))
		c := health.New(health.Config{})
		names := joinTargets(c, 1+rng.IntN(12))
		now := epoch
		for range 2000 {
			now = now.Add(time.Duration(rng.IntN(2000)) * time.Millisecond)
			name := names[rng.IntN(len(names))]
			switch rng.IntN(6) {
			case 0:
				c.Report(now, name, health.Result{Probe: true, Failed: rng.IntN(2) == 0})
			default:
				reportFailures(c, now, name)
			}
			usable, all := c.Usable(now, names, nil)
			assert.Assert(t, !all, "ejections alone must not reach the fallback")
			assert.Assert(t, float64(len(usable)) >= health.DefaultMinUsableShare*float64(len(names)))
		}
		usable, all := c.Usable(now, append(names, "gone1", "gone2", "gone3", "gone4", "gone5", "gone6",
			"gone7", "gone8", "gone9", "gone10", "gone11", "gone12", "gone13"), nil)
		assert.Assert(t, all)
		assert.Equal(t, len(usable), len(names)+13)
	})
}

// TestProbeTrafficStaysWithinRate measures the probe traffic of 700 targets, a
// third of them ejected, over ten minutes.
func TestProbeTrafficStaysWithinRate(t *testing.T) {
	const targets, minutes = 700, 10
	c := health.New(health.Config{})
	names := joinTargets(c, targets)
	for i := 0; i < targets; i += 3 {
		reportFailures(c, epoch, names[i])
	}
	probes, halfOpenProbes := 0, 0
	for tick := range minutes * 60 * 20 {
		now := epoch.Add(time.Duration(tick) * 50 * time.Millisecond)
		name, ok := c.NextProbe(now)
		if !ok {
			continue
		}
		probes++
		if c.State(now, name).Phase == health.PhaseHalfOpen {
			halfOpenProbes++
		}
		c.Report(now, name, health.Result{Probe: true})
	}
	rate := float64(probes*health.DefaultProbeSize) / (minutes * 60)
	t.Logf("%d probes, %d of them half-open, %.0f B/s", probes, halfOpenProbes, rate)
	// The first probe needs no refill; 1 allows for the integer division.
	assert.Assert(t, rate <= health.DefaultProbeRate+health.DefaultProbeSize/(minutes*60)+1)
	assert.Equal(t, halfOpenProbes, (targets+2)/3, "every ejected target must be probed")
}
