package ctrl

import (
	"context"
	"time"

	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/version/ident"
)

// forceInterval is how often control looks whether a revision is in force.
const forceInterval = 50 * time.Millisecond

// Rollout says how far a revision has come.
type Rollout struct {
	Revision ident.Revision
	// InForce says that every process whose lease may still run acts on the
	// revision or on a later one.
	InForce bool
	// Pending are processes that may hold a lease and act on an older one.
	Pending []Process `json:",omitempty"`
	// Unknown are control processes that gave no answer or started within a
	// lease, so that not all are known that may hold a lease from them.
	Unknown []ident.VMName `json:",omitempty"`
}

// AwaitRollout returns once a revision that has committed is in force, or when
// ctx ends, with what is known by then. Leases are granted only on word of a
// quorum, so those that an unreachable control process grants have run out
// one lease after the commit.
func (c *Control) AwaitRollout(ctx context.Context, revision ident.Revision) Rollout {
	outlived := c.cfg.Clock.Now().Add(watch.DefaultLease)
	last := Rollout{Revision: revision}
	for ctx.Err() == nil {
		force := forceOf(c.Fleet(ctx), revision)
		if ctx.Err() != nil {
			break
		}
		if !c.cfg.Clock.Now().Before(outlived) {
			force.Unknown = nil
		}
		force.InForce = len(force.Pending) == 0 && len(force.Unknown) == 0
		if force.InForce {
			return force
		}
		last = force
		_ = c.cfg.Clock.Sleep(ctx, forceInterval)
	}
	return last
}

// forceOf judges the reports.
func forceOf(fleet Fleet, revision ident.Revision) Rollout {
	force := Rollout{Revision: revision}
	for _, process := range fleet.Processes {
		if process.Leased && process.InForce < revision {
			force.Pending = append(force.Pending, process)
		}
	}
	force.Unknown = append(force.Unknown, fleet.Unreachable...)
	force.Unknown = append(force.Unknown, fleet.Restarted...)
	return force
}
