package router

import (
	"context"
	"time"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/conn/health"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

const (
	// ejectInterval is how long a sidecar is excluded from the ranking after a
	// single failure.
	ejectInterval = time.Second
	// probeInterval is how often the router checks whether a probe is due.
	probeInterval = 100 * time.Millisecond
	// probeTimeout bounds the probe of one target.
	probeTimeout = time.Second
)

// updateHealth records the result of a request to or a probe of a target, and
// excludes failed and ejected targets from the rankings.
func (v *view) updateHealth(target ident.TargetName, result health.Result) {
	now := v.cfg.Clock.Now()
	v.health.Report(now, target, result)
	state := v.health.State(now, target)
	switch {
	case state.Phase == health.PhaseEjected, state.Phase == health.PhaseHalfOpen:
		v.eject(target, now.Add(max(ejectInterval, state.Until.Sub(now))))
	case result.Failed:
		v.eject(target, now.Add(ejectInterval))
	case result.Probe:
		// A successful probe ends the exclusion at once.
		v.eject(target, now)
	}
}

// eject excludes a target from the rankings of its pools until the given time.
func (v *view) eject(target ident.TargetName, until time.Time) {
	for _, p := range v.current.Load().poolsByTarget[target] {
		p.ranking.Eject(target, until)
	}
}

// updateProbedTargets adds new targets to the health checker and removes deleted ones.
func (v *view) updateProbedTargets(old, set *record.Set) {
	now := v.cfg.Clock.Now()
	for _, target := range set.Targets() {
		if _, known := old.Target(target.Name); !known {
			v.health.Join(now, target.Name, health.PoolName(digest.TargetPool(target)))
		}
	}
	for _, target := range old.Targets() {
		if _, kept := set.Target(target.Name); !kept {
			v.health.Leave(now, target.Name)
		}
	}
}

// runProbes probes the targets that the health checker selects, within its probe
// budget, until ctx ends.
func (v *view) runProbes(ctx context.Context) {
	for v.cfg.Clock.Sleep(ctx, probeInterval) == nil {
		v.health.ExpireDeparted(v.cfg.Clock.Now())
		if target, due := v.health.NextProbe(v.cfg.Clock.Now()); due {
			go v.probeTarget(ctx, target)
		}
	}
}

// probeTarget probes one target and records the result.
func (v *view) probeTarget(ctx context.Context, target ident.TargetName) {
	address, ok := v.Address(target)
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply := new(wire.ProbeReply)
	call := &wire.Call{Body: &wire.Call_Probe{Probe: new(wire.Probe)}}
	err := v.cfg.Link.Ask(ctx, address, call, reply)
	failed := err != nil || reply.GetTarget() != string(target)
	v.updateHealth(target, health.Result{Probe: true, Failed: failed})
	if !failed {
		v.applyLoadReport(target, reply.GetLoad(), ident.Revision(reply.GetRevision()))
	}
}
