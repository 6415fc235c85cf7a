package health

import (
	"math"
	"slices"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

func ln(x float64) float64 { return math.Log(x) }

// prober selects targets to probe, within a rate limit. It cycles through all
// targets and prefers those whose ejection may end over those without a recent
// result.
type prober struct {
	mu             sync.Mutex
	names          []ident.TargetName
	next           int
	availableBytes float64
	lastRefill     time.Time
}

func (p *prober) add(name ident.TargetName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(p.names, name) {
		p.names = append(p.names, name)
	}
}

// NextProbe returns a target to probe now and charges the probe to the rate
// limit. It returns false if no target is due or the rate limit is exhausted.
// The caller must pass the result to Report with Probe set.
func (c *Checker) NextProbe(now time.Time) (ident.TargetName, bool) {
	p := &c.prober
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refill(now, float64(c.cfg.ProbeRate), float64(c.cfg.ProbeSize))
	if p.availableBytes < float64(c.cfg.ProbeSize) {
		return "", false
	}
	name, ok := c.pickProbe(now)
	if !ok {
		return "", false
	}
	p.availableBytes -= float64(c.cfg.ProbeSize)
	return name, true
}

// refill adds the bytes that probes may use since the last refill, up to the
// size of one probe.
func (p *prober) refill(now time.Time, rate, size float64) {
	if p.lastRefill.IsZero() {
		p.availableBytes, p.lastRefill = size, now
		return
	}
	if elapsed := now.Sub(p.lastRefill); elapsed > 0 {
		p.availableBytes = min(size, p.availableBytes+rate*elapsed.Seconds())
		p.lastRefill = now
	}
}

// pickProbe returns the next target to probe, scanning each target at most
// once. The caller holds the prober's lock.
func (c *Checker) pickProbe(now time.Time) (ident.TargetName, bool) {
	p := &c.prober
	chosen := -1
	for i := range p.names {
		index := (p.next + i) % len(p.names)
		reason := c.reasonToProbe(now, p.names[index])
		if reason == probeHalfOpen {
			chosen = index
			break
		}
		if reason == probeNoRecentResult && chosen < 0 {
			chosen = index
		}
	}
	if chosen < 0 {
		return "", false
	}
	p.next = (chosen + 1) % len(p.names)
	c.markProbed(now, p.names[chosen])
	return p.names[chosen], true
}

// probeReason is the reason why a target should be probed.
type probeReason uint8

const (
	noProbe probeReason = iota
	probeNoRecentResult
	probeHalfOpen
)

func (c *Checker) reasonToProbe(now time.Time, name ident.TargetName) probeReason {
	s := c.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil || t.left || now.Sub(t.lastProbe) < c.cfg.MinProbeInterval {
		return noProbe
	}
	if t.ejected && !now.Before(t.ejectedUntil) {
		return probeHalfOpen
	}
	if !t.ejected && now.Sub(t.lastEventAt) >= c.cfg.ProbeInterval {
		return probeNoRecentResult
	}
	return noProbe
}

func (c *Checker) markProbed(now time.Time, name ident.TargetName) {
	s := c.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets[name].lastProbe = now
}
