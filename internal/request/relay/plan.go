package relay

import (
	"context"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

// plan gives the machine the targets of the request's plan, each with the
// incarnation of its sidecar where a claim of the ledger needs it.
type plan struct {
	Plan
	exchange *exchange
	ctx      context.Context
}

// Next implements tries.Plan.
func (p *plan) Next() (tries.Candidate, bool) {
	candidate, ok := p.Plan.Next()
	if !ok {
		return candidate, false
	}
	x := p.exchange
	candidate.Incarnation = x.cfg.Directory.Incarnation(candidate.Target)
	if candidate.Incarnation == 0 && x.request.Tries.Once {
		candidate.Incarnation = x.probe(p.ctx, candidate.Target)
	}
	return candidate, true
}

// tellPlan tells the plan of a target that did not take the request.
func (x *exchange) tellPlan(e *event) {
	var refusal *wire.Refusal
	switch {
	case e.Kind == tries.EventRefused:
		refusal = e.refusal
	case e.Kind == tries.EventStreamBroken:
	case e.Kind == tries.EventEnd && e.TargetCrashed:
	default:
		return
	}
	if target, ok := x.targetOf(e.Stream); ok {
		x.request.Plan.MarkRefused(target, refusal)
	}
}

func (x *exchange) targetOf(stream tries.StreamID) (ident.TargetName, bool) {
	for _, s := range x.streams {
		if s.id == stream {
			return s.target, true
		}
	}
	return "", false
}
