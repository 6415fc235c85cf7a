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

// offers is the plan of one request's offers. It implements relay.Plan.
type offers struct {
	plan *rank.Plan
	last rank.Offer
	// made lists the offers so far.
	made []rank.Offer
	// again finds the request's pool in the newest records; it returns nil if
	// they no longer let the request run.
	again func() *rank.Plan
	// renewed counts the plans that were made anew.
	renewed int
}

// maxRenewed bounds how often new records change the plan of one request.
const maxRenewed = 3

// Next implements tries.Plan.
func (o *offers) Next() (tries.Candidate, bool) {
	if o.plan == nil {
		return tries.Candidate{}, false
	}
	step, ok := o.plan.Next()
	if !ok {
		return tries.Candidate{}, false
	}
	o.last = step
	o.made = append(o.made, step)
	return tries.Candidate{Target: step.Target, Reason: step.Reason.String()}, true
}

// Offer implements relay.Plan.
func (o *offers) Offer() relay.Offer {
	return relay.Offer{Final: o.last.Final, Redirected: o.last.NoRedirect, NoSpill: o.last.NoSpill}
}

// MarkRefused implements relay.Plan.
func (o *offers) MarkRefused(target ident.TargetName, refusal *wire.Refusal) {
	step, ok := o.stepOf(target)
	if !ok || o.plan == nil {
		return
	}
	if refusal == nil {
		o.plan.Refused(step, rank.Refusal{Unavailable: true})
		return
	}
	if refusal.GetReason() == wire.RefusalReason_REFUSAL_REASON_STALE_REVISION && o.renewed < maxRenewed {
		o.renewed++
		o.plan = o.again()
		return
	}
	o.plan.Refused(step, rank.Refusal{
		Load:         watch.DecodeLoad(refusal.GetLoad()),
		LastServedBy: ident.TargetName(refusal.GetForward()),
		LessLoaded:   ident.TargetName(refusal.GetLighter()),
		Moved:        refusal.GetReason() == wire.RefusalReason_REFUSAL_REASON_MOVED,
		Unavailable:  closes(refusal.GetReason()),
	})
}

// stepOf returns the newest offer to a target.
func (o *offers) stepOf(target ident.TargetName) (rank.Offer, bool) {
	for i := len(o.made) - 1; i >= 0; i-- {
		if o.made[i].Target == target {
			return o.made[i], true
		}
	}
	return rank.Offer{}, false
}

// closes reports whether a refusal says that the target takes no work at all.
func closes(reason wire.RefusalReason) bool {
	switch reason {
	case wire.RefusalReason_REFUSAL_REASON_LEAVING,
		wire.RefusalReason_REFUSAL_REASON_TARGET_DOWN,
		wire.RefusalReason_REFUSAL_REASON_WRONG_TARGET:
		return true
	default:
		return false
	}
}

// noteServed tells a chat's home sidecar that another target served the chat,
// so that any router finds it in one refused hop.
func (r *Router) noteServed(c *call, result relay.Result) {
	if c.query.Chat == 0 || result.Outcome != wire.Outcome_OUTCOME_RAN || len(result.Record.Attempts) == 0 {
		return
	}
	served := result.Record.Attempts[len(result.Record.Attempts)-1].Target
	home, ok := c.pool.ranking.Home(c.query)
	if !ok || home.Target == served {
		return
	}
	address, ok := r.view.Address(home.Target)
	if !ok {
		return
	}
	note := &wire.Served{
		Chat:   uint64(c.query.Chat),
		Target: string(served),
		Tokens: c.submit.GetPromptTokens() + c.submit.GetOutputTokens(),
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), pullTimeout)
		defer cancel()
		stream, err := r.cfg.Link.Open(ctx, address, &wire.Call{Body: &wire.Call_Served{Served: note}})
		if err == nil {
			_ = stream.Close()
		}
	}()
}
