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

func pool(c *health.Checker, size int) []ident.TargetName {
	names := make([]ident.TargetName, size)
	for i := range names {
		names[i] = ident.TargetName(fmt.Sprintf("t%d", i))
		c.Join(epoch, names[i], "p")
	}
	return names
}

func fail(c *health.Checker, now time.Time, name ident.TargetName) {
	for range health.DefaultFailures {
		c.Report(now, name, health.Result{Failed: true})
	}
}

func TestEjectionTrialAndSlowStart(t *testing.T) {
	c := health.New(health.Config{})
	pool(c, 4)
	now := epoch.Add(time.Hour)
	assert.Equal(t, c.State(now, "t0").Phase, health.PhaseHealthy)
	fail(c, now, "t0")
	state := c.State(now, "t0")
	assert.Equal(t, state.Phase, health.PhaseEjected)
	assert.Equal(t, state.Weight, 0.0)
	assert.Equal(t, state.Until, now.Add(health.DefaultEjectFor))

	now = state.Until
	assert.Equal(t, c.State(now, "t0").Phase, health.PhaseHalfOpen)
	name, ok := c.NextProbe(now)
	assert.Assert(t, ok)
	assert.Equal(t, name, ident.TargetName("t0"))
	c.Report(now, "t0", health.Result{Probe: true})
	assert.Equal(t, c.State(now, "t0").Phase, health.PhaseSlowStart)
	assert.Equal(t, c.State(now, "t0").Weight, health.DefaultSlowStartFrom)
	again := health.New(health.Config{})
	pool(again, 4)
	fail(again, epoch, "t0")
	soon := again.State(epoch, "t0").Until
	again.Report(soon, "t0", health.Result{Probe: true})
	again.Report(soon, "t0", health.Result{Failed: true})
	assert.Equal(t, again.State(soon, "t0").Phase, health.PhaseEjected, "one failure is enough in a slow start")
	half := c.State(now.Add(health.DefaultSlowStart/2), "t0").Weight
	assert.Assert(t, half > 0.5 && half < 0.6)
	assert.Equal(t, c.State(now.Add(health.DefaultSlowStart), "t0").Weight, 1.0)
}

func TestFlappingLastsLonger(t *testing.T) {
	c := health.New(health.Config{})
	pool(c, 4)
	now := epoch.Add(time.Hour)
	var out []time.Duration
	for range 5 {
		fail(c, now, "t0")
		until := c.State(now, "t0").Until
		out = append(out, until.Sub(now))
		now = until
		c.Report(now, "t0", health.Result{Probe: true})
	}
	for i := 1; i < len(out); i++ {
		assert.Assert(t, out[i] > out[i-1], "%v", out)
	}
	now = now.Add(20 * health.DefaultFlapHalfLife)
	fail(c, now, "t0")
	assert.Assert(t, c.State(now, "t0").Until.Sub(now) < health.DefaultEjectFor+time.Second, "old flaps are forgotten")
}

func TestJoinsInARowAreHeldOut(t *testing.T) {
	c := health.New(health.Config{})
	pool(c, 4)
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
	names := pool(c, 10)
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

// TestRandomisedFloor fails targets at random and checks that no pool is
// ejected below its floor, and that the fallback covers a pool that shrinks.
func TestRandomisedFloor(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 20}, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 0))
		c := health.New(health.Config{})
		names := pool(c, 1+rng.IntN(12))
		now := epoch
		for range 2000 {
			now = now.Add(time.Duration(rng.IntN(2000)) * time.Millisecond)
			name := names[rng.IntN(len(names))]
			switch rng.IntN(6) {
			case 0:
				c.Report(now, name, health.Result{Probe: true, Failed: rng.IntN(2) == 0})
			default:
				fail(c, now, name)
			}
			usable, all := c.Usable(now, names, nil)
			assert.Assert(t, !all, "the floor holds by itself")
			assert.Assert(t, float64(len(usable)) >= health.DefaultMinUsable*float64(len(names)))
		}
		usable, all := c.Usable(now, append(names, "gone1", "gone2", "gone3", "gone4", "gone5", "gone6",
			"gone7", "gone8", "gone9", "gone10", "gone11", "gone12", "gone13"), nil)
		assert.Assert(t, all)
		assert.Equal(t, len(usable), len(names)+13)
	})
}

// TestProbeTraffic counts the bytes of probes of 700 targets, of which many
// are ejected, over any second of ten minutes.
func TestProbeTraffic(t *testing.T) {
	const targets, minutes = 700, 10
	c := health.New(health.Config{})
	names := pool(c, targets)
	for i := 0; i < targets; i += 3 {
		fail(c, epoch, names[i])
	}
	probes, trials := 0, 0
	for tick := range minutes * 60 * 20 {
		now := epoch.Add(time.Duration(tick) * 50 * time.Millisecond)
		name, ok := c.NextProbe(now)
		if !ok {
			continue
		}
		probes++
		if c.State(now, name).Phase == health.PhaseHalfOpen {
			trials++
		}
		c.Report(now, name, health.Result{Probe: true})
	}
	rate := float64(probes*health.DefaultProbeSize) / (minutes * 60)
	t.Logf("%d probes, %d of them trials, %.0f B/s", probes, trials, rate)
	assert.Assert(t, rate <= health.DefaultProbeRate+health.DefaultProbeSize/(minutes*60)+1)
	assert.Equal(t, trials, (targets+2)/3, "every ejected target got its trial")
}
