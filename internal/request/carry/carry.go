// Package carry decides what becomes of a request after each attempt to have
// it answered by a target: whether it is sent again, what the caller is told,
// and that an answer which is not whole never looks so.
package carry

// Result is how one attempt ended.
type Result int

// The results of attempts.
const (
	// NotSent attempts reached no target.
	NotSent Result = iota
	// Refused attempts were turned down by a target that says that it did not
	// run them.
	Refused
	// Lost attempts were sent and brought no whole answer; the caller has seen
	// none of it.
	Lost
	// Broken attempts brought a part of the answer, which the caller has.
	Broken
	// Failed attempts brought a whole answer that says that the target failed.
	Failed
	// Answered attempts brought the whole answer.
	Answered
	// Late attempts were ended by the request's own deadline.
	Late
	// Left attempts were ended because the caller has gone.
	Left
)

// String returns the name of the result.
func (r Result) String() string {
	return [...]string{"NotSent", "Refused", "Lost", "Broken", "Failed", "Answered", "Late", "Left"}[r]
}

// Step is what to do next.
type Step int

// The steps.
const (
	// Finish ends the request, whose answer is out.
	Finish Step = iota
	// Again sends the request to another target.
	Again
	// Resume sends it to another target after the last event.
	Resume
	// Pass gives the caller the target's failure.
	Pass
	// Refuse tells the caller that the request was not run.
	Refuse
	// Unknown tells the caller that no answer came and that the request may
	// have run.
	Unknown
	// Expire tells the caller that the time is up.
	Expire
	// Abort breaks the caller's connection, so that the part of the answer that
	// it has does not look whole.
	Abort
)

// String returns the name of the step.
func (s Step) String() string {
	return [...]string{"Finish", "Again", "Resume", "Pass", "Refuse", "Unknown", "Expire", "Abort"}[s]
}

// maxSends bounds the targets that one request is offered to, run or not.
const maxSends = 4

// Request is what is known of a request. Its zero value is one that may run
// once at most.
type Request struct {
	// Repeatable requests may run more than once.
	Repeatable bool
	// RetryFailed sends a repeatable request again also after a target's own
	// failure.
	RetryFailed bool
	// Attempts is the number of targets on which it may run.
	Attempts int

	// sends counts the attempts, and runs those that may have run.
	sends int
	runs  int
	// began says that the caller has a part of the answer.
	began bool
	// failure says that a target's failure is kept for the caller.
	failure bool
}

// Ran reports whether the request may have run.
func (r *Request) Ran() bool { return r.runs > 0 }

// Began notes that the caller has a part of the answer.
func (r *Request) Began() { r.began = true }

// Sends returns the number of attempts so far.
func (r *Request) Sends() int { return r.sends }

// Next returns what to do after an attempt. The allow function charges the
// budget of retries; it is asked only before the request is sent again to a
// target that would count it.
func (r *Request) Next(result Result, allow func() bool) Step {
	r.sends++
	if result != NotSent && result != Refused {
		r.runs++
	}
	switch result {
	case Answered:
		return Finish
	case Left:
		return Abort
	case Late:
		return r.give(Expire)
	case NotSent:
		if r.sends < maxSends {
			return r.again()
		}
		return r.give(Refuse)
	case Refused:
		if r.sends < maxSends && allow() {
			return r.again()
		}
		return r.give(Refuse)
	case Failed:
		if !r.began {
			r.failure = true
		}
		if r.RetryFailed && r.repeat() && allow() {
			return r.again()
		}
		return r.give(Pass)
	case Lost, Broken:
		if r.repeat() && allow() {
			return r.again()
		}
	}
	return r.give(Unknown)
}

// repeat reports whether the request may run once more.
func (r *Request) repeat() bool {
	return r.Repeatable && r.runs < r.Attempts && r.sends < maxSends
}

// again returns the step that sends the request to another target.
func (r *Request) again() Step {
	if r.began {
		return Resume
	}
	return Again
}

// Exhausted returns the step of a request for which no target is left.
func (r *Request) Exhausted() Step { return r.give(Refuse) }

// give returns the last step of a request that gets no whole answer.
func (r *Request) give(step Step) Step {
	switch {
	case r.began:
		return Abort
	case r.failure:
		return Pass
	case step == Refuse && r.runs > 0:
		return Unknown
	}
	return step
}
