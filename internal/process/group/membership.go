package group

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cactusline.dev/cactusline/internal/process/raft"
)

// MemberChangeError reports why a change of the member list was refused.
type MemberChangeError struct {
	Member  MemberID
	Refusal raft.ChangeResult
}

// Error names the member and the reason.
func (e *MemberChangeError) Error() string {
	return fmt.Sprintf("member %s: %s", e.Member, e.Refusal)
}

// AddLearner adds a member that receives the log but does not vote. It returns
// a *MemberChangeError if the change is refused, or an error of Propose.
func (g *Group) AddLearner(ctx context.Context, member Member) error {
	return g.changeMember(ctx, raft.AddLearner, member)
}

// Promote makes a learner that has caught up a voter. It returns the same
// errors as AddLearner.
func (g *Group) Promote(ctx context.Context, member Member) error {
	return g.changeMember(ctx, raft.Promote, member)
}

// Remove removes a member. The leader cannot remove itself. Remove returns the
// same errors as AddLearner.
func (g *Group) Remove(ctx context.Context, member Member) error {
	return g.changeMember(ctx, raft.Remove, member)
}

func (g *Group) changeMember(ctx context.Context, kind raft.ChangeKind, member Member) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("change members: %w", err)
	}
	var refused error
	var index uint64
	p := proposal{done: make(chan outcome, 1)}
	err := g.withNode(func(now time.Time) {
		var result raft.ChangeResult
		index, p.term, result = g.node.ProposeMemberChange(now, raft.Change{Kind: kind, Member: member.toProto()})
		switch result {
		case raft.Accepted:
			g.pendingProposals[index] = p
		case raft.NotLeader:
			refused = g.notLeaderError()
		default:
			refused = &MemberChangeError{Member: member.ID, Refusal: result}
		}
	})
	if err == nil {
		err = refused
	}
	if err == nil {
		_, err = g.awaitOutcome(ctx, index, p)
	}
	if err != nil {
		return fmt.Errorf("change members: %w", err)
	}
	return nil
}

// Replace replaces the member old: it adds replacement as a learner, waits
// until it has caught up, removes old and promotes replacement. Old is removed
// first because it may be dead: the promotion would raise the quorum while two
// disks count that may be lost, that of old and, again, that of replacement.
// Replace returns nil only once all these changes have committed, a quorum knows
// it, and replacement has synced everything that had committed by then. After an
// error it may be called again; it skips the changes already made.
func (g *Group) Replace(ctx context.Context, old MemberID, replacement Member) error {
	if err := g.changeWithRetry(ctx, raft.AddLearner, replacement, raft.AlreadyDone); err != nil {
		return fmt.Errorf("replace %s: add: %w", old, err)
	}
	if err := g.awaitSynced(ctx, replacement.ID); err != nil {
		return fmt.Errorf("replace %s: wait for %s: %w", old, replacement.ID, err)
	}
	if err := g.changeWithRetry(ctx, raft.Remove, Member{ID: old}, raft.NoSuchMember); err != nil {
		return fmt.Errorf("replace %s: remove: %w", old, err)
	}
	if err := g.changeWithRetry(ctx, raft.Promote, replacement, raft.AlreadyDone); err != nil {
		return fmt.Errorf("replace %s: promote: %w", old, err)
	}
	if err := g.awaitSynced(ctx, replacement.ID); err != nil {
		return fmt.Errorf("replace %s: wait for %s: %w", old, replacement.ID, err)
	}
	if _, err := g.Barrier(ctx); err != nil {
		return fmt.Errorf("replace %s: tell the members: %w", old, err)
	}
	return nil
}

// ReportDiskLost tells the member that the disk of another member is lost for good.
// The caller must be certain: nothing that the lost member has acknowledged counts
// any more.
func (g *Group) ReportDiskLost(id MemberID) error {
	if err := g.withNode(func(now time.Time) { g.node.ReportDiskLost(now, string(id)) }); err != nil {
		return fmt.Errorf("report lost disk of %s: %w", id, err)
	}
	return nil
}

