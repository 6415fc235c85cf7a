package tries

import (
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// ActionKind is the kind of an Action.
type ActionKind uint8

// Kinds of actions. Each comment names the fields of Action that apply.
const (
	// ActionSend opens Stream to Target and submits Attempt. The sidecar must
	// refuse the attempt unless Incarnation is its own, or Incarnation is zero
	// and the request is idempotent. With Join, the sidecar must serve the
	// response from Offset if it has seen the attempt in Incarnation. Otherwise
	// it must refuse the attempt and record a tombstone for it. A join must
	// never run the attempt.
	ActionSend ActionKind = iota + 1
	// ActionWriteHead writes the response head received on Stream to the
	// caller.
	ActionWriteHead
	// ActionWriteData writes the data of the event to the caller.
	ActionWriteData
	// ActionCancel closes Stream. With Stop, the sidecar is also asked to stop
	// Attempt, or to record a tombstone for it if it has not arrived yet.
	ActionCancel
	// ActionClaimLedger claims the ledger key for Attempt at Target and
	// Incarnation. If Replaces is set, the claim of that attempt is released.
	ActionClaimLedger
	// ActionReleaseLedger releases the claim of Attempt, which never ran.
	ActionReleaseLedger
	// ActionSettleLedger records in the ledger that Attempt ended with Outcome.
	// If that is OUTCOME_RAN, the response is recorded too.
	ActionSettleLedger
	// ActionTombstone asks Target to refuse Attempt permanently under
	// Incarnation.
	ActionTombstone
	// ActionWriteRecorded writes the response recorded in the ledger to the
	// caller.
	ActionWriteRecorded
	// ActionDiscard discards the part of a response written so far, which the
	// router withholds from the caller until the response is complete.
	ActionDiscard
	// ActionFinish ends the request with Outcome, Status, RetryAfter and
	// Truncated.
	ActionFinish
)

// Action is one thing that the router must do. Kind determines which of the
// other fields apply.
type Action struct {
	Kind        ActionKind
	Stream      StreamID
	Attempt     ident.AttemptID
	Target      ident.TargetName
	Incarnation ident.Incarnation
	// Offset is the position from which the response of a joined attempt is
	// served.
	Offset uint64
	// Join asks for the response of an attempt that was already submitted,
	// without running it.
	Join bool
	// Stop asks the sidecar to stop the attempt when its stream is closed.
	Stop bool
	// Replaces is the attempt whose ledger claim is replaced, or empty.
	Replaces ident.AttemptID
	Outcome  wire.Outcome
	// Status is the HTTP status of the response.
	Status int
	// RetryAfter is zero when the caller should not retry.
	RetryAfter time.Duration
	// Truncated says that the response was written only in part. Unless the
	// router still withholds that part from the caller, it must break the
	// connection or write an error event.
	Truncated bool
}
