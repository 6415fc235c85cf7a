package digest

import (
	"cmp"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults of Config: DefaultExpiry, and bounds and share for the targets that
// a digest names.
const (
	DefaultExpiry = time.Second
	minLight      = 4
	maxLight      = 32
	lightShare    = 16
)

// Config sets how a table sums the reports of a pool.
type Config struct {
	Pool PoolName
	// Expiry is how long a target counts after its last report.
	Expiry time.Duration
	// Light is how many of the least loaded targets a digest names; 0 for a
	// number that grows with the pool.
	Light int
}

// Report is what a sidecar says of its target. A joining target reports
// before it serves, so that it counts everywhere once it does.
type Report struct {
	Target ident.TargetName
	Load   Load
	// Leaving takes the target out of the pool.
	Leaving bool
	// Age is how old the load was on arrival, the time on the link included.
	Age time.Duration
}

// Table holds the last report of each target of a pool. It is not safe for
// concurrent use.
type Table struct {
	cfg   Config
	last  map[ident.TargetName]entry
	stamp uint64
}

type entry struct {
	load Load
	at   time.Time
}

// lights returns how many of the least loaded targets a digest names.
func (t *Table) lights() int {
	if t.cfg.Light > 0 {
		return t.cfg.Light
	}
	return min(max(minLight, len(t.last)/lightShare), maxLight, max(1, len(t.last)/2))
}

// light is a target that may be named as lightly loaded.
type light struct {
	name ident.TargetName
	load int
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	if cfg.Expiry == 0 {
		cfg.Expiry = DefaultExpiry
	}
	return &Table{cfg: cfg, last: make(map[ident.TargetName]entry)}
}

// Put takes a report that has arrived now. A report older than the one that
// is held is ignored.
func (t *Table) Put(now time.Time, r Report) {
	at := now.Add(-r.Age)
	if at.Before(t.last[r.Target].at) {
		return
	}
	if r.Leaving {
		delete(t.last, r.Target)
		return
	}
	t.last[r.Target] = entry{load: r.Load, at: at}
}

// Sum returns the digest of the pool now. Its time is the reports' mean time
// weighted by their load, so that the ends to be expected since are right.
func (t *Table) Sum(now time.Time) Digest {
	t.stamp++
	d := Digest{Pool: t.cfg.Pool, Version: t.stamp, At: now}
	var age, weights float64
	var order []light
	for name, e := range t.last {
		if now.Sub(e.at) > t.cfg.Expiry {
			delete(t.last, name)
			continue
		}
		d.Targets++
		order = append(order, light{name: name, load: e.load.Requests + e.load.Queued})
		d.Requests += e.load.Requests
		d.Tokens += e.load.Tokens
		d.QueueBacked += e.load.QueueBacked
		weight := float64(e.load.Requests)
		age += weight * now.Sub(e.at).Seconds()
		weights += weight
	}
	if weights > 0 {
		d.At = now.Add(-time.Duration(age / weights * float64(time.Second)))
	}
	slices.SortFunc(order, func(a, b light) int {
		return cmp.Or(cmp.Compare(a.load, b.load), cmp.Compare(a.name, b.name))
	})
	for _, l := range order[:min(t.lights(), len(order))] {
		d.LeastLoaded = append(d.LeastLoaded, l.name)
	}
	return d
}
