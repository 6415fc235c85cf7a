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
	// startProbes is how many targets are asked at a time: as many as a request
	// may be offered to.
	startProbes = 3
	// startInterval is the pause between the rounds; the balancer asks whether a
	// router is ready no more often.
	startInterval = 100 * time.Millisecond
	// startPatience ends the wait where no target answers. It is longer than two
	// watches in a row of control processes that send nothing, after each of which
	// a sidecar turns to the next one.
	startPatience = 3 * time.Second
)

// errNoTargetYet is why a router that has just started gets no callers.
var errNoTargetYet = errors.New("no target takes requests yet")

// start tells whether a router has found a target that takes requests since it
// started.
type start struct {
	reached atomic.Bool
}

// awaitTarget looks for a target that takes requests once a quorum has confirmed
// the records. Sidecars that have just started refuse all until a quorum has
// confirmed theirs, which may be later: after a loss of power everywhere, a
// router that did not wait would be given callers only to refuse them.
func (r *Router) awaitTarget(ctx context.Context) {
	var since time.Time
	for ; !r.start.reached.Load(); r.pause(ctx) {
		if ctx.Err() != nil {
			return
		}
		if !r.cfg.Follower.HasLease() {
			continue
		}
		now := r.cfg.Clock.Now()
		if since.IsZero() {
			since = now
		}
		if now.Sub(since) >= startPatience {
			_ = level.Warn(r.cfg.Logger).Log("msg", "no target takes requests", "waited", now.Sub(since))
			r.start.reached.Store(true)
			return
		}
		r.seek(ctx)
	}
}

func (r *Router) pause(ctx context.Context) {
	// Where ctx has ended, the loop ends too.
	_ = r.cfg.Clock.Sleep(ctx, startInterval)
}

// seek asks a few targets, drawn anew each time.
func (r *Router) seek(ctx context.Context) {
	targets := r.view.set().Targets()
	if len(targets) == 0 {
		r.start.reached.Store(true)
		return
	}
	random := r.random.fork()
	for range min(startProbes, len(targets)) {
		go r.seekOne(ctx, targets[random.IntN(len(targets))])
	}
}

func (r *Router) seekOne(ctx context.Context, target *record.Target) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	reply := new(wire.ProbeReply)
	call := &wire.Call{Body: &wire.Call_Probe{Probe: new(wire.Probe)}}
	err := r.cfg.Link.Ask(ctx, target.Address, call, reply)
	if err == nil && reply.GetTarget() == string(target.Name) && !reply.GetStarting() {
		r.start.reached.Store(true)
	}
}
