package relay

import (
	"context"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

// incarnationPlan wraps the request's plan for the state machine. It adds the
// incarnation of each target's sidecar. If the incarnation is unknown and a
// ledger claim needs it, Next probes the sidecar, which takes up to callTimeout.
type incarnationPlan struct {
	Plan
	exchange *exchange
	ctx      context.Context // for probes, as tries.Plan.Next takes no context
}

// Next implements tries.Plan.
func (p *incarnationPlan) Next() (tries.Candidate, bool) {
	candidate, ok := p.Plan.Next()
	if !ok {
		return candidate, false
	}
	x := p.exchange
	candidate.Incarnation = x.cfg.Directory.Incarnation(candidate.Target)
	if candidate.Incarnation == 0 && x.request.MachineConfig.Once {
		candidate.Incarnation = x.probeIncarnation(p.ctx, candidate.Target)
	}
	return candidate, true
}

// reportTargetFailure tells the plan that a target refused the request, broke its
// stream or crashed.
func (x *exchange) reportTargetFailure(e *event) {
	var refusal *wire.Refusal
	switch {
	case e.Kind == tries.EventRefused:
		refusal = e.refusal
	case e.Kind == tries.EventStreamBroken:
	case e.Kind == tries.EventEnd && e.TargetCrashed:
	default:
		return
	}
	if target, ok := x.streamTarget(e.Stream); ok {
		x.request.Plan.MarkRefused(target, refusal)
	}
}

func (x *exchange) streamTarget(stream tries.StreamID) (ident.TargetName, bool) {
	for _, s := range x.streams {
		if s.id == stream {
			return s.target, true
		}
	}
	return "", false
}
