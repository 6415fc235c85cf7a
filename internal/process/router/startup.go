package router

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/record"
)

const (
	// startupProbesPerRound is the number of targets probed per round: as many as a
	// request may be offered to.
	startupProbesPerRound = 3
	// startupProbeInterval is the pause between rounds. The load balancer does
	// not check readiness more often than that.
	startupProbeInterval = 100 * time.Millisecond
	// startupWaitTimeout is when the router becomes ready even if no target
	// accepts requests. It is longer than a sidecar needs to time out on two
	// silent control processes in a row before it watches a third.
	startupWaitTimeout = 3 * time.Second
)

// errNoTargetYet makes a router unready until it has found a target that accepts
// requests.
var errNoTargetYet = errors.New("no target accepts requests yet")

// startupWait records whether the router has stopped waiting for a target that accepts
// requests: one does, there are no targets, or startupWaitTimeout has passed.
type startupWait struct {
	done atomic.Bool
}

// awaitTarget probes targets, once a quorum has confirmed the router's records, until
// one accepts requests. A sidecar that has just started refuses all requests until a
// quorum has confirmed its records, which may happen later. After a power loss of the
// whole fleet, a router that did not wait would receive requests that all targets
// refuse.
func (r *Router) awaitTarget(ctx context.Context) {
	var waitStart time.Time
	for ; !r.startupWait.done.Load(); r.pause(ctx) {
		if ctx.Err() != nil {
			return
		}
		if !r.cfg.Follower.HasLease() {
			continue
		}
		now := r.cfg.Clock.Now()
		if waitStart.IsZero() {
			waitStart = now
		}
		if now.Sub(waitStart) >= startupWaitTimeout {
			_ = level.Warn(r.cfg.Logger).Log("msg", "no target accepts requests", "waited", now.Sub(waitStart))
			r.startupWait.done.Store(true)
			return
		}
		r.probeSample(ctx)
	}
}

// pause sleeps between two rounds of probes.
func (r *Router) pause(ctx context.Context) {
	// If ctx has ended, the caller's loop ends as well.
	_ = r.cfg.Clock.Sleep(ctx, startupProbeInterval)
}

// probeSample starts probes of a few targets, chosen at random for each round. If there
// are no targets, there is nothing to wait for.
func (r *Router) probeSample(ctx context.Context) {
	targets := r.view.set().Targets()
	if len(targets) == 0 {
		r.startupWait.done.Store(true)
		return
	}
	random := r.random.fork()
	for range min(startupProbesPerRound, len(targets)) {
		go r.probeForStartup(ctx, targets[random.IntN(len(targets))])
	}
}

// probeForStartup probes a target, and ends the wait if it accepts requests.
func (r *Router) probeForStartup(ctx context.Context, target *record.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply := new(wire.ProbeReply)
	call := &wire.Call{Body: &wire.Call_Probe{Probe: new(wire.Probe)}}
	err := r.cfg.Link.Ask(ctx, target.Address, call, reply)
	if err == nil && reply.GetTarget() == string(target.Name) && !reply.GetStarting() {
		r.startupWait.done.Store(true)
	}
}
