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
	// ejectInterval is how long a sidecar that did not answer once is passed
	// over.
	ejectInterval = time.Second
	// probeInterval is how often the router looks whether a probe is due.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = time.Second
)

// judge notes how a request or probe of a target went, and keeps targets that
// are ejected out of the ranking.
func (v *view) judge(target ident.TargetName, result health.Result) {
	now := v.cfg.Clock.Now()
	v.health.Report(now, target, result)
	state := v.health.State(now, target)
	switch {
	case state.Phase == health.PhaseEjected, state.Phase == health.PhaseHalfOpen:
		v.eject(target, now.Add(max(ejectInterval, state.Until.Sub(now))))
	case result.Failed:
		v.eject(target, now.Add(ejectInterval))
	case result.Probe:
		v.eject(target, now)
	}
}

func (v *view) eject(target ident.TargetName, until time.Time) {
	for _, p := range v.current.Load().holding[target] {
		p.ranking.Eject(target, until)
	}
}

// enlist tells the checker which targets there are now.
func (v *view) enlist(old, set *record.Set) {
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

// probe asks targets that were ejected or not heard of, within the checker's
// budget, until ctx ends.
func (v *view) probe(ctx context.Context) {
	for v.cfg.Clock.Sleep(ctx, probeInterval) == nil {
		v.health.ExpireDeparted(v.cfg.Clock.Now())
		if target, due := v.health.NextProbe(v.cfg.Clock.Now()); due {
			go v.probeOne(ctx, target)
		}
	}
}

func (v *view) probeOne(ctx context.Context, target ident.TargetName) {
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
	v.judge(target, health.Result{Probe: true, Failed: failed})
	if !failed {
		v.learn(target, reply.GetLoad(), ident.Revision(reply.GetRevision()))
	}
}
