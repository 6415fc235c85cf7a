package store

import (
	"errors"
	"fmt"

	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/request/ledger"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
)

// maxIdempotencyKeyBytes limits a caller's Idempotency-Key.
const maxIdempotencyKeyBytes = 255

// ledgerOperation describes one operation on the ledger and its outcome, for the
// result and the audit entry.
type ledgerOperation struct {
	kind     audit.Kind
	customer string
	key      string
	request  string
	detail   string
	reply    ledger.Reply
	err      error
}

// checkLedgerFields returns what is wrong with the customer, key and attempt
// of a ledger command, or an empty string.
func checkLedgerFields(customer, key, attempt string) string {
	switch {
	case customer == "" || key == "" || attempt == "":
		return "customer, key and attempt must be set"
	case len(key) > maxIdempotencyKeyBytes:
		return fmt.Sprintf("key is longer than %d bytes", maxIdempotencyKeyBytes)
	}
	return ""
}

// claim claims a key for an attempt. It writes no audit entry if the key is
// already claimed or settled.
func (s *Store) claim(c *cmdpb.Command, body *cmdpb.Claim) *cmdpb.Result {
	if problem := checkLedgerFields(body.GetCustomer(), body.GetKey(), body.GetAttempt()); problem != "" {
		return invalidResult(problem)
	}
	reply, err := s.ledger.Claim(s.now, ledger.Claim{
		Key:              ledgerKey(body),
		Fingerprint:      ident.Fingerprint(body.GetFingerprint()),
		Attempt:          ident.AttemptID(body.GetAttempt()),
		Target:           ident.TargetName(body.GetTarget()),
		Incarnation:      ident.Incarnation(body.GetIncarnation()),
		ReplacementProof: proofFromProto(body.GetReplaces()),
	})
	if err == nil && !reply.Granted {
		return &cmdpb.Result{Status: cmdpb.Status_STATUS_OK, Entry: ledgerReplyToProto(reply, nil)}
	}
	detail := fmt.Sprintf("attempt %s at %s incarnation %d", body.GetAttempt(), body.GetTarget(), body.GetIncarnation())
	if replaced := body.GetReplaces(); replaced != nil && err == nil {
		detail += fmt.Sprintf(" in place of %s by %s", replaced.GetAttempt(), replaced.GetKind())
	}
	return s.ledgerResult(c, ledgerOperation{
		kind: audit.KindClaim, customer: body.GetCustomer(), key: body.GetKey(),
		request: body.GetRequest(), detail: detail, reply: reply, err: err,
	})
}

// dispatch records that an attempt is being sent to its target.
func (s *Store) dispatch(c *cmdpb.Command, body *cmdpb.Dispatch) *cmdpb.Result {
	if problem := checkLedgerFields(body.GetCustomer(), body.GetKey(), body.GetAttempt()); problem != "" {
		return invalidResult(problem)
	}
	reply, err := s.ledger.Dispatch(s.now, ledgerKey(body), ident.AttemptID(body.GetAttempt()))
	return s.ledgerResult(c, ledgerOperation{
		kind: audit.KindDispatch, customer: body.GetCustomer(), key: body.GetKey(),
		detail: "attempt " + body.GetAttempt(), reply: reply, err: err,
	})
}

// settle records how an attempt ended.
func (s *Store) settle(c *cmdpb.Command, body *cmdpb.Settle) *cmdpb.Result {
	if problem := checkLedgerFields(body.GetCustomer(), body.GetKey(), body.GetAttempt()); problem != "" {
		return invalidResult(problem)
	}
	reply, err := s.ledger.Settle(s.now, ledger.Settlement{
		Key:            ledgerKey(body),
		Attempt:        ident.AttemptID(body.GetAttempt()),
		OutcomeUnknown: body.GetUnknown(),
		Answer:         ledger.AnswerFromProto(body.GetAnswer()),
	})
	detail := fmt.Sprintf("attempt %s ran, status %d", body.GetAttempt(), body.GetAnswer().GetStatus())
	if body.GetUnknown() {
		detail = fmt.Sprintf("attempt %s ended unknown", body.GetAttempt())
	}
	return s.ledgerResult(c, ledgerOperation{
		kind: audit.KindSettle, customer: body.GetCustomer(), key: body.GetKey(),
		detail: detail, reply: reply, err: err,
	})
}

