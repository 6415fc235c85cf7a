package router

import (
	"context"

	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/rank"
	"cactusline.dev/cactusline/internal/request/relay"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

// requestPlan chooses the targets to which one request is offered. It implements
// relay.Plan, which includes tries.Plan.
type requestPlan struct {
	plan      *rank.Plan
	lastOffer rank.Offer
	// offers are all offers made so far.
	offers []rank.Offer
	// routeAgain makes a plan from the current records. It returns nil if the
	// request no longer has a route.
	routeAgain func() *rank.Plan
	// replanCount is the number of calls of routeAgain.
	replanCount int
}

// maxReplans bounds how often a request is replanned because of new records.
const maxReplans = 3

// Next implements tries.Plan.
func (p *requestPlan) Next() (tries.Candidate, bool) {
	if p.plan == nil {
		return tries.Candidate{}, false
	}
	offer, ok := p.plan.Next()
	if !ok {
		return tries.Candidate{}, false
	}
	p.lastOffer = offer
	p.offers = append(p.offers, offer)
	return tries.Candidate{Target: offer.Target, Reason: offer.Reason.String()}, true
}

// Offer implements relay.Plan.
func (p *requestPlan) Offer() relay.Offer {
	// The target of a redirected offer must not redirect the request again.
	return relay.Offer{Final: p.lastOffer.Final, Redirected: p.lastOffer.NoRedirect, NoSpill: p.lastOffer.NoSpill}
}

// MarkRefused implements relay.Plan.
func (p *requestPlan) MarkRefused(target ident.TargetName, refusal *wire.Refusal) {
	offer, ok := p.lastOfferTo(target)
	if !ok || p.plan == nil {
		return
	}
	if refusal == nil {
		p.plan.Refused(offer, rank.Refusal{Unavailable: true})
		return
	}
	if refusal.GetReason() == wire.RefusalReason_REFUSAL_REASON_STALE_REVISION && p.replanCount < maxReplans {
		p.replanCount++
		p.plan = p.routeAgain()
		return
	}
	p.plan.Refused(offer, rank.Refusal{
		Load:         watch.DecodeLoad(refusal.GetLoad()),
		LastServedBy: ident.TargetName(refusal.GetForward()),
		LessLoaded:   ident.TargetName(refusal.GetLighter()),
		Moved:        refusal.GetReason() == wire.RefusalReason_REFUSAL_REASON_MOVED,
		Unavailable:  isUnavailable(refusal.GetReason()),
	})
}

// lastOfferTo returns the most recent offer to a target.
func (p *requestPlan) lastOfferTo(target ident.TargetName) (rank.Offer, bool) {
	for i := len(p.offers) - 1; i >= 0; i-- {
		if p.offers[i].Target == target {
			return p.offers[i], true
		}
	}
	return rank.Offer{}, false
}

// isUnavailable reports whether a refusal means that the target accepts no work.
func isUnavailable(reason wire.RefusalReason) bool {
	switch reason {
	case wire.RefusalReason_REFUSAL_REASON_LEAVING,
		wire.RefusalReason_REFUSAL_REASON_TARGET_DOWN,
		wire.RefusalReason_REFUSAL_REASON_WRONG_TARGET:
		return true
	default:
		return false
	}
}

// notifyHomeSidecar tells a chat's home sidecar which other target served the chat.
// When it refuses the chat's next request, the home sidecar names that target, so any
// router finds it after a single refusal.
func (r *Router) notifyHomeSidecar(routed *routedRequest, result relay.Result) {
	if routed.query.Chat == 0 || result.Outcome != wire.Outcome_OUTCOME_RAN || len(result.Record.Attempts) == 0 {
		return
	}
	served := result.Record.Attempts[len(result.Record.Attempts)-1].Target
	home, ok := routed.pool.ranking.Home(routed.query)
	if !ok || home.Target == served {
		return
	}
	address, ok := r.view.Address(home.Target)
	if !ok {
		return
	}
	report := &wire.Served{
		Chat:   uint64(routed.query.Chat),
		Target: string(served),
		Tokens: routed.submit.GetPromptTokens() + routed.submit.GetOutputTokens(),
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), sidecarCallTimeout)
		defer cancel()
		stream, err := r.cfg.Link.Open(ctx, address, &wire.Call{Body: &wire.Call_Served{Served: report}})
		if err == nil {
			_ = stream.Close()
		}
	}()
}
