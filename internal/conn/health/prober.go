package health

import (
	"math"
	"slices"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

func logOf(x float64) float64 { return math.Log(x) }

// prober hands out probes within a rate. It goes round all targets, and serves
// those whose ejection may end before those that were merely not heard.
type prober struct {
	mu     sync.Mutex
	names  []ident.TargetName
	at     int
	tokens float64
	filled time.Time
}

func (p *prober) add(name ident.TargetName) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !slices.Contains(p.names, name) {
		p.names = append(p.names, name)
	}
}

// NextProbe returns a target that should be probed now, if one should and the
// rate allows it, and charges for the probe. Its result must come by Report
// with Probe set.
func (c *Checker) NextProbe(now time.Time) (ident.TargetName, bool) {
	p := &c.prober
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fill(now, float64(c.cfg.ProbeRate), float64(c.cfg.ProbeSize))
	if p.tokens < float64(c.cfg.ProbeSize) {
		return "", false
	}
	name, ok := c.pickProbe(now)
	if !ok {
		return "", false
	}
	p.tokens -= float64(c.cfg.ProbeSize)
	return name, true
}

// fill earns what a second may cost, and saves up for no more than one probe.
func (p *prober) fill(now time.Time, rate, size float64) {
	if p.filled.IsZero() {
		p.tokens, p.filled = size, now
		return
	}
	if elapsed := now.Sub(p.filled); elapsed > 0 {
		p.tokens = min(size, p.tokens+rate*elapsed.Seconds())
		p.filled = now
	}
}

// pickProbe goes round the targets once. The prober's lock is held.
func (c *Checker) pickProbe(now time.Time) (ident.TargetName, bool) {
	p := &c.prober
	unheard := -1
	for i := range p.names {
		at := (p.at + i) % len(p.names)
		need := c.probeNeed(now, p.names[at])
		if need == needTrial {
			unheard = at
			break
		}
		if need == needNews && unheard < 0 {
			unheard = at
		}
	}
	if unheard < 0 {
		return "", false
	}
	p.at = (unheard + 1) % len(p.names)
	c.markProbed(now, p.names[unheard])
	return p.names[unheard], true
}

// need is why a target should be probed.
type need uint8

const (
	needNothing need = iota
	needNews
	needTrial
)

func (c *Checker) probeNeed(now time.Time, name ident.TargetName) need {
	s := c.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.targets[name]
	if t == nil || t.left || now.Sub(t.probed) < c.cfg.ProbeTimeout {
		return needNothing
	}
	if t.ejected && !now.Before(t.until) {
		return needTrial
	}
	if !t.ejected && now.Sub(t.heard) >= c.cfg.ProbeEvery {
		return needNews
	}
	return needNothing
}

func (c *Checker) markProbed(now time.Time, name ident.TargetName) {
	s := c.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets[name].probed = now
}
