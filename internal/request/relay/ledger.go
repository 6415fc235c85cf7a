package relay

import (
	"context"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

func (x *exchange) ledgerKey() LedgerKey {
	return LedgerKey{Customer: x.request.MachineConfig.Customer, IdempotencyKey: x.request.MachineConfig.LedgerKey}
}

func (x *exchange) claim(ctx context.Context, action *tries.Action) {
	x.incarnations[action.Attempt] = action.Incarnation
	claim := Claim{
		Key:              x.ledgerKey(),
		Request:          x.request.MachineConfig.Request,
		Attempt:          action.Attempt,
		Target:           action.Target,
		Incarnation:      action.Incarnation,
		ReplacedAttempt:  action.Replaces,
		ProofIncarnation: x.incarnations[action.Replaces],
		Fingerprint:      x.request.Fingerprint,
	}
	go func() { x.postLedgerReply(x.cfg.Ledger.Claim(ctx, claim)) }()
}

func (x *exchange) release(ctx context.Context, action *tries.Action) {
	attempt := action.Attempt
	incarnation := x.incarnations[attempt]
	go func() { x.postLedgerReply(x.cfg.Ledger.Release(ctx, x.ledgerKey(), attempt, incarnation)) }()
}

func (x *exchange) postLedgerReply(reply LedgerReply) {
	x.post(event{Event: reply.Event, ledgerReply: reply})
}

// settleTimeout bounds how long the event loop waits for the ledger to record an
// outcome.
const settleTimeout = 250 * time.Millisecond

// settle records the outcome of an attempt in the ledger. It waits for at most
// settleTimeout, so that an immediate resend finds the recorded answer without
// delaying the caller for longer. While the settlement is pending, or after it
// failed, the claim stays in place and a resend joins the attempt at the
// sidecar that ran it.
func (x *exchange) settle(ctx context.Context, action *tries.Action) {
	var answer *Answer
	if action.Outcome == wire.Outcome_OUTCOME_RAN {
		answer = &x.answer
	}
	key, attempt, outcome := x.ledgerKey(), action.Attempt, action.Outcome
	settled := make(chan struct{})
	go func() {
		defer close(settled)
		x.cfg.Ledger.Settle(context.WithoutCancel(ctx), key, attempt, outcome, answer)
	}()
	select {
	case <-settled:
	case <-x.cfg.Clock.After(settleTimeout):
	}
}

// tombstone asks the sidecar of an attempt to refuse the attempt permanently.
func (x *exchange) tombstone(ctx context.Context, action *tries.Action) {
	attempt, target, incarnation := action.Attempt, action.Target, action.Incarnation
	x.incarnations[attempt] = incarnation
	go func() {
		kind := x.sendTombstone(ctx, attempt, target, incarnation)
		x.post(event{Event: tries.Event{Kind: kind, Attempt: attempt, Target: target}})
	}()
}

// sendTombstone calls the sidecar and returns the event that describes its
// reply. The reply of another incarnation proves nothing.
func (x *exchange) sendTombstone(ctx context.Context, attempt ident.AttemptID, target ident.TargetName, incarnation ident.Incarnation) tries.EventKind {
	address, ok := x.cfg.Directory.Address(target)
	if !ok {
		return tries.EventTombstoneUnknown
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
