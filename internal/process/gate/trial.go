package gate

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// trialTimeout bounds the question whether a trial may begin.
	trialTimeout = time.Second
	// trialRetryDelay is the shortest time between two such questions of one gate about
	// one request.
	trialRetryDelay = time.Second
)

// trialAsker limits how often a gate asks for trials of a request. Its zero value is
// ready for use.
type trialAsker struct {
	mu      sync.Mutex
	askedAt map[ident.Fingerprint]time.Time
}

// mayAsk records a question and returns true. If the last one was less than
// trialRetryDelay ago, it returns when the next may be asked, and false.
func (a *trialAsker) mayAsk(now time.Time, fingerprint ident.Fingerprint) (next time.Time, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if askedAt, found := a.askedAt[fingerprint]; found && now.Sub(askedAt) < trialRetryDelay {
		return askedAt.Add(trialRetryDelay), false
	}
	maps.DeleteFunc(a.askedAt, func(_ ident.Fingerprint, askedAt time.Time) bool { return now.Sub(askedAt) >= trialRetryDelay })
	if a.askedAt == nil {
		a.askedAt = make(map[ident.Fingerprint]time.Time)
	}
	a.askedAt[fingerprint] = now
	return time.Time{}, true
}

// mayRun reports whether the request may be sent to a target. If it may not, because it
// is quarantined or control grants no trial, it returns when its caller may send it
// again.
func (c *call) mayRun(ctx context.Context, now time.Time) (next time.Time, ok bool) {
	suspects := c.gate.suspects
	if suspects.empty() {
		return time.Time{}, true
	}
	if end, quarantined := suspects.quarantineEnd(now, c.fingerprint()); quarantined {
		return end, false
	}
	if c.onTrial || !suspects.wasQuarantined(c.fingerprint()) {
		return time.Time{}, true
	}
	next, ok = suspects.trials.mayAsk(now, c.fingerprint())
	if !ok {
		return next, false
	}
	c.onTrial = c.gate.beginTrial(ctx, c.fingerprint())
	return c.gate.cfg.Clock.Now().Add(trialRetryDelay), c.onTrial
}

// beginTrial asks control whether a request may run after its quarantine. Without an
// answer it may not.
func (g *Gate) beginTrial(ctx context.Context, fingerprint ident.Fingerprint) bool {
	if g.cfg.Control == nil {
		return true
	}
	granted, err := g.proposeTrial(ctx, fingerprint)
	if err != nil {
		_ = level.Warn(g.cfg.Logger).Log("msg", "asking for a trial failed", "Fingerprint", fingerprint.String(), "err", err)
	}
	return granted
}

// proposeTrial proposes the trial of one request.
func (g *Gate) proposeTrial(ctx context.Context, fingerprint ident.Fingerprint) (granted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, trialTimeout)
	defer cancel()
	report := &cmdpb.GateReport{Trials: []uint64{uint64(fingerprint)}}
	result, err := g.cfg.Control.Propose(ctx, &cmdpb.Command{Body: &cmdpb.Command_GateReport{GateReport: report}})
	if err != nil {
		return false, fmt.Errorf("propose trial: %w", err)
	}
	return slices.Contains(result.GetGrantedTrials(), uint64(fingerprint)), nil
}