// release frees a key, given a proof that its attempt did not run.
func (s *Store) release(c *cmdpb.Command, body *cmdpb.Release) *cmdpb.Result {
	if problem := checkLedgerFields(body.GetCustomer(), body.GetKey(), body.GetProof().GetAttempt()); problem != "" {
		return invalidResult(problem)
	}
	proof := proofFromProto(body.GetProof())
	reply, err := s.ledger.Release(s.now, ledgerKey(body), *proof)
	detail := fmt.Sprintf("attempt %s by %s incarnation %d", proof.Attempt, body.GetProof().GetKind(), proof.Incarnation)
	return s.ledgerResult(c, ledgerOperation{
		kind: audit.KindRelease, customer: body.GetCustomer(), key: body.GetKey(),
		detail: detail, reply: reply, err: err,
	})
}

// ledgerResult returns the result of a ledger operation and records it in the
// audit chain.
func (s *Store) ledgerResult(c *cmdpb.Command, op ledgerOperation) *cmdpb.Result {
	result := &cmdpb.Result{Status: cmdpb.Status_STATUS_OK, Entry: ledgerReplyToProto(op.reply, op.err)}
	event := audit.Event{
		Kind: op.kind, Request: op.request,
		Subject: op.customer + "/" + op.key, Detail: op.detail,
	}
	if op.err != nil {
		result.Status = cmdpb.Status_STATUS_REFUSED
		result.Detail = op.err.Error()
		event.Kind = audit.KindRefused
		event.Detail = fmt.Sprintf("%s %s: %v", op.kind, op.detail, op.err)
		s.reportViolation(op.err)
	}
	return s.appendAudit(result, c, event)
}

// reportViolation reports err if it shows that an invariant is broken.
func (s *Store) reportViolation(err error) {
	var contradiction *ledger.ContradictionError
	if s.cfg.OnViolation != nil && errors.As(err, &contradiction) {
		s.cfg.OnViolation(err)
	}
}

// keyedCommand is a command that names a ledger key.
type keyedCommand interface {
	GetCustomer() string
	GetKey() string
}

func ledgerKey(body keyedCommand) ledger.Key {
	return ledger.KeyOf(ident.CustomerName(body.GetCustomer()), body.GetKey())
}

// proofKinds maps the kinds of proof of a command to those of the ledger.
// Unknown kinds map to the zero kind, which proves nothing.
var proofKinds = map[cmdpb.ProofKind]ledger.ProofKind{
	cmdpb.ProofKind_PROOF_KIND_NOT_SENT:  ledger.ProofNotSent,
	cmdpb.ProofKind_PROOF_KIND_REFUSED:   ledger.ProofRefused,
	cmdpb.ProofKind_PROOF_KIND_TOMBSTONE: ledger.ProofTombstone,
}

func proofFromProto(in *cmdpb.Proof) *ledger.Proof {
	if in == nil {
		return nil
	}
	return &ledger.Proof{
		Kind:        proofKinds[in.GetKind()],
		Attempt:     ident.AttemptID(in.GetAttempt()),
		Incarnation: ident.Incarnation(in.GetIncarnation()),
	}
}

// ledgerStates maps the states of a ledger key to those in a result. A
// released key is free: its last attempt is proved never to run, so it may be
// claimed again.
var ledgerStates = map[ledger.State]cmdpb.EntryState{
	ledger.StateFree:           cmdpb.EntryState_ENTRY_STATE_FREE,
	ledger.StateRunning:        cmdpb.EntryState_ENTRY_STATE_RUNNING,
	ledger.StateSettled:        cmdpb.EntryState_ENTRY_STATE_SETTLED,
	ledger.StateOutcomeUnknown: cmdpb.EntryState_ENTRY_STATE_UNKNOWN,
	ledger.StateReleased:       cmdpb.EntryState_ENTRY_STATE_FREE,
	ledger.StateExpired:        cmdpb.EntryState_ENTRY_STATE_EXPIRED,
}

// ledgerReplyToProto returns the entry of a result that describes a ledger
// reply and its error.
func ledgerReplyToProto(reply ledger.Reply, err error) *cmdpb.Entry {
	entry := &cmdpb.Entry{
		State: ledgerStates[reply.State], Attempt: string(reply.Attempt), Target: string(reply.Target),
		Incarnation: uint64(reply.Incarnation), Dispatched: reply.Dispatched,
		Answer: ledger.AnswerToProto(reply.Answer), RetryAfterMs: uint32(reply.RetryAfter.Milliseconds()),
	}
	var mismatch *ledger.FingerprintMismatchError
	switch {
	case errors.As(err, &mismatch):
		entry.State = cmdpb.EntryState_ENTRY_STATE_MISMATCH
	case reply.Granted:
		entry.State = cmdpb.EntryState_ENTRY_STATE_GRANTED
	}
	return entry
}
