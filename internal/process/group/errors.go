package group

import "fmt"

// NotLeaderError reports that a request will not take effect because this
// member is not, or no longer, the leader. Leader and Address are empty if no
// leader is known.
type NotLeaderError struct {
	Leader  MemberID
	Address string
}

// Error describes the error and names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; no leader is known"
	}
	return fmt.Sprintf("not the leader; the leader is %s at %s", e.Leader, e.Address)
}

// OutcomeUnknownError reports that an entry was accepted, but that this member
// stopped waiting before it knew whether the entry committed.
type OutcomeUnknownError struct {
	Cause error
}

// Error describes the error and its cause.
func (e *OutcomeUnknownError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// StoppedError reports that the member is closed or has failed and accepts no
// more requests. Cause is nil after Close.
type StoppedError struct {
	Cause error
}

// Error describes the error and its cause.
func (e *StoppedError) Error() string {
	if e.Cause == nil {
		return "member closed"
	}
	return fmt.Sprintf("member failed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Cause }
