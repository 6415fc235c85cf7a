package roster

import (
	"slices"
	"sync"

	"cactusline.dev/cactusline/internal/conn/wire"
)

// Loads sums what the processes that report to one book have in flight at each
// target. It is safe for concurrent use.
type Loads struct {
	mu     sync.Mutex
	totals map[Number]int
}

// Report is what one process has in flight, and what it was told of the
// others. Its zero value is an empty report.
type Report struct {
	own  map[Number]int
	told map[Number]int
}

// Take replaces a process's report.
func (l *Loads) Take(r *Report, in *wire.TargetLoads) {
	fresh := make(map[Number]int, len(in.GetTargets()))
	for i, number := range in.GetTargets() {
		if i < len(in.GetRequests()) {
			fresh[Number(number)] = int(in.GetRequests()[i])
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

// Forget takes a process's report out of the sums.
func (l *Loads) Forget(r *Report) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(r)
	r.own = nil
}

func (l *Loads) drop(r *Report) {
	if l.totals == nil {
		l.totals = make(map[Number]int)
	}
	for number, requests := range r.own {
		if l.totals[number] -= requests; l.totals[number] <= 0 {
			delete(l.totals, number)
		}
	}
}

// News returns what the other processes have in flight where the process that
// made the report was told otherwise, nil if that is nowhere.
func (l *Loads) News(source string, r *Report) *wire.TargetLoads {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.told == nil {
		r.told = make(map[Number]int)
	}
	var changed []Number
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
