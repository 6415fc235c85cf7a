package ctrl

import (
	"cmp"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// loadKept is how long a target's last report is shown.
const loadKept = 30 * time.Second

// TargetLoad is the outstanding work that a sidecar last reported.
type TargetLoad struct {
	Target   ident.TargetName
	Requests int
	Tokens   ident.Tokens
	Queued   int
	Leaving  bool
	// Age is the time since the report.
	Age record.Duration
	at  time.Time
}

// note keeps a target's report to be shown. The caller holds the lock.
func (p *poolLoad) note(now time.Time, target ident.TargetName, report *wire.LoadReport) {
	if p.shown == nil {
		p.shown = make(map[ident.TargetName]TargetLoad)
	}
	load := report.GetLoad()
	p.shown[target] = TargetLoad{
		Target:   target,
		Requests: int(load.GetRequests()),
		Tokens:   ident.Tokens(load.GetTokens()),
		Queued:   int(load.GetQueued()),
		Leaving:  report.GetLeaving() || load.GetLeaving(),
		at:       now,
	}
}

// loads returns the last reports of all targets that report here.
func (b *balancer) loads() []TargetLoad {
	now := b.clock.Now()
	var loads []TargetLoad
	for _, p := range b.list() {
		loads = append(loads, p.reports(now)...)
	}
	return loads
}

func (p *poolLoad) reports(now time.Time) []TargetLoad {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []TargetLoad
	for target, load := range p.shown {
		load.Age.Duration = now.Sub(load.at).Round(time.Millisecond)
		if load.Age.Duration > loadKept {
			delete(p.shown, target)
			continue
		}
		loads = append(loads, load)
	}
	return loads
}

// youngest keeps one report of each target, sorted by name.
func youngest(loads []TargetLoad) []TargetLoad {
	slices.SortFunc(loads, func(a, b TargetLoad) int {
		return cmp.Or(cmp.Compare(a.Target, b.Target), cmp.Compare(a.Age.Duration, b.Age.Duration))
	})
	return slices.CompactFunc(loads, func(a, b TargetLoad) bool { return a.Target == b.Target })
}
