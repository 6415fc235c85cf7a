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
// or a part of its prompt is quarantined or control grants no trial, it returns when its
// caller may send it again.
func (c *call) mayRun(ctx context.Context, now time.Time) (next time.Time, ok bool) {
	suspects := c.gate.suspects
	if suspects.empty() {
		return time.Time{}, true
	}
	subjects := c.subjects()
	for _, subject := range subjects {
		if end, quarantined := suspects.quarantineEnd(now, subject); quarantined && end.After(next) {
			next, c.quarantinedBy = end, subject
		}
	}
	if c.quarantinedBy != 0 {
		return next, false
	}
	released := slices.IndexFunc(subjects, suspects.wasQuarantined)
	if c.onTrial || released < 0 {
		return time.Time{}, true
	}
	return c.beginTrial(ctx, now, subjects[released])
}

// beginTrial asks for a trial of the request after the quarantine of itself or of a part
// of its prompt. Its results are those of mayRun. No trial begins while there is no
// target for it, since the next one would have to wait for its result.
func (c *call) beginTrial(ctx context.Context, now time.Time, subject ident.Fingerprint) (next time.Time, ok bool) {
	c.quarantinedBy = subject
	if !c.gate.balancer.HasUsable(now, c.placement.Service) {
		return now.Add(trialRetryDelay), false
	}
	if next, ok = c.gate.suspects.trials.mayAsk(now, subject); !ok {
		return next, false
	}
	if c.onTrial = c.gate.askTrial(ctx, subject); c.onTrial {
		c.quarantinedBy = 0
	}
	return c.gate.cfg.Clock.Now().Add(trialRetryDelay), c.onTrial
}

// askTrial asks control whether a request may run after a quarantine. Without an answer
// it may not.
func (g *Gate) askTrial(ctx context.Context, fingerprint ident.Fingerprint) bool {
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
