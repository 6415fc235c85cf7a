package watch

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// endpoints holds the addresses of the control processes that a follower may
// watch. Their order depends on the name of the follower's process, so that
// followers spread over the control processes.
type endpoints struct {
	process string
	// seeds come from the settings; they always stay in the list.
	seeds []string

	mu sync.Mutex
	// learned are the addresses received from control processes.
	learned []string
	// ordered are all addresses, in the order in which they are tried.
	ordered []string
	// leader is the address of the leader, empty if it is unknown.
	leader string
	// unreachableLeader is the leader that was named last and could not be watched at
	// unreachableAt.
	unreachableLeader string
	unreachableAt     time.Time
	// lossSequence is the number of watches lost so far.
	lossSequence int
	// lastLoss maps an address to the value of lossSequence at its last loss. It
	// is cleared when it has more than maxLossEntries entries.
	lastLoss map[string]int
}

// setSeeds replaces the addresses that come from the settings.
func (e *endpoints) setSeeds(seeds []string) {
	e.mu.Lock()
	e.seeds = seeds
	learned := e.learned
	e.mu.Unlock()
	e.setLearned(learned)
}

// setLearned replaces the addresses received from control processes, and
// rebuilds ordered.
func (e *endpoints) setLearned(learned []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	hash := func(address string) uint64 { return xxhash.Sum64String(e.process + "\x00" + address) }
	compare := func(a, b string) int { return cmp.Compare(hash(a), hash(b)) }
	ordered := slices.SortedFunc(slices.Values(learned), compare)
	for _, seed := range slices.SortedFunc(slices.Values(e.seeds), compare) {
		if !slices.Contains(ordered, seed) {
			ordered = append(ordered, seed)
		}
	}
	e.learned = learned
	e.ordered = ordered
}

// next returns the address to watch next: the leader if it is known, or else
// the first one that was never lost, or else the one lost longest ago.
func (e *endpoints) next() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader != "" {
		return e.leader
	}
	return slices.MinFunc(e.ordered, func(a, b string) int { return cmp.Compare(e.lastLoss[a], e.lastLoss[b]) })
}

// markLost records that the watch of an address was lost, and forgets the
// leader. confirmed tells whether a quorum has confirmed anything in the watch.
func (e *endpoints) markLost(now time.Time, address string, confirmed bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if address == e.leader && !confirmed {
		e.unreachableLeader, e.unreachableAt = address, now
	}
	if e.lastLoss == nil || len(e.lastLoss) > maxLossEntries {
		e.lastLoss = make(map[string]int)
	}
	e.lossSequence++
	e.lastLoss[address] = e.lossSequence
	e.leader = ""
}

// maxLossEntries is the number of entries of lastLoss above which it is cleared.
const maxLossEntries = 256

func (e *endpoints) setLeader(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leader = address
}

// unreachableLeaderDelay is how long a follower stays with another control process that
// names a leader which could not be watched. The leader may be unreachable from here alone.
const unreachableLeaderDelay = 500 * time.Millisecond

// hasOtherLeader reports whether the leader is known, at another address, and did not
// prove unreachable just now.
func (e *endpoints) hasOtherLeader(now time.Time, address string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader == e.unreachableLeader && now.Sub(e.unreachableAt) < unreachableLeaderDelay {
		return false
	}
	return e.leader != "" && e.leader != address
}
