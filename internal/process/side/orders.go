package side

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/process/engine"
	"cactusline.dev/cactusline/internal/process/orders"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// reconcileInterval is how often the engine is compared with the target's
	// record.
	reconcileInterval = 500 * time.Millisecond
	// fenceLifetime is how long after it was requested a fence may still be
	// sent to the engine.
	fenceLifetime = 2 * time.Second
	// firstOrderDelay is how long a starting sidecar waits before it sends
	// orders to an engine that ignores fences, so that the orders of an older
	// sidecar arrive first.
	firstOrderDelay = fenceLifetime + time.Second
	// orderTimeout limits one order. Loading weights may take minutes.
	orderTimeout = 10 * time.Minute
	// reconcileRetryInterval is the extra pause after a failed reconciliation.
	reconcileRetryInterval = 2 * time.Second
)

// SupersededError reports that control gives this sidecar no more fences,
// because a newer sidecar of the target has started.
type SupersededError struct {
	Detail string
}

// Error implements error.
func (e *SupersededError) Error() string { return "superseded by a newer sidecar: " + e.Detail }

// engineState is an orders.EngineState that is safe for concurrent use. Its zero
// value knows nothing.
type engineState struct {
	mu    sync.Mutex
	state orders.EngineState
}

// forget discards what is known of the engine, except the highest fence.
func (o *engineState) forget() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.Forget()
}

func (o *engineState) observeModels(models []ident.ModelName) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.ObserveModels(models)
}

func (o *engineState) nextOrder(desired orders.Desired, inUse func(ident.ModelName) bool) (engine.Order, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.NextOrder(desired, inUse)
}

func (o *engineState) assignFence(order engine.Order, fence ident.Fence) (engine.Order, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.AssignFence(order, fence)
}

// recordResult records the result of an order. After a failure, nothing is known
// of the engine but the highest fence.
func (o *engineState) recordResult(deployment engine.Deployment, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	var refused *fenceRefusedError
	switch {
	case err == nil:
		o.state.ObserveDeployment(deployment)
	case errors.As(err, &refused):
		o.state.ObserveFence(refused.fence)
		o.state.Forget()
	default:
		o.state.Forget()
	}
}

// lacksModel reports whether the engine is known not to run a model.
func (o *engineState) lacksModel(model ident.ModelName) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.LacksModel(model)
}

// reconcileEngine sends the engine orders until it runs what the target's record
// asks for, and again after each change, until ctx ends or a newer sidecar has
// started.
func (s *Sidecar) reconcileEngine(ctx context.Context) {
	started := s.cfg.Clock.Now()
	for s.cfg.Clock.Sleep(ctx, reconcileInterval) == nil {
		err := s.reconcileOnce(ctx, started)
		var superseded *SupersededError
		if errors.As(err, &superseded) {
			_ = level.Error(s.cfg.Logger).Log("msg", "sidecar sends no more orders", "target", s.cfg.TargetName, "err", err)
			return
		}
		if err != nil {
			_ = level.Warn(s.cfg.Logger).Log("msg", "reconciling the engine failed", "target", s.cfg.TargetName, "err", err)
			_ = s.cfg.Clock.Sleep(ctx, reconcileRetryInterval)
		}
	}
}

// reconcileOnce compares the engine with the target's record and sends the next
// order, if there is one.
func (s *Sidecar) reconcileOnce(ctx context.Context, started time.Time) error {
	f := s.follower.Load()
	if f == nil || s.down.Load() {
		return nil
	}
	target, ok := f.Set().Target(s.cfg.TargetName)
	if !ok || len(target.Models) == 0 {
		return nil
	}
	if !target.ChecksFencing && s.cfg.Clock.Now().Sub(started) < firstOrderDelay {
		return nil
	}
	models, err := s.target.listModels(ctx)
	if err != nil {
		s.engineState.forget()
		return err
	}
	s.engineState.observeModels(models)
	order, found := s.engineState.nextOrder(orders.Desired{Models: target.Models, Role: engine.Role(target.Role)}, s.modelInUse)
	if !found {
		return nil
	}
	if order.Kind == engine.OrderLoadModel {
		granted, retryAfter, err := s.requestWeightsPermit(ctx)
		if err != nil {
			return err
		}
		if !granted {
			return s.cfg.Clock.Sleep(ctx, retryAfter)
		}
	}
	return s.executeOrder(ctx, order)
}

// modelPending reports whether the target's record asks for the model but the
// engine does not run it yet.
func (s *Sidecar) modelPending(model ident.ModelName) bool {
	f := s.follower.Load()
	if f == nil || !s.engineState.lacksModel(model) {
		return false
	}
	target, ok := f.Set().Target(s.cfg.TargetName)
	return ok && target.Serves(model, "", "")
}

// modelInUse reports whether admitted or queued work may need the model. While
// any work is queued, every model counts as in use.
func (s *Sidecar) modelInUse(model ident.ModelName) bool {
	return s.admission.Load().Queued > 0 || s.runs.usesModel(model)
}

// executeOrder sends one order with a new fence, and records its result.
func (s *Sidecar) executeOrder(ctx context.Context, order engine.Order) error {
	requestedAt := s.cfg.Clock.Now()
	fence, err := s.nextFence(ctx, order)
	if err != nil {
		return err
	}
	order, err = s.engineState.assignFence(order, fence)
	if err != nil {
		return fmt.Errorf("assign fence: %w", err)
	}
	if elapsed := s.cfg.Clock.Now().Sub(requestedAt); elapsed > fenceLifetime {
		return fmt.Errorf("fence %d has expired: it arrived after %v", fence, elapsed)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	deployment, err := s.target.sendOrder(ctx, order)
	s.engineState.recordResult(deployment, err)
	if err != nil {
		return err
	}
	_ = level.Info(s.cfg.Logger).Log("msg", "engine executed order", "target", s.cfg.TargetName, "order", orders.Describe(order), "fence", fence)
	return nil
}

// nextFence requests a fence for an order from control, which also enters the
// order in the audit log. It returns a *SupersededError if this sidecar is no
// longer the target's newest.
func (s *Sidecar) nextFence(ctx context.Context, order engine.Order) (ident.Fence, error) {
	ctx, cancel := context.WithTimeout(ctx, fenceLifetime)
	defer cancel()
	result, err := s.propose(ctx, &cmdpb.Command{Body: &cmdpb.Command_Fence{Fence: &cmdpb.NextFence{
		Target:      string(s.cfg.TargetName),
		Order:       orders.Describe(order),
		Incarnation: uint64(s.cfg.Incarnation),
	}}})
	if err != nil {
		return 0, fmt.Errorf("request fence: %w", err)
	}
	switch result.GetStatus() {
	case cmdpb.Status_STATUS_OK:
		return ident.Fence(result.GetFence()), nil
	case cmdpb.Status_STATUS_REFUSED:
		return 0, &SupersededError{Detail: result.GetDetail()}
	default:
		return 0, fmt.Errorf("request fence: %s", result.GetDetail())
	}
}

// propose has control commit a command, with this sidecar as its actor, and
// returns the result.
func (s *Sidecar) propose(ctx context.Context, command *cmdpb.Command) (*cmdpb.Result, error) {
	command.Actor = "sidecar/" + string(s.cfg.TargetName)
	return s.cfg.Control.Propose(ctx, command)
}
