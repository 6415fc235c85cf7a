package gate

import (
	"slices"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/wire"
)

// Loads returns the requests that this process has in flight at each target, which targets
// have not answered, and the paces of targets that are news to control. It returns nil if
// the first two have not changed since the last call and there is no news, unless force is
// set.
func (g *Gate) Loads(force bool) *wire.TargetLoads {
	loads := g.balancer.LocalLoads(g.cfg.Clock.Now(), force)
	g.lastReport.Lock()
	defer g.lastReport.Unlock()
	if !force && len(loads.GetPaced()) == 0 && equalLoads(loads, g.lastReport.loads) {
		return nil
	}
	g.lastReport.loads = loads
	return loads
}

func equalLoads(a, b *wire.TargetLoads) bool {
	if b == nil || a.GetRosterSource() != b.GetRosterSource() || len(a.GetTargets()) != len(b.GetTargets()) {
		return false
	}
	if !sameNumbers(a.GetSilent(), b.GetSilent()) || !sameNumbers(a.GetAwaited(), b.GetAwaited()) {
		return false
	}
	type load struct{ requests, tokens int }
	at := func(of *wire.TargetLoads, i int) load {
		return load{int(of.GetRequests()[i]), roster.LoadTokens(of, i)}
	}
	loads := make(map[uint32]load, len(a.GetTargets()))
	for i, number := range a.GetTargets() {
		loads[number] = at(a, i)
	}
	for i, number := range b.GetTargets() {
		if known, found := loads[number]; !found || known != at(b, i) {
			return false
		}
	}
	return true
}

// sameNumbers reports whether two lists hold the same numbers, in any order.
func sameNumbers(a, b []uint32) bool {
	if len(a) != len(b) {
		return false
	}
	for _, number := range a {
		if !slices.Contains(b, number) {
			return false
		}
	}
	return true
}
