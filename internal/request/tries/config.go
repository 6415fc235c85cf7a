// Package tries implements the attempt state machine that a router runs for
// each request. It decides which target the request is sent to, when an
// attempt whose stream broke is joined again, when the request is run again or
// given up, and which outcome the caller is told: that it ran, that it was not
// run, or that this is unknown. The package does no I/O: Machine.Step takes an
// event and returns the actions to carry out.
package tries

import (
	"cmp"
	"math/rand/v2"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults for the fields of Config.
const (
	DefaultMaxAttempts   = 4
	DefaultMaxRuns       = 2
	DefaultMaxJoins      = 6
	DefaultTakeoverDelay = 50 * time.Millisecond
	DefaultJoinDelay     = 100 * time.Millisecond
	DefaultRetryAfter    = time.Second
	DefaultIdleTimeout   = 30 * time.Second
	DefaultTimeout       = 10 * time.Minute
	DefaultMaxTakeovers  = 3
)

// Upper limits for the fields of Config.
const (
	// MaxAttemptsLimit caps Config.MaxAttempts. Larger values are reduced to
	// it.
	MaxAttemptsLimit = 8
)

// RetryBudget limits how often a router reruns or hedges requests.
type RetryBudget interface {
	// Spend reports whether the customer may retry now. If so, it charges the
	// budget for the retry.
	Spend(now time.Time, customer ident.CustomerName) bool
}

// Config describes one request and the limits that apply to it.
type Config struct {
	// Request must be unique across all routers and their restarts, because
	// attempt IDs are derived from it.
	Request  ident.RequestID
	Customer ident.CustomerName
	// Once marks a request that is not idempotent and so must run at most once.
	Once bool
	// Buffered says that the router withholds the response from the caller
	// until it is complete. An idempotent request may then run again even after
	// part of a response has arrived.
	Buffered bool
	// LedgerKey is the caller's idempotency key, or empty. It is used only for
	// requests that are not idempotent.
	LedgerKey string
	// Deadline is when the caller must have the response. The zero value means
	// DefaultTimeout after the start.
	Deadline time.Time
	// IdleTimeout is how long an attempt of an idempotent request may send
	// nothing before its stream is canceled.
	IdleTimeout time.Duration
	// MaxAttempts limits how many attempts the router makes, each at one
	// target.
	MaxAttempts int
	// MaxRuns limits how many attempts of an idempotent request may have run.
	// An attempt counts unless it is known not to have run. MaxRuns also limits
	// how many targets the request can crash each time the caller sends it.
	MaxRuns int
	// InFlightAtCrash marks a request that was in flight when a target crashed.
	// It sets MaxRuns to 1.
	InFlightAtCrash bool
	// MaxJoins limits how often attempts are joined after their streams broke.
	MaxJoins int
	// JoinDelay is the wait before an attempt is joined again after its target
	// did not respond to a join. It doubles each time.
	JoinDelay time.Duration
	// TakeoverDelay is how long the claim of another router on the ledger key
	// is left alone before the router tries to take it over.
	TakeoverDelay time.Duration
	// MaxTakeovers limits how many claims of other routers on the ledger key
	// the router tries to take over.
	MaxTakeovers int
	// HedgeAfter is how long to wait for the first byte before an idempotent
	// request is also sent to a second target. Zero disables hedging.
	HedgeAfter time.Duration
	// RetryAfter is the retry delay for the caller when no target gave one.
	RetryAfter time.Duration
	// Plan proposes the targets. If it is nil, the candidates of EventStart are
	// tried in order, each at most once.
	Plan Plan
	// RetryBudget may be nil, in which case it sets no limit.
	RetryBudget RetryBudget
	// Random adds jitter to RetryAfter. If it is nil, there is no jitter.
	Random *rand.Rand
}

// withDefaults returns c with unset fields set to their defaults and limits
// applied.
func (c Config) withDefaults() Config {
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, DefaultMaxAttempts)
	c.MaxRuns = cmp.Or(c.MaxRuns, DefaultMaxRuns)
	c.MaxJoins = cmp.Or(c.MaxJoins, DefaultMaxJoins)
	c.MaxTakeovers = cmp.Or(c.MaxTakeovers, DefaultMaxTakeovers)
	c.TakeoverDelay = cmp.Or(c.TakeoverDelay, DefaultTakeoverDelay)
	c.JoinDelay = cmp.Or(c.JoinDelay, DefaultJoinDelay)
	c.RetryAfter = cmp.Or(c.RetryAfter, DefaultRetryAfter)
	if c.InFlightAtCrash {
		c.MaxRuns = 1
	}
	c.MaxAttempts = min(c.MaxAttempts, MaxAttemptsLimit)
	return c
}
