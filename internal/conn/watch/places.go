package watch

import (
	"cmp"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// places are the control processes that a follower may watch, in an order of
// its own, so that the followers spread over them.
type places struct {
	process string
	// seeds are from the settings; they stay in the list.
	seeds []string

	mu      sync.Mutex
	learned []string
	list    []string
	leader  string
	// lost counts up; losses holds its value at the last loss of each address.
	lost   int
	losses map[string]int
}

// reseed replaces the addresses from the settings.
func (p *places) reseed(seeds []string) {
	p.mu.Lock()
	p.seeds = seeds
	learned := p.learned
	p.mu.Unlock()
	p.set(learned)
}

// set replaces the addresses that were learned.
func (p *places) set(learned []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	weight := func(address string) uint64 { return xxhash.Sum64String(p.process + "\x00" + address) }
	order := func(a, b string) int { return cmp.Compare(weight(a), weight(b)) }
	list := slices.SortedFunc(slices.Values(learned), order)
	for _, seed := range slices.SortedFunc(slices.Values(p.seeds), order) {
		if !slices.Contains(list, seed) {
			list = append(list, seed)
		}
	}
	p.learned = learned
	p.list = list
}

// next returns the leader if it is known, else the first process in the order
// that was never lost, or the one whose loss is longest ago.
func (p *places) next() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.leader != "" {
		return p.leader
	}
	return slices.MinFunc(p.list, func(a, b string) int { return cmp.Compare(p.losses[a], p.losses[b]) })
}

// lose notes that a process was lost, and that no leader is known.
func (p *places) lose(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.losses == nil || len(p.losses) > maxLosses {
		p.losses = make(map[string]int)
	}
	p.lost++
	p.losses[address] = p.lost
	p.leader = ""
}

// maxLosses bounds the addresses whose losses are remembered.
const maxLosses = 256

func (p *places) lead(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader = address
}

// elsewhere reports whether a known leader is at another address.
func (p *places) elsewhere(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leader != "" && p.leader != address
}
