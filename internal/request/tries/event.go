package tries

import (
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// EventKind says what happened.
type EventKind uint8

// Kinds of events, each with the fields of Event that it uses.
const (
	// EventStart begins the request with Candidates.
	EventStart EventKind = iota + 1
	// EventSubmitted reports that the Submit of Stream was written.
	EventSubmitted
	// EventRefused reports a Refusal: Stream, Attempt, Reason, RetryAfter,
	// Forward and, if known, Incarnation.
	EventRefused
	// EventHead reports a Head: Stream, Attempt, Status, Incarnation.
	EventHead
	// EventData reports Length bytes at Offset: Stream, Attempt.
	EventData
	// EventEnd reports an End: Stream, Attempt, Length, Outcome, Failed,
	// TargetCrashed.
	EventEnd
	// EventStreamBroken reports that Stream ended without End or Refusal; Unsent
	// says that no byte of the Submit was written.
	EventStreamBroken
	// EventTimeout reports that the time given by Machine.NextTimeout has come.
	EventTimeout
	// EventCallerGone reports that the caller closed its connection.
	EventCallerGone
	// EventLedgerClaimed reports that Attempt holds the ledger key.
	EventLedgerClaimed
	// EventLedgerHeld reports that another Attempt, sent to Target under
	// Incarnation, holds the ledger key.
	EventLedgerHeld
	// EventLedgerSettled reports that the ledger holds how the request ended:
	// Outcome and, when that is OUTCOME_RAN, Status and the recorded answer.
	EventLedgerSettled
	// EventLedgerReleased reports that the claim of Attempt was withdrawn.
	EventLedgerReleased
	// EventLedgerUnknown reports that the ledger gave no answer to the last
	// claim or release.
	EventLedgerUnknown
	// EventTombstoned reports that Attempt is refused for ever at its target.
	EventTombstoned
	// EventAttemptSeen reports that the target has seen Attempt and can't bury it.
	EventAttemptSeen
	// EventTombstoneUnknown reports that the target gave no answer to a Bury, or
	// runs under another incarnation.
	EventTombstoneUnknown
	// EventQuarantined reports that the request's fingerprint is quarantined, with
	// RetryAfter or none.
	EventQuarantined
)

// StreamID numbers the streams that one Machine opened. An attempt that is
// resumed has one stream for each time it was sent.
type StreamID uint32

// Event is one thing that happened to the request. Kind says which of the
// other fields count.
type Event struct {
	Kind EventKind
	// Stream is the stream on which a frame came.
	Stream StreamID
	// Attempt is the attempt named in the frame.
	Attempt ident.AttemptID
	// Candidates are targets in order of preference.
	Candidates []Candidate
	Reason     wire.RefusalReason
	// RetryAfter is zero when the target gave none.
	RetryAfter time.Duration
	// Forward is the target that holds the chat's context, or empty.
	Forward ident.TargetName
	Status  int
	// Offset is the position of the frame in the answer.
	Offset uint64
	// Length is that of the data, or of the whole answer in EventEnd.
	Length        uint64
	Outcome       wire.Outcome
	Failed        bool
	TargetCrashed bool
	Unsent        bool
	Target        ident.TargetName
	Incarnation   ident.Incarnation
}

// Candidate is a target that ranking proposes.
type Candidate struct {
	Target ident.TargetName
	// Incarnation is the sidecar's, as the router last heard it, or zero.
	Incarnation ident.Incarnation
	// Reason is why ranking proposes it, for the decision record.
	Reason string
}
