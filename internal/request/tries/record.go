package tries

import (
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Result is how an attempt ended, as seen by the router.
type Result string

// Results of attempts.
const (
	ResultOpen       Result = "open" // has not ended yet
	ResultRan        Result = "ran"
	ResultRefused    Result = "refused" // refused by the target, which did not run it
	ResultUnsent     Result = "unsent"  // no byte of the Submit was written
	ResultTombstoned Result = "buried"  // the target has a tombstone and never runs it
	ResultBroken     Result = "broken"  // the stream broke or its target did not reply
	ResultTimeout    Result = "timeout" // idle for too long
	ResultCrashed    Result = "target crashed"
	ResultFailed     Result = "failed"    // ended with an error or without a known outcome
	ResultBadFrame   Result = "bad frame" // a frame had the wrong attempt, offset or length
	ResultCanceled   Result = "canceled"  // canceled by the router
)

// AttemptRecord describes one attempt. The time of a step that did not happen
// is zero.
type AttemptRecord struct {
	Attempt ident.AttemptID
	Target  ident.TargetName
	Hedge   bool
	Joined  bool
	// Joins counts how often the attempt was joined.
	Joins  int
	Result Result
	// Reason is set when the result is ResultRefused.
	Reason    wire.RefusalReason
	Sent      time.Time
	FirstByte time.Time
	Ended     time.Time
}

// Record describes the attempts and the outcome of a request, for operators and
// the monitor.
type Record struct {
	Request    ident.RequestID
	Customer   ident.CustomerName
	Once       bool
	Candidates []Candidate
	Attempts   []AttemptRecord
	Outcome    wire.Outcome
	Status     int
	RetryAfter time.Duration
	Truncated  bool
	// Delivered counts the response bytes written to the caller or, with
	// Config.Buffered, withheld for it.
	Delivered ident.Bytes
	Started   time.Time
	Finished  time.Time
}
