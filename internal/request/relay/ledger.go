package relay

import (
	"context"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

func (x *exchange) key() LedgerKey {
	return LedgerKey{Customer: x.request.Tries.Customer, IdempotencyKey: x.request.Tries.LedgerKey}
}

func (x *exchange) claim(ctx context.Context, action *tries.Action) {
	x.incarnations[action.Attempt] = action.Incarnation
	claim := Claim{
		Key:                 x.key(),
		Request:             x.request.Tries.Request,
		Attempt:             action.Attempt,
		Target:              action.Target,
		Incarnation:         action.Incarnation,
		Replaces:            action.Replaces,
		ReplacesIncarnation: x.incarnations[action.Replaces],
		Fingerprint:         x.request.Fingerprint,
	}
	go func() { x.postHeld(x.cfg.Ledger.Claim(ctx, claim)) }()
}

func (x *exchange) release(ctx context.Context, action *tries.Action) {
	attempt := action.Attempt
	incarnation := x.incarnations[attempt]
	go func() { x.postHeld(x.cfg.Ledger.Release(ctx, x.key(), attempt, incarnation)) }()
}

func (x *exchange) postHeld(held LedgerReply) {
	x.post(event{Event: held.Event, held: held})
}

// settleWait is how long the end of an answer waits for the ledger.
const settleWait = 250 * time.Millisecond

// settle gives the ledger a moment, so that a resend that follows at once finds
// the answer there. It never holds the caller back for longer: while a
// settlement is on its way, or after one that failed, the claim stands, and a
// resend joins the answer at the sidecar that ran it.
func (x *exchange) settle(ctx context.Context, action *tries.Action) {
	var answer *Answer
	if action.Outcome == wire.Outcome_OUTCOME_RAN {
		answer = &x.answer
	}
	key, attempt, outcome := x.key(), action.Attempt, action.Outcome
	settled := make(chan struct{})
	go func() {
		defer close(settled)
		x.cfg.Ledger.Settle(context.WithoutCancel(ctx), key, attempt, outcome, answer)
	}()
	select {
	case <-settled:
	case <-x.cfg.Clock.After(settleWait):
	}
}

// bury asks the sidecar of an attempt to refuse it for ever.
func (x *exchange) bury(ctx context.Context, action *tries.Action) {
	attempt, target, incarnation := action.Attempt, action.Target, action.Incarnation
	x.incarnations[attempt] = incarnation
	go func() {
		kind := x.askBury(ctx, attempt, target, incarnation)
		x.post(event{Event: tries.Event{Kind: kind, Attempt: attempt, Target: target}})
	}()
}

func (x *exchange) askBury(ctx context.Context, attempt ident.AttemptID, target ident.TargetName, incarnation ident.Incarnation) tries.EventKind {
	address, ok := x.cfg.Directory.Address(target)
	if !ok {
		return tries.EventTombstoneUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	call := &wire.Call{Body: &wire.Call_Tombstone{Tombstone: &wire.Tombstone{
		Attempt:     string(attempt),
		Incarnation: uint64(incarnation),
	}}}
	reply := new(wire.TombstoneReply)
	if err := x.cfg.Links.Ask(ctx, address, call, reply); err != nil {
		return tries.EventTombstoneUnknown
	}
	if reply.GetIncarnation() != uint64(incarnation) {
		return tries.EventTombstoneUnknown
	}
	if reply.GetBuried() {
		return tries.EventTombstoned
	}
	return tries.EventAttemptSeen
}
