package rank

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/version/ident"
)

// defaultDelay is the one-way delay assumed for a failure domain that is not in
// Config.Delays.
const defaultDelay = 50 * time.Millisecond

// snapshot is one version of a pool's targets. The slices other than local are
// parallel to targets. A snapshot is immutable except for the atomic fields of
// statuses, which later snapshots share.
type snapshot struct {
	targets []Target
	// hashes holds the hash of each target's name, 0 for a leaving target.
	hashes   []uint64
	statuses []*targetStatus
	delays   []time.Duration
	byName   map[ident.TargetName]int
	// hasSlowStart is set if any target has a JoinedAt time.
	hasSlowStart bool
	// local holds the indices of the targets in the router's failure domain.
	local []int
}

// targetStatus is the router's last known state of one target.
type targetStatus struct {
	// load is the last reported load and its time, as returned by packLoad.
	load atomic.Uint64
	// ejectedUntil is in Unix nanoseconds.
	ejectedUntil atomic.Int64
}

func newSnapshot(cfg Config, targets []Target, old *snapshot) *snapshot {
	s := &snapshot{
		targets:  append([]Target(nil), targets...),
		hashes:   make([]uint64, len(targets)),
		statuses: make([]*targetStatus, len(targets)),
		delays:   make([]time.Duration, len(targets)),
		byName:   make(map[ident.TargetName]int, len(targets)),
	}
	for i, t := range targets {
		s.byName[t.Name] = i
		s.statuses[i] = &targetStatus{}
		if old != nil {
			if j, ok := old.byName[t.Name]; ok {
				s.statuses[i] = old.statuses[j]
			}
		}
		s.delays[i] = delayTo(cfg, t.Domain)
		if t.Leaving {
			continue
		}
		s.hashes[i] = xxhash.Sum64String(string(t.Name)) | 1
		s.hasSlowStart = s.hasSlowStart || !t.JoinedAt.IsZero()
		if t.Domain == cfg.Domain {
			s.local = append(s.local, i)
		}
	}
	return s
}

// delayTo returns the one-way delay to a failure domain.
func delayTo(cfg Config, domain ident.DomainName) time.Duration {
	if domain == cfg.Domain {
		return 0
	}
	for _, d := range cfg.Delays {
		if d.Domain == domain {
			return d.Delay
		}
	}
	return defaultDelay
}

// available reports whether target i is neither leaving nor ejected.
func (s *snapshot) available(i int, now time.Time) bool {
	return s.hashes[i] != 0 && s.statuses[i].ejectedUntil.Load() <= now.UnixNano()
}

// A packed load holds the number of running and queued requests in the low
// loadBits bits and the time of the report in Unix milliseconds above them.
const (
	loadBits = 20
	loadMask = 1<<loadBits - 1
)

// packLoad returns a reported load and its time as one word.
func packLoad(now time.Time, l digest.Load) uint64 {
	return uint64(now.UnixMilli())<<loadBits | uint64(min(l.Requests+l.Queued, loadMask))
}

// recentLoad returns the last reported load, and whether there is one that is at
// most maxAge old.
func (s *targetStatus) recentLoad(now time.Time, maxAge time.Duration) (int, bool) {
	packed := s.load.Load()
	age := now.UnixMilli() - int64(packed>>loadBits)
	return int(packed & loadMask), packed != 0 && age <= maxAge.Milliseconds()
}
