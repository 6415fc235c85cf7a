// Package digest merges the load reports of the targets of a pool into a
// digest, the sum from which every process works out the pool's mean load.
//
// Sidecars report their own load, one process per pool sums the reports, and
// the sums travel to sidecars and routers with their age. Nothing here reads
// a clock or does I/O.
package digest

import (
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// PoolName names a pool: the targets that serve one model in one version, or
// one service.
type PoolName string

// Load is the outstanding work of one target.
type Load struct {
	// Requests counts the requests that the target runs now.
	Requests int
	// Tokens counts the tokens that those requests hold or still need.
	Tokens ident.Tokens
	// Queued counts the requests that wait for admission.
	Queued int
	// QueueBacked counts the running requests that queued ones would follow at
	// once, so that their end would not lower the load.
	QueueBacked int
}

// Digest is the load of a whole pool at one time.
type Digest struct {
	Pool PoolName
	// Targets counts the targets that can serve the pool.
	Targets  int
	Requests int
	Tokens   ident.Tokens
	// QueueBacked sums what the targets report as backed.
	QueueBacked int
	// At is when the reports that the digest sums were taken, on average and on the
	// clock of the process that holds the digest.
	At time.Time
	// LeastLoaded names the targets that carried least, in no order.
	LeastLoaded []ident.TargetName
	// Version orders digests of one pool; a higher one is newer.
	Version uint64
}

// Mean returns the requests per target, 0 for an empty pool.
func (d Digest) Mean() float64 {
	if d.Targets == 0 {
		return 0
	}
	return float64(d.Requests) / float64(d.Targets)
}

// MeanTokens returns the tokens per target, 0 for an empty pool.
func (d Digest) MeanTokens() float64 {
	if d.Targets == 0 {
		return 0
	}
	return float64(d.Tokens) / float64(d.Targets)
}

// Newer reports whether d is to replace old.
func (d Digest) Newer(old Digest) bool {
	if d.Version != old.Version {
		return d.Version > old.Version
	}
	return d.At.After(old.At)
}
