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
	// Observe takes the load and incarnation that came with a reply, and the
	// revision that is in force there.
	Observe(target ident.TargetName, load *wire.Load, revision ident.Revision)
	// Digest takes the load of a pool.
	Digest(d *wire.LoadDigest)
	// Failed takes an attempt whose sidecar did not answer.
	Failed(target ident.TargetName)
	// CatchUp returns once the records of this process stand at revision or
	// above, or ctx ends.
	CatchUp(ctx context.Context, target ident.TargetName, revision ident.Revision)
}

// Plan proposes the targets of one request.
type Plan interface {
	tries.Plan
	// Step returns what the sidecar of the last proposed target is told.
	Step() Step
	// Refused takes the refusal of a target, nil if it takes no work at all.
	Refused(target ident.TargetName, refusal *wire.Refusal)
}

// Step is one proposal.
type Step struct {
	// Final marks the last offer: the target is to queue what it can't run.
	Final bool
	// Moved marks an offer to which a refusal has led.
	Moved bool
	// Stay marks the last of the final offers.
	Stay bool
}

// Ledger holds the claims of requests that are not idempotent.
type Ledger interface {
	Claim(ctx context.Context, claim Claim) Held
	Release(ctx context.Context, key Key, attempt ident.AttemptID, incarnation ident.Incarnation) Held
	Settle(ctx context.Context, key Key, attempt ident.AttemptID, outcome wire.Outcome, answer *Answer)
}

// Key names one entry of the ledger.
type Key struct {
	Customer ident.CustomerName
	Name     string
}

// Claim asks for a key on behalf of an attempt.
type Claim struct {
	Key         Key
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

// Held is the ledger's reply, as an event for the state machine and, when the
// request has ended before, its answer.
type Held struct {
	Event  tries.Event
	Answer *Answer
	// Conflict says that the key stands for another request's content.
	Conflict bool
}

// Answer is a whole answer.
type Answer struct {
	Status  int
	Headers []*wire.Header
	Body    []byte
	// Truncated says that the answer was too long to be kept; Body is empty.
	Truncated bool
}

// Caller takes the answer as it comes. Its methods are called in order: Head
// at most once, before any Data.
type Caller interface {
	Head(status int, headers []*wire.Header)
	Data(data []byte) error
}

// Resetter is a Caller that can drop what it was given, since it shows nothing
// before the answer is whole.
type Resetter interface {
	Caller
	Reset()
}

// Result is how the request ended.
type Result struct {
	Outcome    wire.Outcome
	Status     int
	RetryAfter time.Duration
	// Truncated says that the caller holds part of an answer.
	Truncated bool
	// Started says that the caller was given a head.
	Started bool
	// NotKept says that the request ran before, under the same key, and that
	// its answer is not kept any more.
	NotKept bool
	// Conflict says that the idempotency key was used with other content.
	Conflict bool
	// WarmTokens is how many tokens of the prompt were found in cache.
	WarmTokens ident.Tokens
	Record     *tries.Record
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
