package rank

import (
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/version/ident"
)

// farDelay stands for the delay to a failure domain that has no setting.
const farDelay = 50 * time.Millisecond

// snapshot is one version of a pool's targets. Its lists have equal length
// and do not change; the beliefs inside are atomic.
type snapshot struct {
	targets []Target
	seeds   []uint64
	beliefs []*belief
	delays  []time.Duration
	byName  map[ident.TargetName]int
	// joining tells whether any target had a slow start at the update.
	joining bool
	near    []int
}

// belief is what the router believes of one target.
type belief struct {
	// load packs the requests and the time of the report.
	load         atomic.Uint64
	ejectedUntil atomic.Int64
}

func newSnapshot(cfg Config, targets []Target, old *snapshot) *snapshot {
	s := &snapshot{
		targets: append([]Target(nil), targets...),
		seeds:   make([]uint64, len(targets)),
		beliefs: make([]*belief, len(targets)),
		delays:  make([]time.Duration, len(targets)),
		byName:  make(map[ident.TargetName]int, len(targets)),
	}
	for i, t := range targets {
		s.byName[t.Name] = i
		s.beliefs[i] = &belief{}
		if old != nil {
			if j, ok := old.byName[t.Name]; ok {
				s.beliefs[i] = old.beliefs[j]
			}
		}
		s.delays[i] = delayTo(cfg, t.Domain)
		if t.Leaving {
			continue
		}
		s.seeds[i] = xxhash.Sum64String(string(t.Name)) | 1
		s.joining = s.joining || !t.JoinedAt.IsZero()
		if t.Domain == cfg.Domain {
			s.near = append(s.near, i)
		}
	}
	return s
}

func delayTo(cfg Config, domain ident.DomainName) time.Duration {
	if domain == cfg.Domain {
		return 0
	}
	for _, d := range cfg.Delays {
		if d.Domain == domain {
			return d.Delay
		}
	}
	return farDelay
}

// open reports whether target i may be proposed.
func (s *snapshot) open(i int, now time.Time) bool {
	return s.seeds[i] != 0 && s.beliefs[i].ejectedUntil.Load() <= now.UnixNano()
}

// A packed load holds milliseconds of the report's time above loadBits and
// the requests below.
const (
	loadBits = 20
	loadMask = 1<<loadBits - 1
)

func packLoad(now time.Time, l digest.Load) uint64 {
	return uint64(now.UnixMilli())<<loadBits | uint64(min(l.Requests+l.Queued, loadMask))
}

// believed returns the load last reported, and whether it is recent enough
// to act upon.
func (b *belief) believed(now time.Time, span time.Duration) (int, bool) {
	packed := b.load.Load()
	age := now.UnixMilli() - int64(packed>>loadBits)
	return int(packed & loadMask), packed != 0 && age <= span.Milliseconds()
}
