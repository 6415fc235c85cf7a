package router

import (
	"context"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/relay"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
)

// ledgerTimeout bounds one ledger command.
const ledgerTimeout = 3 * time.Second

// ledger claims, releases and settles idempotency keys through the control
// processes. It implements relay.Ledger.
type ledger struct {
	control *remote.Client
	process string
	logger  log.Logger
}

// Claim implements relay.Ledger.
func (l *ledger) Claim(ctx context.Context, claim relay.Claim) relay.LedgerReply {
	body := &cmdpb.Claim{
		Customer:    string(claim.Key.Customer),
		Key:         claim.Key.IdempotencyKey,
		Fingerprint: uint64(claim.Fingerprint),
		Request:     string(claim.Request),
		Attempt:     string(claim.Attempt),
		Target:      string(claim.Target),
		Incarnation: uint64(claim.Incarnation),
	}
	if claim.ReplacedAttempt != "" {
		body.Replaces = &cmdpb.Proof{
			Kind:        cmdpb.ProofKind_PROOF_KIND_TOMBSTONE,
			Attempt:     string(claim.ReplacedAttempt),
			Incarnation: uint64(claim.ProofIncarnation),
		}
	}
	result, err := l.propose(ctx, &cmdpb.Command{Body: &cmdpb.Command_Claim{Claim: body}})
	l.logIfNotApplied("claim", claim.Attempt, result, err)
	if err != nil {
		return relay.LedgerReply{Event: tries.Event{Kind: tries.EventLedgerUnknown}}
	}
	return entryReply(result)
}

// Release implements relay.Ledger.
func (l *ledger) Release(ctx context.Context, key relay.LedgerKey, attempt ident.AttemptID, incarnation ident.Incarnation) relay.LedgerReply {
	result, err := l.propose(ctx, &cmdpb.Command{Body: &cmdpb.Command_Release{Release: &cmdpb.Release{
		Customer: string(key.Customer),
		Key:      key.IdempotencyKey,
		Proof: &cmdpb.Proof{
			Kind:        cmdpb.ProofKind_PROOF_KIND_REFUSED,
			Attempt:     string(attempt),
			Incarnation: uint64(incarnation),
		},
	}}})
	l.logIfNotApplied("release", attempt, result, err)
	if err != nil {
		return relay.LedgerReply{Event: tries.Event{Kind: tries.EventLedgerUnknown}}
	}
	if result.GetStatus() != cmdpb.Status_STATUS_OK {
		return entryReply(result)
	}
	return relay.LedgerReply{Event: tries.Event{Kind: tries.EventLedgerReleased, Attempt: attempt}}
}

// Settle implements relay.Ledger.
func (l *ledger) Settle(ctx context.Context, key relay.LedgerKey, attempt ident.AttemptID, outcome wire.Outcome, answer *relay.Answer) {
	body := &cmdpb.Settle{
		Customer: string(key.Customer),
		Key:      key.IdempotencyKey,
		Attempt:  string(attempt),
		Unknown:  outcome != wire.Outcome_OUTCOME_RAN,
	}
	if answer != nil {
		body.Answer = &cmdpb.Answer{Status: int32(answer.Status), Body: answer.Body, Truncated: answer.Truncated}
		for _, h := range answer.Headers {
			body.Answer.Headers = append(body.Answer.Headers, &cmdpb.HeaderField{Name: h.GetName(), Value: h.GetValue()})
		}
	}
	result, err := l.propose(ctx, &cmdpb.Command{Body: &cmdpb.Command_Settle{Settle: body}})
	l.logIfNotApplied("settle", attempt, result, err)
}

// logIfNotApplied logs a ledger command unless it was applied. The command was rejected,
// or its result is unknown.
func (l *ledger) logIfNotApplied(operation string, attempt ident.AttemptID, result *cmdpb.Result, err error) {
	if err == nil && result.GetStatus() == cmdpb.Status_STATUS_OK {
		return
	}
	_ = level.Warn(l.logger).Log("msg", "ledger command not applied", "step", operation, "attempt", attempt,
		"status", result.GetStatus(), "detail", result.GetDetail(), "err", err)
}

// propose proposes a command to control and returns its result.
func (l *ledger) propose(ctx context.Context, command *cmdpb.Command) (*cmdpb.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, ledgerTimeout)
	defer cancel()
	command.Actor = l.process
	return l.control.Propose(ctx, command)
}

// entryReply converts the ledger entry in a result to a reply.
func entryReply(result *cmdpb.Result) relay.LedgerReply {
	entry := result.GetEntry()
	event := tries.Event{
		Attempt:     ident.AttemptID(entry.GetAttempt()),
		Target:      ident.TargetName(entry.GetTarget()),
		Incarnation: ident.Incarnation(entry.GetIncarnation()),
	}
	switch entry.GetState() {
	case cmdpb.EntryState_ENTRY_STATE_GRANTED:
		event.Kind = tries.EventLedgerClaimed
	case cmdpb.EntryState_ENTRY_STATE_RUNNING:
		event.Kind = tries.EventLedgerHeld
	case cmdpb.EntryState_ENTRY_STATE_SETTLED:
		return settledReply(event, entry.GetAnswer())
	case cmdpb.EntryState_ENTRY_STATE_EXPIRED:
		// The answer is no longer stored. A truncated one makes package relay
		// report it as unavailable.
		return settledReply(event, &cmdpb.Answer{Truncated: true})
	case cmdpb.EntryState_ENTRY_STATE_UNKNOWN:
		event.Kind = tries.EventLedgerSettled
		event.Outcome = wire.Outcome_OUTCOME_UNKNOWN
	case cmdpb.EntryState_ENTRY_STATE_MISMATCH:
		event.Kind = tries.EventLedgerUnknown
		return relay.LedgerReply{Event: event, KeyConflict: true}
	default:
		event.Kind = tries.EventLedgerUnknown
	}
	return relay.LedgerReply{Event: event}
}

// settledReply returns the reply for a settled entry, with its stored answer.
func settledReply(event tries.Event, stored *cmdpb.Answer) relay.LedgerReply {
	event.Kind = tries.EventLedgerSettled
	event.Outcome = wire.Outcome_OUTCOME_RAN
	event.Status = int(stored.GetStatus())
	answer := &relay.Answer{Status: int(stored.GetStatus()), Body: stored.GetBody(), Truncated: stored.GetTruncated()}
	for _, h := range stored.GetHeaders() {
		answer.Headers = append(answer.Headers, &wire.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	return relay.LedgerReply{Event: event, Answer: answer}
}
