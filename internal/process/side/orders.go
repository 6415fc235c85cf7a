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
	// compareInterval is how often the engine is compared with its record.
	compareInterval = 500 * time.Millisecond
	// fenceLife is how long after it was asked for a fence may be sent.
	fenceLife = 2 * time.Second
	// settleTime is how long a sidecar that starts holds its first order back
	// from an engine that ignores fences, so that what an older one has sent
	// comes first.
	settleTime = fenceLife + time.Second
	// orderTimeout bounds one order: loading weights may take minutes.
	orderTimeout = 10 * time.Minute
	// orderRetryInterval is the pause after an order that failed.
	orderRetryInterval = 2 * time.Second
)

// SupersededError says that a newer sidecar of the target has started.
type SupersededError struct {
	Detail string
}

// Error implements error.
func (e *SupersededError) Error() string { return "a newer sidecar has started: " + e.Detail }

// deployment is the sidecar's knowledge of what its engine runs. Its zero
// value knows nothing.
type deployment struct {
	mu    sync.Mutex
	state orders.State
}

// forget drops what is known of the engine.
func (d *deployment) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.Forget()
}

func (d *deployment) list(models []ident.ModelName) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state.ObserveModels(models)
}

func (d *deployment) next(desired orders.Desired, busy func(ident.ModelName) bool) (engine.Order, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.NextOrder(desired, busy)
}

func (d *deployment) stamp(order engine.Order, fence ident.Fence) (engine.Order, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.AssignFence(order, fence)
}

// settle takes the end of an order. After a failure nothing is known but the
// fence.
func (d *deployment) settle(answer engine.Deployment, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var refused *orderRefusedError
	switch {
	case err == nil:
		d.state.ObserveDeployment(answer)
	case errors.As(err, &refused):
		d.state.ObserveFence(refused.fence)
		d.state.Forget()
	default:
		d.state.Forget()
	}
}

// lacks reports whether the engine is known not to run a model.
func (d *deployment) lacks(model ident.ModelName) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.LacksModel(model)
}

// deploy orders from the engine what the target's record asks for, until ctx
// ends or a newer sidecar has started.
func (s *Sidecar) deploy(ctx context.Context) {
	begun := s.cfg.Clock.Now()
	for s.cfg.Clock.Sleep(ctx, compareInterval) == nil {
		err := s.compare(ctx, begun)
		var superseded *SupersededError
		if errors.As(err, &superseded) {
			_ = level.Error(s.cfg.Logger).Log("msg", "orders end", "target", s.cfg.TargetName, "err", err)
			return
		}
		if err != nil {
			_ = level.Warn(s.cfg.Logger).Log("msg", "order not given", "target", s.cfg.TargetName, "err", err)
			_ = s.cfg.Clock.Sleep(ctx, orderRetryInterval)
		}
	}
}

// compare gives the engine the next order, if it lacks anything.
func (s *Sidecar) compare(ctx context.Context, begun time.Time) error {
	f := s.follower.Load()
	if f == nil || s.down.Load() {
		return nil
	}
	target, ok := f.Set().Target(s.cfg.TargetName)
	if !ok || len(target.Models) == 0 {
		return nil
	}
	if !target.ChecksFencing && s.cfg.Clock.Now().Sub(begun) < settleTime {
		return nil
	}
	models, err := s.target.models(ctx)
	if err != nil {
		s.deployed.forget()
		return err
	}
	s.deployed.list(models)
	order, found := s.deployed.next(orders.Desired{Models: target.Models, Role: engine.Role(target.Role)}, s.inUse)
	if !found {
		return nil
	}
	if order.Kind == engine.OrderLoadModel {
		granted, retryAfter, err := s.permitFetch(ctx)
		if err != nil {
			return err
		}
		if !granted {
			return s.cfg.Clock.Sleep(ctx, retryAfter)
		}
	}
	return s.give(ctx, order)
}

// unloaded reports whether the record asks for a model that the engine does
// not run yet.
func (s *Sidecar) unloaded(model ident.ModelName) bool {
	f := s.follower.Load()
	if f == nil || !s.deployed.lacks(model) {
		return false
	}
	target, ok := f.Set().Target(s.cfg.TargetName)
	return ok && target.Serves(model, "", "")
}

// inUse reports whether the model may be needed by work that was taken on.
func (s *Sidecar) inUse(model ident.ModelName) bool {
	return s.admitted.Load().Queued > 0 || s.runs.uses(model)
}

// give sends one order under a new fence.
func (s *Sidecar) give(ctx context.Context, order engine.Order) error {
	asked := s.cfg.Clock.Now()
	fence, err := s.nextFence(ctx, order)
	if err != nil {
		return err
	}
	order, err = s.deployed.stamp(order, fence)
	if err != nil {
		return fmt.Errorf("stamp order: %w", err)
	}
	if waited := s.cfg.Clock.Now().Sub(asked); waited > fenceLife {
		return fmt.Errorf("fence %d came after %v, too late to be used", fence, waited)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	answer, err := s.target.order(ctx, order)
	s.deployed.settle(answer, err)
	if err != nil {
		return err
	}
	_ = level.Info(s.cfg.Logger).Log("msg", "order given", "target", s.cfg.TargetName, "order", orders.Describe(order), "fence", fence)
	return nil
}

// nextFence has control number an order, which enters it in the audit log. It
// returns a *SupersededError if this sidecar is no longer the target's newest.
func (s *Sidecar) nextFence(ctx context.Context, order engine.Order) (ident.Fence, error) {
	ctx, cancel := context.WithTimeout(ctx, fenceLife)
	defer cancel()
	result, err := s.propose(ctx, &cmdpb.Command{Body: &cmdpb.Command_Fence{Fence: &cmdpb.NextFence{
		Target:      string(s.cfg.TargetName),
		Order:       orders.Describe(order),
		Incarnation: uint64(s.cfg.Incarnation),
	}}})
	if err != nil {
		return 0, fmt.Errorf("ask for a fence: %w", err)
	}
	switch result.GetStatus() {
	case cmdpb.Status_STATUS_OK:
		return ident.Fence(result.GetFence()), nil
	case cmdpb.Status_STATUS_REFUSED:
		return 0, &SupersededError{Detail: result.GetDetail()}
	default:
		return 0, fmt.Errorf("ask for a fence: %s", result.GetDetail())
	}
}

// propose commits a command and returns its result.
func (s *Sidecar) propose(ctx context.Context, command *cmdpb.Command) (*cmdpb.Result, error) {
	command.Actor = "sidecar/" + string(s.cfg.TargetName)
	return s.cfg.Control.Propose(ctx, command)
}
