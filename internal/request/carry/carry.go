// Package carry decides what happens to a request after each attempt at a target:
// whether it is retried and what the caller is told. It makes sure that an
// incomplete response never looks complete to the caller.
package carry

// Result is how one attempt ended.
type Result int

// The results of attempts.
const (
	// NotSent attempts cannot have reached a target.
	NotSent Result = iota
	// Refused attempts reached a target that says that it did not run them.
	Refused
	// ResponseLost attempts were sent and got no complete response. The caller has
	// seen none of it.
	ResponseLost
	// Truncated attempts got a part of the response, which the caller has.
	Truncated
	// TargetFailed attempts got a complete response that reports a failure of the
	// target.
	TargetFailed
	// Completed attempts got the complete response.
	Completed
	// DeadlineExceeded attempts were ended by the deadline of the request.
	DeadlineExceeded
	// CallerGone attempts were ended because the caller has disconnected.
	CallerGone
)

// String returns the text under which the result is logged.
func (r Result) String() string {
	return [...]string{"NotSent", "Refused", "Lost", "Broken", "Failed", "Answered", "Late", "Left"}[r]
}

// Action is what to do after an attempt.
type Action int

// The actions.
const (
	// Finish ends the request. The caller has the complete response.
	Finish Action = iota
	// Retry sends the request to another target.
	Retry
	// Resume sends the request to another target, to continue the stream after the
	// last event that the caller has.
	Resume
	// ForwardFailure sends the target's failure response to the caller.
	ForwardFailure
	// Reject tells the caller that the request was not run.
	Reject
	// ReportUnknown tells the caller that no response came and that the request may
	// have run.
	ReportUnknown
	// ReportTimeout tells the caller that the deadline has passed.
	ReportTimeout
	// Abort breaks the caller's connection, so that the part of the response that
	// it has does not look complete.
	Abort
)

// String returns the text under which the action is logged.
func (a Action) String() string {
	return [...]string{"Finish", "Again", "Resume", "Pass", "Refuse", "Unknown", "Expire", "Abort"}[a]
}

// maxAttempts bounds the attempts at one request, whether it ran or not.
const maxAttempts = 4

// RetryState tracks the attempts at one request. The zero value is for a request
// that may run at most once.
type RetryState struct {
	// Repeatable is set if the request may run more than once.
	Repeatable bool
	// RetryFailed is set if a repeatable request is also retried after a failure
	// that the target reports.
	RetryFailed bool
	// MaxRuns bounds the targets that may run a repeatable request.
	MaxRuns int

	// attempts counts all attempts, and runs those that may have run the request.
	attempts int
	runs     int
	// started is set once the caller has a part of the response.
	started bool
	// failureKept is set once a target's failure response is kept for the caller.
	failureKept bool
}

// Ran reports whether the request may have run.
func (r *RetryState) Ran() bool { return r.runs > 0 }

// MarkStarted records that the caller has a part of the response.
func (r *RetryState) MarkStarted() { r.started = true }

// Attempts returns the number of attempts that have ended.
func (r *RetryState) Attempts() int { return r.attempts }

// Next returns what to do after an attempt. The allowRetry function charges the
// retry budget. A request that was not sent is retried without a charge, since no
// target will count the retry as one.
func (r *RetryState) Next(result Result, allowRetry func() bool) Action {
	r.attempts++
	if result != NotSent && result != Refused {
		r.runs++
	}
	switch result {
	case Completed:
		return Finish
	case CallerGone:
		return Abort
	case DeadlineExceeded:
		return r.finalAction(ReportTimeout)
	case NotSent:
		if r.attempts < maxAttempts {
			return r.retryAction()
		}
		return r.finalAction(Reject)
	case Refused:
		if r.attempts < maxAttempts && allowRetry() {
			return r.retryAction()
		}
		return r.finalAction(Reject)
	case TargetFailed:
		if !r.started {
			r.failureKept = true
		}
		if r.RetryFailed && r.mayRunAgain() && allowRetry() {
			return r.retryAction()
		}
		return r.finalAction(ForwardFailure)
	case ResponseLost, Truncated:
		if r.mayRunAgain() && allowRetry() {
			return r.retryAction()
		}
	}
	// The request may have run, but its response is lost.
	return r.finalAction(ReportUnknown)
}

// mayRunAgain reports whether one more target may run the request.
func (r *RetryState) mayRunAgain() bool {
	return r.Repeatable && r.runs < r.MaxRuns && r.attempts < maxAttempts
}

// retryAction returns the action that sends the request to another target.
func (r *RetryState) retryAction() Action {
	if r.started {
		return Resume
	}
	return Retry
}

// NextWithoutTarget returns the action for a request for which no target is left.
func (r *RetryState) NextWithoutTarget() Action { return r.finalAction(Reject) }

// finalAction returns the action that ends a request that did not complete.
// It is action, unless the caller already has a part of a response, a failure
// response is kept for it, or the request may have run and so cannot be rejected.
func (r *RetryState) finalAction(action Action) Action {
	switch {
	case r.started:
		return Abort
	case r.failureKept:
		return ForwardFailure
	case action == Reject && r.runs > 0:
		return ReportUnknown
	}
	return action
}
