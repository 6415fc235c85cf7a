package roster

import (
	"math"
	"slices"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
)

// LoadTotals sums the requests in flight at each target and their tokens over all
// processes that report to this one, and holds the newest pace of each target. It is safe
// for concurrent use.
type LoadTotals struct {
	mu     sync.Mutex
	totals map[TargetNumber]load
	// paces holds what was reported within PaceMemory.
	paces map[TargetNumber]Pace
}

// load is the work that is in flight at a target.
type load struct {
	requests, tokens int
}

// ProcessLoads holds the loads that one process reported last, and the totals of the
// other processes that were last sent to it. Its zero value is empty.
type ProcessLoads struct {
	reported map[TargetNumber]load
	sent     map[TargetNumber]load
	// heard holds the paces that the process knows, by its own reports and by what was
	// sent to it.
	heard map[TargetNumber]Pace
	// silent are the targets that the process called silent last.
	silent []TargetNumber
}

// Update replaces the loads that a process reported, and adds the paces.
func (l *LoadTotals) Update(now time.Time, process *ProcessLoads, in *wire.TargetLoads) {
	reported := make(map[TargetNumber]load, len(in.GetTargets()))
	for i, number := range in.GetTargets() {
		if i < len(in.GetRequests()) {
			reported[TargetNumber(number)] = load{requests: int(in.GetRequests()[i]), tokens: LoadTokens(in, i)}
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subtract(process)
	for number, of := range reported {
		total := l.totals[number]
		l.totals[number] = load{requests: total.requests + of.requests, tokens: total.tokens + of.tokens}
	}
	process.reported = reported
	for number, pace := range DecodePaces(now, in) {
		process.hear(number, pace)
		if pace.ObservedAt.After(l.paces[number].ObservedAt) {
			l.paces[number] = pace
		}
	}
}

func (p *ProcessLoads) hear(number TargetNumber, pace Pace) {
	if p.heard == nil {
		p.heard = make(map[TargetNumber]Pace)
	}
	if pace.ObservedAt.After(p.heard[number].ObservedAt) {
		p.heard[number] = pace
	}
}

// LoadTokens returns the tokens of the requests in flight at the target with an index.
func LoadTokens(loads *wire.TargetLoads, i int) int {
	if i >= len(loads.GetTokens()) {
		return 0
	}
	return int(loads.GetTokens()[i])
}

// Remove subtracts the loads of a process from the totals.
func (l *LoadTotals) Remove(process *ProcessLoads) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.subtract(process)
	process.reported = nil
}

// Total returns the requests in flight at a target.
func (l *LoadTotals) Total(number TargetNumber) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.totals[number].requests
}

func (l *LoadTotals) subtract(process *ProcessLoads) {
	if l.totals == nil {
		l.totals = make(map[TargetNumber]load)
		l.paces = make(map[TargetNumber]Pace)
	}
	for number, of := range process.reported {
		total := l.totals[number]
		total = load{requests: total.requests - of.requests, tokens: total.tokens - of.tokens}
		if total.requests <= 0 {
			delete(l.totals, number)
			continue
		}
		l.totals[number] = total
	}
}

// Delta returns the loads of all other processes, for the targets where they differ from
// what was last sent to the process, and the paces that are news to it. It returns nil if
// there are none.
func (l *LoadTotals) Delta(now time.Time, source string, process *ProcessLoads) *wire.TargetLoads {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := &wire.TargetLoads{RosterSource: source}
	l.addLoads(process, out)
	l.addPaces(now, process, out)
	if len(out.GetTargets()) == 0 && len(out.GetPaced()) == 0 {
		return nil
	}
	return out
}

// addLoads adds the loads that changed.
func (l *LoadTotals) addLoads(process *ProcessLoads, out *wire.TargetLoads) {
	if process.sent == nil {
		process.sent = make(map[TargetNumber]load)
	}
	var changed []TargetNumber
	hasTokens := false
	for number, total := range l.totals {
		own := process.reported[number]
		fromOthers := load{requests: total.requests - own.requests, tokens: total.tokens - own.tokens}
		if fromOthers != process.sent[number] {
			hasTokens = hasTokens || fromOthers.tokens > 0
			process.sent[number] = fromOthers
			changed = append(changed, number)
		}
	}
	// Targets without load are sent once more, as 0.
	for number := range process.sent {
		if _, loaded := l.totals[number]; !loaded {
			process.sent[number] = load{}
			changed = append(changed, number)
		}
	}
	slices.Sort(changed)
	for _, number := range changed {
		of := process.sent[number]
		out.Targets = append(out.Targets, uint32(number))
		out.Requests = append(out.Requests, uint32(max(0, of.requests)))
		if hasTokens {
			out.Tokens = append(out.Tokens, uint32(min(max(0, of.tokens), math.MaxUint32)))
		}
		if of == (load{}) {
			delete(process.sent, number)
		}
	}
}

// addPaces adds the paces that are news to the process, and forgets old ones.
func (l *LoadTotals) addPaces(now time.Time, process *ProcessLoads, out *wire.TargetLoads) {
	var news []TargetNumber
	for number, pace := range l.paces {
		if !pace.Current(now) {
			delete(l.paces, number)
		} else if pace.IsNews(process.heard[number]) {
			news = append(news, number)
		}
	}
	for number, pace := range process.heard {
		if !pace.Current(now) {
			delete(process.heard, number)
		}
	}
	slices.Sort(news)
	for _, number := range news {
		pace := l.paces[number]
		process.hear(number, pace)
		AppendPace(now, out, number, pace)
	}
}

// AppendPace adds the pace of a target to a message.
func AppendPace(now time.Time, out *wire.TargetLoads, number TargetNumber, pace Pace) {
	out.Paced = append(out.Paced, uint32(number))
	out.PacePercent = append(out.PacePercent, uint32(pace.Percent))
	out.PaceAgeMs = append(out.PaceAgeMs, uint32(max(0, now.Sub(pace.ObservedAt).Milliseconds())))
}

// DecodePaces returns the paces in a message that was received at a time.
func DecodePaces(now time.Time, in *wire.TargetLoads) map[TargetNumber]Pace {
	paces := make(map[TargetNumber]Pace, len(in.GetPaced()))
	for i, number := range in.GetPaced() {
		if i < len(in.GetPacePercent()) && i < len(in.GetPaceAgeMs()) {
			age := time.Duration(in.GetPaceAgeMs()[i]) * time.Millisecond
			paces[TargetNumber(number)] = Pace{Percent: int(in.GetPacePercent()[i]), ObservedAt: now.Add(-age)}
		}
	}
	return paces
}
