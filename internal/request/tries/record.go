package tries

import (
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Result is how one attempt ended, as the router saw it.
type Result string

// Results of attempts.
const (
	ResultOpen       Result = "open"
	ResultRan        Result = "ran"
	ResultRefused    Result = "refused"
	ResultUnsent     Result = "unsent"
	ResultTombstoned Result = "buried"
	ResultBroken     Result = "broken"
	ResultTimeout    Result = "timeout"
	ResultCrashed    Result = "target crashed"
	ResultFailed     Result = "failed"
	ResultBadFrame   Result = "bad frame"
	ResultCanceled   Result = "canceled"
)

// AttemptRecord tells how one attempt went. Times are zero for what did not
// happen.
type AttemptRecord struct {
	Attempt ident.AttemptID
	Target  ident.TargetName
	Hedge   bool
	Joined  bool
	Resumes int
	Result  Result
	// Reason is set when the result is ResultRefused.
	Reason    wire.RefusalReason
	Sent      time.Time
	FirstByte time.Time
	Ended     time.Time
}

// Record tells how a request was decided, for operators and the monitor.
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
	// Delivered counts the answer bytes that went to the caller.
	Delivered ident.Bytes
	Started   time.Time
	Finished  time.Time
}
