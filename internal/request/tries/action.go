package tries

import (
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// ActionKind says what the router must do.
type ActionKind uint8

// Kinds of actions, each with the fields of Action that it uses.
const (
	// ActionSend opens Stream to Target and submits Attempt. The sidecar must
	// refuse it unless Incarnation is its own, or zero and the request is
	// idempotent. With Join the
	// sidecar must serve the attempt from Offset if it has seen it in
	// Incarnation, and refuse and bury it otherwise; it must never run it.
	ActionSend ActionKind = iota + 1
	// ActionWriteHead writes the head that came on Stream to the caller.
	ActionWriteHead
	// ActionWriteData writes the data of the event to the caller.
	ActionWriteData
	// ActionCancel closes Stream. With Stop the sidecar is asked to stop
	// Attempt, or to bury it if it has not come yet.
	ActionCancel
	// ActionClaimLedger claims the ledger key for Attempt at Target and
	// Incarnation. The claim of Replaces, unless empty, is withdrawn.
	ActionClaimLedger
	// ActionReleaseLedger withdraws the claim of Attempt, which never ran.
	ActionReleaseLedger
	// ActionSettleLedger records that Attempt ended with Outcome; when it is
	// OUTCOME_RAN, with the answer.
	ActionSettleLedger
	// ActionTombstone asks Target to refuse Attempt for ever under Incarnation.
	ActionTombstone
	// ActionWriteRecorded writes the answer of the ledger to the caller.
	ActionWriteRecorded
	// ActionDiscard drops the answer that was written so far, which the router
	// holds back from the caller until it is whole.
	ActionDiscard
	// ActionFinish ends the request: Outcome, Status, RetryAfter, Truncated.
	ActionFinish
)

// Action is one thing that the router must do. Kind says which of the other
// fields count.
type Action struct {
	Kind        ActionKind
	Stream      StreamID
	Attempt     ident.AttemptID
	Target      ident.TargetName
	Incarnation ident.Incarnation
	// Offset is the position from which a joined answer goes on.
	Offset   uint64
	Join     bool
	Stop     bool
	Replaces ident.AttemptID
	Outcome  wire.Outcome
	// Status is the HTTP status of the answer.
	Status int
	// RetryAfter is zero when the caller should not come back.
	RetryAfter time.Duration
	// Truncated says that the caller has part of an answer and no more comes;
	// the router must break the connection or write an error event.
	Truncated bool
}
