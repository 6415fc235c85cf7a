package admit

import (
	"time"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Work is one attempt that asks to run at the target.
type Work struct {
	Attempt  ident.AttemptID
	Customer ident.CustomerName
	// Chat is zero for work that gains nothing from returning.
	Chat ident.ChatKey
	// Tokens is the work's whole demand: prompt and expected output.
	Tokens ident.Tokens
	// WarmTokens is how many tokens of the chat's prefix the target's cache index
	// believes to hold.
	WarmTokens ident.Tokens
	// Redirected marks work that a refusal has sent here, so that it is not sent
	// on again.
	Redirected bool
	// Weight is the customer's share relative to others; 0 counts as 1.
	Weight uint32
	// Priority orders the work of one customer, higher first.
	Priority int32
	// Deadline is until when the caller waits; zero for no limit.
	Deadline time.Time
	// Final marks the last target that the router tries: the work is queued
	// where else it would be sent on.
	Final bool
	// NoSpill marks final work that has been sent on often enough.
	NoSpill bool
}

// Kind tells the kinds of decision apart.
type Kind uint8

// Kinds of decision.
const (
	// Admitted work is to be dispatched at once.
	Admitted Kind = iota + 1
	// Queued work waits; a Verdict follows.
	Queued
	// Refused work was not run and will not be.
	Refused
)

// Reason says why work was refused.
type Reason uint8

// Reasons of refusal.
const (
	// Overloaded means that the target or the caller's share of it is full.
	Overloaded Reason = iota + 1
	// Leaving means that the target takes no new work.
	Leaving
	// Moved means that the chat's context is at another target.
	Moved
	// Deadline means that the caller would have given up before the start.
	Deadline
	// Down means that the target does not answer.
	Down
	// Invalid means that the attempt is a duplicate of one that is known.
	Invalid
)

var reasonNames = [...]string{"none", "overloaded", "leaving", "moved", "deadline", "down", "invalid"}

// String returns the reason in lower case, for decision records.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return reasonNames[0]
	}
	return reasonNames[r]
}

// Decision answers an offer.
type Decision struct {
	Kind   Kind
	Reason Reason
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
	// Urgent marks admitted work of a customer that runs less than its fair
	// share: the target is to start it before work that is not urgent.
	Urgent bool
	Load   digest.Load
	// Limit is the requests that the target might carry at the decision.
	Limit int
	// ChatLocation says where the chat was served last; empty if not known.
	ChatLocation ChatLocation
	// LessLoaded names a target that carried little of late; empty if not known.
	LessLoaded ident.TargetName
}

// QueuedDecision settles work that was queued.
type QueuedDecision struct {
	Work     Work
	Decision Decision
	// Waited is how long the work was queued.
	Waited time.Duration
}
