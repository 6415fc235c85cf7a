// Package tries is the attempt state machine of one request at a router. It
// decides where the request is sent, when it is resumed, run again or given
// up, and what the caller is told: that it ran, that it was not run, or that
// this is not known. It does no I/O: events go in, actions come out.
package tries

import (
	"cmp"
	"math/rand/v2"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults of Config.
const (
	DefaultMaxAttempts   = 4
	DefaultMaxRuns       = 2
	DefaultMaxResumes    = 6
	DefaultTakeoverDelay = 50 * time.Millisecond
	DefaultResumeDelay   = 100 * time.Millisecond
	DefaultRetryAfter    = time.Second
	DefaultIdleTimeout   = 30 * time.Second
	DefaultTimeout       = 10 * time.Minute
	DefaultMaxTakeovers  = 3
)

// Limits of Config.
const (
	// MaxAttemptsLimit bounds MaxAttempts.
	MaxAttemptsLimit = 8
)

// RetryBudget limits the retries of a router.
type RetryBudget interface {
	// Spend reports whether the customer may retry now, and charges for it.
	Spend(now time.Time, customer ident.CustomerName) bool
}

// Config describes one request.
type Config struct {
	// Request must be unique over all routers and their restarts: the names of
	// the attempts derive from it.
	Request  ident.RequestID
	Customer ident.CustomerName
	// Once marks a request that is not idempotent.
	Once bool
	// Buffered says that the router holds the answer back until it is whole, so
	// that an idempotent request may run again after part of it has come.
	Buffered bool
	// LedgerKey is the caller's idempotency key, or empty.
	LedgerKey string
	// Deadline is when the caller must have its answer; zero means
	// DefaultTimeout after the start.
	Deadline time.Time
	// IdleTimeout is how long an idempotent attempt may be silent.
	IdleTimeout time.Duration
	// MaxAttempts bounds the targets that the request is sent to.
	MaxAttempts int
	// MaxRuns bounds the targets that may have begun an idempotent request: all
	// but those that provably did not run it. It is also the number of targets
	// that one send can crash.
	MaxRuns int
	// CrashSuspect marks a request under which a target crashed before: a
	// send of it is begun by one target only.
	CrashSuspect bool
	// MaxResumes bounds how often broken streams are joined again.
	MaxResumes int
	// ResumeDelay is the wait before a target that did not answer a join is
	// asked again; it doubles each time.
	ResumeDelay time.Duration
	// TakeoverDelay is how long the claim of another router is left alone before it
	// is looked into.
	TakeoverDelay time.Duration
	// MaxTakeovers bounds how many claims of other routers are looked into.
	MaxTakeovers int
	// HedgeAfter is the wait for the first byte after which an idempotent
	// request is sent to a second target as well; zero means never.
	HedgeAfter time.Duration
	// RetryAfter is told to the caller when no target gave a time.
	RetryAfter time.Duration
	// Plan proposes the targets; nil for the candidates of EventStart in their
	// order, each once.
	Plan Plan
	// RetryBudget may be nil: no limit.
	RetryBudget RetryBudget
	// Random jitters RetryAfter; nil means no jitter.
	Random *rand.Rand
}

func (c Config) withDefaults() Config {
	c.IdleTimeout = cmp.Or(c.IdleTimeout, DefaultIdleTimeout)
	c.MaxAttempts = cmp.Or(c.MaxAttempts, DefaultMaxAttempts)
	c.MaxRuns = cmp.Or(c.MaxRuns, DefaultMaxRuns)
	c.MaxResumes = cmp.Or(c.MaxResumes, DefaultMaxResumes)
	c.MaxTakeovers = cmp.Or(c.MaxTakeovers, DefaultMaxTakeovers)
	c.TakeoverDelay = cmp.Or(c.TakeoverDelay, DefaultTakeoverDelay)
	c.ResumeDelay = cmp.Or(c.ResumeDelay, DefaultResumeDelay)
	c.RetryAfter = cmp.Or(c.RetryAfter, DefaultRetryAfter)
	if c.CrashSuspect {
		c.MaxRuns = 1
	}
	c.MaxAttempts = min(c.MaxAttempts, MaxAttemptsLimit)
	return c
}
