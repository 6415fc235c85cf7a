package digest

import (
	"cmp"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults of Config. With LeastLoadedCount 0, a digest names one in
// targetsPerLeastLoaded of the targets, within minLeastLoaded and
// maxLeastLoaded, but no more than half of the pool and no fewer than one.
const (
	DefaultExpiry         = time.Second
	minLeastLoaded        = 4
	maxLeastLoaded        = 32
	targetsPerLeastLoaded = 16
)

// Config configures how a Table sums the reports of a pool.
type Config struct {
	Pool PoolName
	// Expiry is how long a target counts after its last report. It defaults to
	// DefaultExpiry.
	Expiry time.Duration
	// LeastLoadedCount is the number of least loaded targets that a digest
	// names. If 0, the number grows with the pool.
	LeastLoadedCount int
}

// Report is the load that a sidecar reports for its target. A joining target
// reports before it serves, so that every process counts it by the time it
// does.
type Report struct {
	Target ident.TargetName
	Load   Load
	// Leaving removes the target from the pool.
	Leaving bool
	// Age is the age of the load on arrival, including the network delay.
	Age time.Duration
}

// Table holds the newest report of each target of a pool. It is not safe for
// concurrent use.
type Table struct {
	cfg     Config
	entries map[ident.TargetName]entry
	version uint64
}

type entry struct {
	load Load
	at   time.Time
}

// leastLoadedCount returns the maximum number of targets that a digest names as
// least loaded.
func (t *Table) leastLoadedCount() int {
	if t.cfg.LeastLoadedCount > 0 {
		return t.cfg.LeastLoadedCount
	}
	return min(max(minLeastLoaded, len(t.entries)/targetsPerLeastLoaded), maxLeastLoaded, max(1, len(t.entries)/2))
}

// targetLoad is the load by which a target is ranked for Digest.LeastLoaded.
type targetLoad struct {
	name ident.TargetName
	load int
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	if cfg.Expiry == 0 {
		cfg.Expiry = DefaultExpiry
	}
	return &Table{cfg: cfg, entries: make(map[ident.TargetName]entry)}
}

// Put stores a report that arrives at now. It ignores a report older than the
// stored one. No report is stored for a target that has left, so an older
// report that arrives after the one of the leave adds the target again until it
// expires.
func (t *Table) Put(now time.Time, r Report) {
	at := now.Add(-r.Age)
	if at.Before(t.entries[r.Target].at) {
		return
	}
	if r.Leaving {
		delete(t.entries, r.Target)
		return
	}
	t.entries[r.Target] = entry{load: r.Load, at: at}
}

// Sum returns the digest of the pool at now. Its time is the mean time of the
// reports weighted by their running requests, so that the number of requests
// completed since then can be estimated from the sum.
func (t *Table) Sum(now time.Time) Digest {
	t.version++
	d := Digest{Pool: t.cfg.Pool, Version: t.version, At: now}
	var weightedAge, totalWeight float64
	var byLoad []targetLoad
	for name, e := range t.entries {
		if now.Sub(e.at) > t.cfg.Expiry {
			delete(t.entries, name)
			continue
		}
		d.Targets++
		byLoad = append(byLoad, targetLoad{name: name, load: e.load.Requests + e.load.Queued})
		d.Requests += e.load.Requests
		d.Tokens += e.load.Tokens
		d.QueueBacked += e.load.QueueBacked
		weight := float64(e.load.Requests)
		weightedAge += weight * now.Sub(e.at).Seconds()
		totalWeight += weight
	}
	if totalWeight > 0 {
		d.At = now.Add(-time.Duration(weightedAge / totalWeight * float64(time.Second)))
	}
	slices.SortFunc(byLoad, func(a, b targetLoad) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.name, b.name))
	})
	for _, l := range byLoad[:min(t.leastLoadedCount(), len(byLoad))] {
		d.LeastLoaded = append(d.LeastLoaded, l.name)
	}
	return d
}