// changeWithRetry makes a change, and retries while it is refused for a
// temporary reason. doneResult is the refusal that means that the change was
// made earlier; then it waits until that change has committed.
func (g *Group) changeWithRetry(ctx context.Context, kind raft.ChangeKind, member Member, doneResult raft.ChangeResult) error {
	for {
		err := g.changeMember(ctx, kind, member)
		var refused *MemberChangeError
		if !errors.As(err, &refused) {
			return err
		}
		switch refused.Refusal {
		case doneResult:
			return g.awaitLogCommitted(ctx)
		case raft.OwnTermUncommitted, raft.ChangeInProgress, raft.NotCaughtUp:
		default:
			return err
		}
		if err := g.waitTick(ctx); err != nil {
			return err
		}
	}
}

// waitTick waits for the length of one tick.
func (g *Group) waitTick(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-g.done:
		return g.stoppedError()
	case <-g.cfg.Clock.After(g.cfg.HeartbeatInterval / ticksPerHeartbeat):
		return nil
	}
}

// awaitLogCommitted waits until every entry now in the leader's log has
// committed.
func (g *Group) awaitLogCommitted(ctx context.Context) error {
	status := g.nodeStatus()
	for lastIndex := status.LastIndex; status.Commit < lastIndex; status = g.nodeStatus() {
		if err := g.checkLeader(status); err != nil {
			return err
		}
		if err := g.waitTick(ctx); err != nil {
			return err
		}
	}
	return g.checkLeader(status)
}

// awaitSynced waits until the member has synced every entry that has committed
// by now.
func (g *Group) awaitSynced(ctx context.Context, id MemberID) error {
	commit := g.nodeStatus().Commit
	for {
		status := g.nodeStatus()
		if err := g.checkLeader(status); err != nil {
			return err
		}
		for _, view := range status.Members {
			if view.Member.GetId() == string(id) && view.Match >= commit {
				return nil
			}
		}
		if err := g.waitTick(ctx); err != nil {
			return err
		}
	}
}

func (g *Group) nodeStatus() raft.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Status()
}

// checkLeader returns a *NotLeaderError unless status is that of a leader.
func (g *Group) checkLeader(status raft.Status) error {
	if status.Role == raft.Leader {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.notLeaderError()
}

// TransferLeadership transfers leadership to another voter and returns once
// this member is no longer the leader; a member other than to may have become
// the leader. It returns a *NotLeaderError, *MemberChangeError or
// *StoppedError, or the error of the context.
func (g *Group) TransferLeadership(ctx context.Context, to MemberID) error {
	if err := g.checkLeader(g.nodeStatus()); err != nil {
		return fmt.Errorf("transfer leadership: %w", err)
	}
	for g.nodeStatus().Role == raft.Leader {
		if err := g.startTransfer(to); err != nil {
			return fmt.Errorf("transfer leadership: %w", err)
		}
		if err := g.waitTick(ctx); err != nil {
			return fmt.Errorf("transfer leadership: %w", err)
		}
	}
	return nil
}

// startTransfer starts a leadership transfer unless one is in progress.
func (g *Group) startTransfer(to MemberID) error {
	var refused error
	err := g.withNode(func(now time.Time) {
		if g.node.Status().Role != raft.Leader || g.node.Transferring() {
			return
		}
		if !g.node.TransferLeader(now, string(to)) {
			// TransferLeader refuses any member that is not another voter.
			refused = &MemberChangeError{Member: to, Refusal: raft.NoSuchMember}
		}
	})
	if err != nil {
		return err
	}
	return refused
}

// transferee returns the other voter with the highest match index. It reports
// false if this member is not the leader or there is no other voter.
func (g *Group) transferee() (MemberID, bool) {
	status := g.nodeStatus()
	best := MemberID("")
	match := uint64(0)
	for _, view := range status.Members {
		id := view.Member.GetId()
		if status.Role != raft.Leader || view.Member.GetLearner() || id == status.ID || view.Match < match {
			continue
		}
		best = MemberID(id)
		match = view.Match
	}
	return best, best != ""
}
