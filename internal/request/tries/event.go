package tries

import (
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// EventKind is the kind of an Event.
type EventKind uint8

// Kinds of events. Each comment names the fields of Event that apply.
const (
	// EventStart starts the request with Candidates.
	EventStart EventKind = iota + 1
	// EventSubmitted reports that the Submit of Stream was written.
	EventSubmitted
	// EventRefused reports a Refusal: Stream, Attempt, Reason, RetryAfter,
	// Forward and, if known, Incarnation.
	EventRefused
	// EventHead reports a response Head: Stream, Attempt, Status, Incarnation.
	EventHead
	// EventData reports Length bytes of the response at Offset: Stream,
	// Attempt.
	EventData
	// EventEnd reports the End of a response: Stream, Attempt, Length, Outcome,
	// Failed, TargetCrashed.
	EventEnd
	// EventStreamBroken reports that Stream ended without an End or Refusal.
	// Unsent says that no byte of the Submit was written.
	EventStreamBroken
	// EventTimeout reports that the time returned by Machine.NextTimeout has
	// come.
	EventTimeout
	// EventCallerGone reports that the caller closed its connection.
	EventCallerGone
	// EventLedgerClaimed reports that Attempt holds the ledger key.
	EventLedgerClaimed
	// EventLedgerHeld reports that another Attempt, sent to Target under
	// Incarnation, holds the ledger key.
	EventLedgerHeld
	// EventLedgerSettled reports that the ledger has recorded how the request
	// ended: Outcome and, if that is OUTCOME_RAN, Status and the recorded
	// response.
	EventLedgerSettled
	// EventLedgerReleased reports that the claim of Attempt was released.
	EventLedgerReleased
	// EventLedgerUnknown reports that the ledger did not reply to the last
	// claim or release.
	EventLedgerUnknown
	// EventTombstoned reports that the target of Attempt refuses it
	// permanently.
	EventTombstoned
	// EventAttemptSeen reports that the target has seen Attempt and so cannot
	// record a tombstone for it.
	EventAttemptSeen
	// EventTombstoneUnknown reports that the target did not reply to a
	// tombstone request or runs under another incarnation.
	EventTombstoneUnknown
	// EventQuarantined reports that the fingerprint of the request is
	// quarantined. RetryAfter may be zero.
	EventQuarantined
)

// StreamID numbers the streams opened by one Machine. An attempt has one
// stream for its Submit and one for each join.
type StreamID uint32

// Event is one thing that happened to the request. Kind determines which of the
// other fields apply.
type Event struct {
	Kind EventKind
	// Stream is the stream on which a frame arrived.
	Stream StreamID
	// Attempt is the attempt named in the frame.
	Attempt ident.AttemptID
	// Candidates lists targets in order of preference.
	Candidates []Candidate
	Reason     wire.RefusalReason
	// RetryAfter is zero when the target gave none.
	RetryAfter time.Duration
	// Forward is the target that holds the chat's cached context, or empty.
	Forward ident.TargetName
	Status  int
	// Offset is the position of the data in the response.
	Offset uint64
	// Length is the size of the data or, for EventEnd, of the whole response.
	Length  uint64
	Outcome wire.Outcome
	// Failed says that the End carried an error.
	Failed bool
	// TargetCrashed says that the target crashed during the attempt.
	TargetCrashed bool
	// Unsent says that no byte of the Submit was written.
	Unsent      bool
	Target      ident.TargetName
	Incarnation ident.Incarnation
}

// Candidate is a target proposed by ranking.
type Candidate struct {
	Target ident.TargetName
	// Incarnation is the last incarnation of the sidecar known to the router,
	// or zero.
	Incarnation ident.Incarnation
	// Reason is why ranking proposed the target, for the decision record.
	Reason string
}
