// Package relay carries one request through its attempts: it does the I/O
// that the state machine in package tries asks for, and feeds back what
// happened.
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

// Clock is what the package needs of a clock.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// Links opens calls to sidecars.
type Links interface {
	Open(ctx context.Context, address string, call *wire.Call) (*link.Stream, error)
	Ask(ctx context.Context, address string, call *wire.Call, reply Message) error
	Guard(ctx context.Context, stream *link.Stream) (stop func())
}

// Directory knows where the sidecars are, and learns from their replies.
type Directory interface {
	// Address returns the host:port of the target's sidecar.
	Address(target ident.TargetName) (string, bool)
	// Incarnation returns the sidecar's, or zero if it is not known.
	Incarnation(target ident.TargetName) ident.Incarnation
	// ObserveLoad takes the load and incarnation that came with a reply, and the
	// revision that is in force there.
	ObserveLoad(target ident.TargetName, load *wire.Load, revision ident.Revision)
	// ObservePoolLoad takes the load of a pool.
	ObservePoolLoad(d *wire.LoadDigest)
	// ReportFailure takes an attempt whose sidecar did not answer.
	ReportFailure(target ident.TargetName)
	// WaitForRevision returns once the records of this process stand at revision or
	// above, or ctx ends.
	WaitForRevision(ctx context.Context, target ident.TargetName, revision ident.Revision)
}

// Plan proposes the targets of one request.
type Plan interface {
	tries.Plan
	// Offer returns what the sidecar of the last proposed target is told.
	Offer() Offer
	// MarkRefused takes the refusal of a target, nil if it takes no work at all.
	MarkRefused(target ident.TargetName, refusal *wire.Refusal)
}

// Offer is one proposal.
type Offer struct {
	// Final marks the last offer: the target is to queue what it can't run.
	Final bool
	// Redirected marks an offer to which a refusal has led.
	Redirected bool
	// NoSpill marks the last of the final offers.
	NoSpill bool
}

// Ledger holds the claims of requests that are not idempotent.
type Ledger interface {
	Claim(ctx context.Context, claim Claim) LedgerReply
	Release(ctx context.Context, key LedgerKey, attempt ident.AttemptID, incarnation ident.Incarnation) LedgerReply
	Settle(ctx context.Context, key LedgerKey, attempt ident.AttemptID, outcome wire.Outcome, answer *Answer)
}

// LedgerKey names one entry of the ledger.
type LedgerKey struct {
	Customer       ident.CustomerName
	IdempotencyKey string
}

// Claim asks for a key on behalf of an attempt.
type Claim struct {
	Key         LedgerKey
	Request     ident.RequestID
	Attempt     ident.AttemptID
	Target      ident.TargetName
	Incarnation ident.Incarnation
	// Replaces is an attempt whose claim is proved void, or empty, and
	// ReplacesIncarnation that of the sidecar that proved it.
	Replaces            ident.AttemptID
	ReplacesIncarnation ident.Incarnation
	Fingerprint         ident.Fingerprint
}

// LedgerReply is the ledger's reply, as an event for the state machine and, when the
// request has ended before, its answer.
type LedgerReply struct {
	Event  tries.Event
	Answer *Answer
	// KeyConflict says that the key stands for another request's content.
	KeyConflict bool
}

// Answer is a whole answer.
type Answer struct {
	Status  int
	Headers []*wire.Header
	Body    []byte
	// Truncated says that the answer was too long to be kept; Body is empty.
	Truncated bool
}

// AnswerWriter takes the answer as it comes. Its methods are called in order: Head
// at most once, before any Data.
type AnswerWriter interface {
	WriteHead(status int, headers []*wire.Header)
	WriteData(data []byte) error
}

// BufferedWriter is an AnswerWriter that can drop what it was given, since it shows nothing
// before the answer is whole.
type BufferedWriter interface {
	AnswerWriter
	Reset()
}

// Result is how the request ended.
type Result struct {
	Outcome    wire.Outcome
	Status     int
	RetryAfter time.Duration
	// Truncated says that the caller holds part of an answer.
	Truncated bool
	// HeadSent says that the caller was given a head.
	HeadSent bool
	// AnswerUnavailable says that the request ran before, under the same key, and that
	// its answer is not kept any more.
	AnswerUnavailable bool
	// KeyConflict says that the idempotency key was used with other content.
	KeyConflict bool
	// CachedTokens is how many tokens of the prompt were found in cache.
	CachedTokens ident.Tokens
	Record       *tries.Record
}

// Config is what all requests of a router share.
type Config struct {
	Clock     Clock
	Tracer    *trace.Tracer
	Links     Links
	Directory Directory
	Ledger    Ledger
	// MaxRecordedBytes bounds an answer that the ledger keeps.
	MaxRecordedBytes ident.Bytes
}
