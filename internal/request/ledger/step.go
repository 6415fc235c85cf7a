package ledger

import (
	"fmt"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// FingerprintMismatchError reports a claim for a key that was used with another
// body.
type FingerprintMismatchError struct {
	Key Key
}

// Error names the key.
func (e *FingerprintMismatchError) Error() string {
	return fmt.Sprintf("key %x was used with another body", e.Key)
}

// NotHolderError reports a step of an attempt that does not hold the key.
type NotHolderError struct {
	Attempt ident.AttemptID
	// Holder is the attempt that holds the key, or empty if none does.
	Holder ident.AttemptID
}

// Error names both attempts.
func (e *NotHolderError) Error() string {
	return fmt.Sprintf("attempt %q does not hold the key, %q does", e.Attempt, e.Holder)
}

// ProofError reports a proof that does not show that the attempt never runs.
type ProofError struct {
	Proof Proof
	// Incarnation is the incarnation of the sidecar in the claim.
	Incarnation ident.Incarnation
	Dispatched  bool
}

// Error describes the proof and the claim.
func (e *ProofError) Error() string {
	return fmt.Sprintf("proof %d of incarnation %d does not free the claim of incarnation %d, dispatched %t",
		e.Proof.Kind, e.Proof.Incarnation, e.Incarnation, e.Dispatched)
}

// ContradictionError reports an attempt that ran although it was proved never to
// run. It means that a sidecar or router violated the protocol.
type ContradictionError struct {
	Attempt ident.AttemptID
}

// Error names the attempt.
func (e *ContradictionError) Error() string {
	return fmt.Sprintf("attempt %q ran after it was proved not to", e.Attempt)
}

// AttemptReusedError reports a claim by an attempt that was already released.
type AttemptReusedError struct {
	Attempt ident.AttemptID
}

// Error names the attempt.
func (e *AttemptReusedError) Error() string {
	return fmt.Sprintf("attempt %q was released and may not claim again", e.Attempt)
}

// Claim grants the key to an attempt, or replies with the key's current state.
// A repeated claim of the holder is granted again. The error is nil, a
// *FingerprintMismatchError, an *AttemptReusedError or, if the proof in c is
// not valid, a *ProofError.
func (l *Ledger) Claim(now time.Time, c Claim) (Reply, error) {
	s := l.shardOf(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	e := s.entries[c.Key]
	if e == nil {
		if reply := s.lookup(c.Key); reply.State != StateFree {
			return reply, nil
		}
		return s.grant(now, c), nil
	}
	return s.claimExisting(now, e, c)
}

// claimExisting replies to a claim of a key that has an entry. A proof about an
// attempt other than the holder has no effect; the reply names the holder. A
// released key is granted to any other attempt, whatever its fingerprint.
func (s *shard) claimExisting(now time.Time, e *entry, c Claim) (Reply, error) {
	if e.state == StateReleased {
		if e.attempt == c.Attempt {
			return s.reply(e), &AttemptReusedError{Attempt: c.Attempt}
		}
		return s.grant(now, c), nil
	}
	if e.fingerprint != c.Fingerprint {
		return Reply{State: e.state}, &FingerprintMismatchError{Key: c.Key}
	}
	if e.state == StateSettled {
		return s.reply(e), nil
	}
	if e.state == StateRunning && e.createdBy(c) {
		reply := s.reply(e)
		reply.Granted = true
		return reply, nil
	}
	if c.ReplacementProof == nil || c.ReplacementProof.Attempt != e.attempt {
		return s.reply(e), nil
	}
	if err := s.checkProof(e, *c.ReplacementProof); err != nil {
		return s.reply(e), err
	}
	if c.Attempt == e.attempt {
		return s.reply(e), &AttemptReusedError{Attempt: c.Attempt}
	}
	return s.grant(now, c), nil
}

// Dispatch records that the attempt is being sent to its target. The error is
// nil or a *NotHolderError.
func (l *Ledger) Dispatch(now time.Time, key Key, attempt ident.AttemptID) (Reply, error) {
	s := l.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	e := s.entries[key]
	if e == nil || e.attempt != attempt || e.state != StateRunning {
		return s.lookup(key), notHolderError(e, attempt)
	}
	e.dispatched = true
	return s.reply(e), nil
}

// Settle records how an attempt ended. The first answer is final: settling
// again has no effect. An unknown outcome may be replaced with an answer. The
// error is nil, a *NotHolderError or a *ContradictionError.
func (l *Ledger) Settle(now time.Time, settlement Settlement) (Reply, error) {
	s := l.shardOf(settlement.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	e := s.entries[settlement.Key]
	if e == nil || e.attempt != settlement.Attempt {
		return s.lookup(settlement.Key), settleError(e, settlement)
	}
	if e.state == StateSettled || (settlement.OutcomeUnknown && e.state != StateRunning) {
		return s.reply(e), nil
	}
	contradicted := e.state == StateReleased
	if settlement.OutcomeUnknown {
		s.finish(now, e, StateOutcomeUnknown, nil)
	} else {
		s.finish(now, e, StateSettled, encodeAnswer(settlement.Answer, s.cfg.MaxAnswerBytes))
	}
	if contradicted {
		return s.reply(e), &ContradictionError{Attempt: settlement.Attempt}
	}
	return s.reply(e), nil
}

// Release releases the key if proof shows that its attempt never runs. The error
// is nil, a *NotHolderError or a *ProofError.
func (l *Ledger) Release(now time.Time, key Key, proof Proof) (Reply, error) {
	s := l.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	e := s.entries[key]
	if e == nil || e.attempt != proof.Attempt || e.state == StateSettled {
		return s.lookup(key), notHolderError(e, proof.Attempt)
	}
	if e.state == StateReleased {
		return s.reply(e), nil
	}
	if err := s.checkProof(e, proof); err != nil {
		return s.reply(e), err
	}
	s.finish(now, e, StateReleased, nil)
	return s.reply(e), nil
}

// createdBy reports whether the claim is the one that created the entry.
func (e *entry) createdBy(c Claim) bool {
	return e.attempt == c.Attempt && e.target == c.Target && e.incarnation == c.Incarnation
}

// notHolderError returns the error for an attempt that does not hold the entry,
// which may be nil.
func notHolderError(e *entry, attempt ident.AttemptID) error {
	if e == nil {
		return &NotHolderError{Attempt: attempt}
	}
	return &NotHolderError{Attempt: attempt, Holder: e.attempt}
}

// settleError returns the error for a settlement by an attempt that does not
// hold the entry, which may be nil. An answer of the replaced attempt contradicts
// the proof that it never runs.
func settleError(e *entry, settlement Settlement) error {
	if e != nil && e.replacedAttempt == settlement.Attempt && !settlement.OutcomeUnknown {
		return &ContradictionError{Attempt: settlement.Attempt}
	}
	return notHolderError(e, settlement.Attempt)
}

// checkProof returns a *ProofError unless the proof is valid for the entry.
func (s *shard) checkProof(e *entry, proof Proof) error {
	if s.proofIsValid(e, proof) {
		return nil
	}
	return &ProofError{Proof: proof, Incarnation: e.incarnation, Dispatched: e.dispatched}
}

// proofIsValid reports whether the proof shows that the entry's attempt never
// runs. A sidecar's proof is valid only for its own incarnation, and the
// claiming router's only before it dispatches the attempt.
func proofIsValid(e *entry, proof Proof) bool {
	if proof.Attempt != e.attempt {
		return false
	}
	switch proof.Kind {
	case ProofNotSent:
		return e.state == StateRunning && !e.dispatched
	case ProofRefused, ProofTombstone:
		return proof.Incarnation == e.incarnation
	}
	return false
}
