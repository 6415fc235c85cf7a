package ledger

import (
	"fmt"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// FingerprintMismatchError is the error for a key that was used with another body.
type FingerprintMismatchError struct {
	Key Key
}

// Error names the key.
func (e *FingerprintMismatchError) Error() string {
	return fmt.Sprintf("key %x was used with another body", e.Key)
}

// NotHolderError is the error for a step of an attempt that does not hold the
// key.
type NotHolderError struct {
	Attempt ident.AttemptID
	// Holder holds the key, empty if no attempt does.
	Holder ident.AttemptID
}

// Error names both attempts.
func (e *NotHolderError) Error() string {
	return fmt.Sprintf("attempt %q does not hold the key, %q does", e.Attempt, e.Holder)
}

// ProofError is the error for a proof that does not prove that the attempt
// never runs.
type ProofError struct {
	Proof Proof
	// Incarnation is the sidecar's for which the key was claimed.
	Incarnation ident.Incarnation
	Dispatched  bool
}

// Error says what the proof was and what was claimed.
func (e *ProofError) Error() string {
	return fmt.Sprintf("proof %d of incarnation %d does not free the claim of incarnation %d, dispatched %t",
		e.Proof.Kind, e.Proof.Incarnation, e.Incarnation, e.Dispatched)
}

// ContradictionError is the error for an attempt that ran after it was proved
// never to run. It means that a sidecar or router broke its word.
type ContradictionError struct {
	Attempt ident.AttemptID
}

// Error names the attempt.
func (e *ContradictionError) Error() string {
	return fmt.Sprintf("attempt %q ran after it was proved not to", e.Attempt)
}

// AttemptReusedError is the error for a claim by an attempt that was released.
type AttemptReusedError struct {
	Attempt ident.AttemptID
}

// Error names the attempt.
func (e *AttemptReusedError) Error() string {
	return fmt.Sprintf("attempt %q was released and may not claim again", e.Attempt)
}

// Claim grants the key to an attempt, or replies with what is held for it.
// The same claim again is granted again. The error is nil, a *FingerprintMismatchError,
// a *AttemptReusedError or, with a proof that does not hold, a *ProofError.
func (l *Ledger) Claim(now time.Time, c Claim) (Reply, error) {
	s := l.shardOf(c.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	e := s.live[c.Key]
	if e == nil {
		if reply := s.lookup(c.Key); reply.State != StateFree {
			return reply, nil
		}
		return s.grant(now, c), nil
	}
	return s.reclaim(now, e, c)
}

// reclaim answers a claim of a key that is held in full.
func (s *shard) reclaim(now time.Time, e *entry, c Claim) (Reply, error) {
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
	if e.state == StateRunning && e.holds(c) {
		reply := s.reply(e)
		reply.Granted = true
		return reply, nil
	}
	if c.Replaces == nil || c.Replaces.Attempt != e.attempt {
		return s.reply(e), nil
	}
	if err := s.checkProof(e, *c.Replaces); err != nil {
		return s.reply(e), err
	}
	if c.Attempt == e.attempt {
		return s.reply(e), &AttemptReusedError{Attempt: c.Attempt}
	}
	return s.grant(now, c), nil
}

// Dispatch records that the attempt is being sent. The error is nil or a
// *NotHolderError.
func (l *Ledger) Dispatch(now time.Time, key Key, attempt ident.AttemptID) (Reply, error) {
	s := l.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	e := s.live[key]
	if e == nil || e.attempt != attempt || e.state != StateRunning {
		return s.lookup(key), holderError(e, attempt)
	}
	e.dispatched = true
	return s.reply(e), nil
}

// Settle records how an attempt ended. The first answer stays: the same
// attempt may settle again without effect, and an unknown outcome may become
// known. The error is nil, a *NotHolderError or a *ContradictionError.
func (l *Ledger) Settle(now time.Time, settlement Settlement) (Reply, error) {
	s := l.shardOf(settlement.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	e := s.live[settlement.Key]
	if e == nil || e.attempt != settlement.Attempt {
		return s.lookup(settlement.Key), strangerError(e, settlement)
	}
	if e.state == StateSettled || (settlement.Unknown && e.state != StateRunning) {
		return s.reply(e), nil
	}
	contradicted := e.state == StateReleased
	if settlement.Unknown {
		s.finish(now, e, StateUnknown, nil)
	} else {
		s.finish(now, e, StateSettled, encodeAnswer(settlement.Answer, s.cfg.MaxAnswerBytes))
	}
	if contradicted {
		return s.reply(e), &ContradictionError{Attempt: settlement.Attempt}
	}
	return s.reply(e), nil
}

// Release frees the key on proof that its attempt never runs. The error is
// nil, a *NotHolderError or a *ProofError.
func (l *Ledger) Release(now time.Time, key Key, proof Proof) (Reply, error) {
	s := l.shardOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	e := s.live[key]
	if e == nil || e.attempt != proof.Attempt || e.state == StateSettled {
		return s.lookup(key), holderError(e, proof.Attempt)
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

// holds reports whether the claim is the one that holds the entry.
func (e *entry) holds(c Claim) bool {
	return e.attempt == c.Attempt && e.target == c.Target && e.incarnation == c.Incarnation
}

// holderError returns the error for an attempt that does not hold the entry,
// which may be nil.
func holderError(e *entry, attempt ident.AttemptID) error {
	if e == nil {
		return &NotHolderError{Attempt: attempt}
	}
	return &NotHolderError{Attempt: attempt, Holder: e.attempt}
}

// strangerError returns the error for the settlement of an attempt that does
// not hold the entry, which may be nil.
func strangerError(e *entry, settlement Settlement) error {
	if e != nil && e.voided == settlement.Attempt && !settlement.Unknown {
		return &ContradictionError{Attempt: settlement.Attempt}
	}
	return holderError(e, settlement.Attempt)
}

// checkProof returns a *ProofError unless the proof frees the entry.
func (s *shard) checkProof(e *entry, proof Proof) error {
	if s.proves(e, proof) {
		return nil
	}
	return &ProofError{Proof: proof, Incarnation: e.incarnation, Dispatched: e.dispatched}
}

// proves reports whether the proof shows that the entry's attempt never runs.
// A sidecar's word holds for its own incarnation alone, and the owner's only
// until it dispatches.
func proves(e *entry, proof Proof) bool {
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
