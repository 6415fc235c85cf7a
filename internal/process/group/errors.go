package group

import "fmt"

// NotLeaderError says that the request was not taken, because this member
// does not lead. Leader and Address are empty while no leader is known.
type NotLeaderError struct {
	Leader  MemberID
	Address string
}

// Error names the leader.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return "not the leader; no leader known"
	}
	return fmt.Sprintf("not the leader; %s at %s leads", e.Leader, e.Address)
}

// OutcomeUnknownError says that the entry was taken and may still commit.
type OutcomeUnknownError struct {
	Cause error
}

// Error gives the cause.
func (e *OutcomeUnknownError) Error() string { return fmt.Sprintf("outcome unknown: %v", e.Cause) }

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// StoppedError says that the member is closed or has failed, so that it
// takes no more requests. Cause is nil after Close.
type StoppedError struct {
	Cause error
}

// Error gives the cause.
func (e *StoppedError) Error() string {
	if e.Cause == nil {
		return "member closed"
	}
	return fmt.Sprintf("member failed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *StoppedError) Unwrap() error { return e.Cause }
