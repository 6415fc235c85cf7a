package roster

import (
	"slices"
	"sync"

	"cactusline.dev/cactusline/internal/conn/wire"
)

// LoadTotals sums what the processes that report to one book have in flight at each
// target. It is safe for concurrent use.
type LoadTotals struct {
	mu     sync.Mutex
	totals map[TargetNumber]int
}

// ProcessLoads is what one process has in flight, and what it was told of the
// others. Its zero value is an empty report.
type ProcessLoads struct {
	own  map[TargetNumber]int
	told map[TargetNumber]int
}

// Update replaces a process's report.
func (l *LoadTotals) Update(r *ProcessLoads, in *wire.TargetLoads) {
	fresh := make(map[TargetNumber]int, len(in.GetTargets()))
	for i, number := range in.GetTargets() {
		if i < len(in.GetRequests()) {
			fresh[TargetNumber(number)] = int(in.GetRequests()[i])
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(r)
	for number, requests := range fresh {
		l.totals[number] += requests
	}
	r.own = fresh
}

// Remove takes a process's report out of the sums.
func (l *LoadTotals) Remove(r *ProcessLoads) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(r)
	r.own = nil
}

func (l *LoadTotals) drop(r *ProcessLoads) {
	if l.totals == nil {
		l.totals = make(map[TargetNumber]int)
	}
	for number, requests := range r.own {
		if l.totals[number] -= requests; l.totals[number] <= 0 {
			delete(l.totals, number)
		}
	}
}

// Delta returns what the other processes have in flight where the process that
// made the report was told otherwise, nil if that is nowhere.
func (l *LoadTotals) Delta(source string, r *ProcessLoads) *wire.TargetLoads {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.told == nil {
		r.told = make(map[TargetNumber]int)
	}
	var changed []TargetNumber
	for number, total := range l.totals {
		if others := total - r.own[number]; others != r.told[number] {
			r.told[number] = others
			changed = append(changed, number)
		}
	}
	for number := range r.told {
		if _, loaded := l.totals[number]; !loaded {
			r.told[number] = 0
			changed = append(changed, number)
		}
	}
	if len(changed) == 0 {
		return nil
	}
	slices.Sort(changed)
	out := &wire.TargetLoads{RosterSource: source}
	for _, number := range changed {
		out.Targets = append(out.Targets, uint32(number))
		out.Requests = append(out.Requests, uint32(max(0, r.told[number])))
		if r.told[number] == 0 {
			delete(r.told, number)
		}
	}
	return out
}
