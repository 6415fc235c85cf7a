// Package digest sums the load reports of the targets of a pool. The sum is the
// pool's digest, from which every process computes the pool's mean load.
//
// Sidecars report their own load, one process per pool sums the reports, and
// the digests are sent to sidecars and routers together with their age. The
// package does not read a clock and does no I/O.
package digest

import (
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// PoolName names a pool: the targets that serve the same version of a model, or
// the same service.
type PoolName string

// Load is the outstanding work of one target.
type Load struct {
	// Requests counts the running requests.
	Requests int
	// Tokens counts the tokens that the running requests hold or still need.
	Tokens ident.Tokens
	// Queued counts the requests that wait for admission.
	Queued int
	// QueueBacked counts the running requests whose place a queued request
	// takes when they complete, so that their completion does not lower the
	// load.
	QueueBacked int
}

// Digest is the load of a whole pool at one time.
type Digest struct {
	Pool PoolName
	// Targets counts the targets that can serve the pool.
	Targets  int
	Requests int
	Tokens   ident.Tokens
	// QueueBacked is the sum of the reported QueueBacked counts.
	QueueBacked int
	// At is the mean time of the summed reports, weighted by their running
	// requests, on the clock of the process that holds the digest.
	At time.Time
	// LeastLoaded names the least loaded targets, in no particular order.
	LeastLoaded []ident.TargetName
	// Version orders the digests of a pool; a higher version is newer.
	Version uint64
}

// Mean returns the number of requests per target, 0 for an empty pool.
func (d Digest) Mean() float64 {
	if d.Targets == 0 {
		return 0
	}
	return float64(d.Requests) / float64(d.Targets)
}

// MeanTokens returns the number of tokens per target, 0 for an empty pool.
func (d Digest) MeanTokens() float64 {
	if d.Targets == 0 {
		return 0
	}
	return float64(d.Tokens) / float64(d.Targets)
}

// Newer reports whether d replaces old: it has a higher version, or the same
// version and a later time.
func (d Digest) Newer(old Digest) bool {
	if d.Version != old.Version {
		return d.Version > old.Version
	}
	return d.At.After(old.At)
}
