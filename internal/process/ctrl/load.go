package ctrl

import (
	"cmp"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// reportRetention is how long a target's last report is shown to operators.
const reportRetention = 30 * time.Second

// TargetLoad is the last reported load of a target.
type TargetLoad struct {
	Target   ident.TargetName
	Requests int
	Tokens   ident.Tokens
	Queued   int
	Leaving  bool
	// Age is the time since the report.
	Age        record.Duration
	reportedAt time.Time
}

// setLastReport stores a target's report to show it to operators. The caller
// holds the lock.
func (p *poolLoads) setLastReport(now time.Time, target ident.TargetName, report *wire.LoadReport) {
	if p.lastReports == nil {
		p.lastReports = make(map[ident.TargetName]TargetLoad)
	}
	load := report.GetLoad()
	p.lastReports[target] = TargetLoad{
		Target:     target,
		Requests:   int(load.GetRequests()),
		Tokens:     ident.Tokens(load.GetTokens()),
		Queued:     int(load.GetQueued()),
		Leaving:    report.GetLeaving() || load.GetLeaving(),
		reportedAt: now,
	}
}

// targetLoads returns the recent loads of all targets that report to this
// process.
func (a *loadAggregator) targetLoads() []TargetLoad {
	now := a.clock.Now()
	var loads []TargetLoad
	for _, p := range a.allPools() {
		loads = append(loads, p.recentReports(now)...)
	}
	return loads
}

// recentReports returns the reports younger than reportRetention and drops the
// others.
func (p *poolLoads) recentReports(now time.Time) []TargetLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []TargetLoad
	for target, load := range p.lastReports {
		load.Age.Duration = now.Sub(load.reportedAt).Round(time.Millisecond)
		if load.Age.Duration > reportRetention {
			delete(p.lastReports, target)
			continue
		}
		loads = append(loads, load)
	}
	return loads
}

// newestLoads keeps the newest report of each target, sorted by name.
func newestLoads(loads []TargetLoad) []TargetLoad {
	slices.SortFunc(loads, func(a, b TargetLoad) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Age.Duration, b.Age.Duration))
	})
	return slices.CompactFunc(loads, func(a, b TargetLoad) bool { return a.Target == b.Target })
}
