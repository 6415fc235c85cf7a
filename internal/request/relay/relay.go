// Package relay runs one request at the sidecars of its targets. It performs
// the I/O actions that the state machine in package tries returns, and reports
// the outcome of each back to the machine as an event.
package relay

import (
	"context"
	"time"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Clock provides the current time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Links opens streams to sidecars and makes calls.
type Links interface {
	// Open sends a call on a new stream. A *link.DialError means that nothing
	// was sent.
	Open(ctx context.Context, address string, call *wire.Call) (*link.Stream, error)
	// Ask makes a call that has a single reply.
	Ask(ctx context.Context, address string, call *wire.Call, reply Message) error
	// Guard aborts the stream when ctx ends, until stop is called.
	Guard(ctx context.Context, stream *link.Stream) (stop func())
}

// Directory resolves targets to their sidecars and is updated from the
// sidecars' replies.
type Directory interface {
	// Address returns the host:port of the target's sidecar.
	Address(target ident.TargetName) (string, bool)
	// Incarnation returns the incarnation of the target's sidecar, or zero if
	// it is unknown.
	Incarnation(target ident.TargetName) ident.Incarnation
	// ObserveLoad records the load and incarnation from a reply, and the
	// revision of the records that the sidecar uses.
	ObserveLoad(target ident.TargetName, load *wire.Load, revision ident.Revision)
	// ObservePoolLoad records the load digest of a pool.
	ObservePoolLoad(d *wire.LoadDigest)
	// ReportFailure records that the target's sidecar did not respond.
	ReportFailure(target ident.TargetName)
	// WaitForRevision fetches newer records from the target and blocks until the
	// records of this process have reached revision or ctx is done.
	WaitForRevision(ctx context.Context, target ident.TargetName, revision ident.Revision)
}

// Plan proposes the targets of one request in order.
type Plan interface {
	tries.Plan
	// Offer returns the flags to send to the sidecar of the last proposed
	// target.
	Offer() Offer
	// MarkRefused records that a target did not run the request. The refusal is
	// nil if the stream to the target broke or the target crashed.
	MarkRefused(target ident.TargetName, refusal *wire.Refusal)
}

// Offer holds the flags that a sidecar receives with a request.
type Offer struct {
	// Final means that the target must queue the request if it can't run it
	// at once.
	Final bool
	// Redirected means that an earlier target's refusal led to this offer.
	// It is sent as Submit.moved.
	Redirected bool
	// NoSpill means that the target must not hand the queued request on to
	// another target, since that has been done the maximum number of times.
	// It is sent as Submit.stay.
	NoSpill bool
}

// Ledger stores the claims of requests that are not idempotent.
type Ledger interface {
	// Claim requests a key for an attempt.
	Claim(ctx context.Context, claim Claim) LedgerReply
	// Release releases the key of an attempt that the sidecar with the given
	// incarnation has refused or tombstoned.
	Release(ctx context.Context, key LedgerKey, attempt ident.AttemptID, incarnation ident.Incarnation) LedgerReply
	// Settle records the outcome of an attempt. The answer is nil unless the
	// attempt ran.
	Settle(ctx context.Context, key LedgerKey, attempt ident.AttemptID, outcome wire.Outcome, answer *Answer)
}

// LedgerKey identifies one entry of the ledger.
type LedgerKey struct {
	Customer       ident.CustomerName
	IdempotencyKey string
}

// Claim requests a ledger key for an attempt.
type Claim struct {
	Key         LedgerKey
	Request     ident.RequestID
	Attempt     ident.AttemptID
	Target      ident.TargetName
	Incarnation ident.Incarnation
	// ReplacedAttempt is the attempt that holds the key and is proved never to
	// run, or empty if the claim replaces none. ProofIncarnation is the
	// incarnation of the sidecar that proved it.
	ReplacedAttempt  ident.AttemptID
	ProofIncarnation ident.Incarnation
	Fingerprint      ident.Fingerprint
}

// LedgerReply is the ledger's reply to a claim or release.
type LedgerReply struct {
	// Event is the reply as an event for the state machine.
	Event tries.Event
	// Answer is the recorded answer if the request has already completed.
	Answer *Answer
	// KeyConflict means that the key was used with different content.
	KeyConflict bool
}

// Answer is the complete answer to a request, as recorded in the ledger.
type Answer struct {
	Status  int
	Headers []*wire.Header
	Body    []byte
	// Truncated means that the answer was too long to record. Body is then
	// empty or a prefix, and must not be written to a caller.
	Truncated bool
}

// AnswerWriter receives the answer as it arrives. WriteHead is called at most
// once, and before any call of WriteData. After a failed write the context
// passed to Run must end, since Run ignores the error of WriteData.
type AnswerWriter interface {
	WriteHead(status int, headers []*wire.Header)
	WriteData(data []byte) error
}

// BufferedWriter is an AnswerWriter that sends nothing to the caller before
// the answer is complete. Reset discards what was written so far.
type BufferedWriter interface {
	AnswerWriter
	Reset()
}

// Result describes how the request ended.
type Result struct {
	Outcome    wire.Outcome
	Status     int
	RetryAfter time.Duration
	// Truncated means that the caller received only part of the answer.
	Truncated bool
	// HeadSent means that the head of the answer was written.
	HeadSent bool
	// AnswerUnavailable means that the request already ran under the same key
	// and that its complete answer is not recorded.
	AnswerUnavailable bool
	// KeyConflict means that the idempotency key was used with different
	// content.
	KeyConflict bool
	// CachedTokens is the number of prompt tokens found in the target's cache.
	CachedTokens ident.Tokens
	Record       *tries.Record
}

// Config holds the dependencies and limits that all requests of a router
// share.
type Config struct {
	Clock     Clock
	Tracer    *trace.Tracer
	Links     Links
	Directory Directory
	Ledger    Ledger
	// MaxRecordedBytes is the longest answer body that the ledger records.
	MaxRecordedBytes ident.Bytes
}
