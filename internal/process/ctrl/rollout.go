package ctrl

import (
	"context"
	"time"

	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/version/ident"
)

// rolloutPollInterval is the interval between two checks whether a revision is
// in force.
const rolloutPollInterval = 50 * time.Millisecond

// Rollout is the progress of a revision towards being in force.
type Rollout struct {
	Revision ident.Revision
	// InForce says whether every process that may hold a lease acts on the
	// revision or a later one.
	InForce bool
	// Pending are processes that may hold a lease and act on an older revision.
	Pending []Process `json:",omitempty"`
	// Unknown are the VMs of control processes that did not answer or started
	// less than a lease ago. They may have granted leases to processes that are
	// not known.
	Unknown []ident.VMName `json:",omitempty"`
}

// AwaitRollout waits until a committed revision is in force or ctx is done, and
// returns the last known progress.
func (c *Control) AwaitRollout(ctx context.Context, revision ident.Revision) Rollout {
	leaseExpiry := c.cfg.Clock.Now().Add(watch.DefaultLease)
	last := Rollout{Revision: revision}
	for ctx.Err() == nil {
		rollout := rolloutOf(c.Fleet(ctx), revision)
		if ctx.Err() != nil {
			break
		}
		// A lease is granted only after a quorum has confirmed the newest revision.
		// One lease duration after the commit, leases on older revisions have
		// expired, even those that unreachable control processes granted.
		if !c.cfg.Clock.Now().Before(leaseExpiry) {
			rollout.Unknown = nil
		}
		rollout.InForce = len(rollout.Pending) == 0 && len(rollout.Unknown) == 0
		if rollout.InForce {
			return rollout
		}
		last = rollout
		_ = c.cfg.Clock.Sleep(ctx, rolloutPollInterval)
	}
	return last
}

// rolloutOf returns the progress of a revision according to the reports of the
// fleet.
func rolloutOf(fleet Fleet, revision ident.Revision) Rollout {
	rollout := Rollout{Revision: revision}
	for _, process := range fleet.Processes {
		if process.Leased && process.InForce < revision {
			rollout.Pending = append(rollout.Pending, process)
		}
	}
	rollout.Unknown = append(rollout.Unknown, fleet.Unreachable...)
	rollout.Unknown = append(rollout.Unknown, fleet.Restarted...)
	return rollout
}
