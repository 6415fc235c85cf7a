package admit

import (
	"time"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Work is one attempt to run a request, offered to the target.
type Work struct {
	Attempt  ident.AttemptID
	Customer ident.CustomerName
	// Chat is zero for work that does not benefit from a prefix cache.
	Chat ident.ChatKey
	// Tokens is the number of tokens of the prompt and the expected output.
	Tokens ident.Tokens
	// WarmTokens is how many tokens of the chat's prefix are cached at the
	// target, as far as the sidecar's index of the cache knows.
	WarmTokens ident.Tokens
	// NoRedirect tells the target not to redirect the chat to another target.
	NoRedirect bool
	// Weight is the customer's weight in fair queueing; 0 counts as 1.
	Weight uint32
	// Priority orders the queued work of one customer, higher first.
	Priority int32
	// Deadline is when the caller gives up; zero for no limit.
	Deadline time.Time
	// Final marks work that the router's regular candidates have refused: it is
	// queued where it would otherwise be refused or redirected.
	Final bool
	// NoSpill marks final work that has been offered to other targets as often as
	// allowed, so that it is not spilled again.
	NoSpill bool
}

// Kind is the kind of a Decision.
type Kind uint8

// Kinds of decision.
const (
	// Admitted means that the work is to be dispatched at once.
	Admitted Kind = iota + 1
	// Queued means that the work waits; a QueuedDecision follows.
	Queued
	// Refused means that the work was not run and will not be.
	Refused
)

// Reason is why work was refused.
type Reason uint8

// Reasons of refusal.
const (
	// Overloaded means that the target, or the customer's share of it, is full.
	Overloaded Reason = iota + 1
	// Leaving means that the target is leaving the pool and takes no new work.
	Leaving
	// Moved means that another target has the chat's prefix cached.
	Moved
	// DeadlinePassed means that the caller's deadline passed before the work started.
	DeadlinePassed
	// Down means that the target is unreachable.
	Down
	// Duplicate means that the attempt is already running or queued.
	Duplicate
)

var reasonNames = [...]string{"none", "overloaded", "leaving", "moved", "deadline", "down", "invalid"}

// String returns the reason as written to decision records.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return reasonNames[0]
	}
	return reasonNames[r]
}

// Decision is the answer to an offer.
type Decision struct {
	Kind   Kind
	Reason Reason
	// RetryAfter is the time after which a refused caller may retry.
	RetryAfter time.Duration
	// Urgent marks admitted work of a customer that is below its fair share. The
	// target is to start it before work that is not urgent.
	Urgent bool
	Load   digest.Load
	// Limit is the request limit that applied to admitted work.
	Limit int
	// ChatLocation is where the chat was last served, set on refusals; zero if
	// not known.
	ChatLocation ChatLocation
	// LessLoaded is a target that recently had little load, set on refusals;
	// empty if not known.
	LessLoaded ident.TargetName
}

// QueuedDecision is the final decision on work that was queued.
type QueuedDecision struct {
	Work     Work
	Decision Decision
	// Waited is how long the work was in the queue.
	Waited time.Duration
}
