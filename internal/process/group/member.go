package group

import (
	"context"
	"errors"
	"fmt"
	"time"

	"cactusline.dev/cactusline/internal/process/raft"
)

// MemberChangeError says why a change of the member list was refused.
type MemberChangeError struct {
	Member  MemberID
	Refusal raft.ChangeResult
}

// Error names the member and the reason.
func (e *MemberChangeError) Error() string {
	return fmt.Sprintf("member %s: %s", e.Member, e.Refusal)
}

// AddLearner has a member added that takes the log but does not vote.
// Errors of this and the other changes: *MemberChangeError, and those of Propose.
func (g *Group) AddLearner(ctx context.Context, member Member) error {
	return g.change(ctx, raft.AddLearner, member)
}

// Promote makes a learner that has caught up a voter.
func (g *Group) Promote(ctx context.Context, member Member) error {
	return g.change(ctx, raft.Promote, member)
}

// Remove takes a member out; the leader does not remove itself.
func (g *Group) Remove(ctx context.Context, member Member) error {
	return g.change(ctx, raft.Remove, member)
}

func (g *Group) change(ctx context.Context, kind raft.ChangeKind, member Member) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("change members: %w", err)
	}
	var refused error
	var index uint64
	waiting := proposal{done: make(chan outcome, 1)}
	err := g.do(func(now time.Time) {
		var refusal raft.ChangeResult
		index, waiting.term, refusal = g.node.ProposeMemberChange(now, raft.Change{Kind: kind, Member: member.encode()})
		switch refusal {
		case raft.Accepted:
			g.proposals[index] = waiting
		case raft.NotLeader:
			refused = g.notLeader()
		default:
			refused = &MemberChangeError{Member: member.ID, Refusal: refusal}
		}
	})
	if err == nil {
		err = refused
	}
	if err == nil {
		_, err = g.await(ctx, index, waiting)
	}
	if err != nil {
		return fmt.Errorf("change members: %w", err)
	}
	return nil
}

// Replace puts fresh in the place of old: it adds fresh as a learner, waits
// until that has caught up, promotes it and removes old. It returns without
// an error only once all of this has committed and fresh holds, synced, all
// that had committed by then. It may be called again after an error, and
// goes on from what was done.
func (g *Group) Replace(ctx context.Context, old MemberID, fresh Member) error {
	if err := g.changeUntil(ctx, raft.AddLearner, fresh, raft.AlreadyDone); err != nil {
		return fmt.Errorf("replace %s: add: %w", old, err)
	}
	if err := g.changeUntil(ctx, raft.Promote, fresh, raft.AlreadyDone); err != nil {
		return fmt.Errorf("replace %s: promote: %w", old, err)
	}
	if err := g.changeUntil(ctx, raft.Remove, Member{ID: old}, raft.NoSuchMember); err != nil {
		return fmt.Errorf("replace %s: remove: %w", old, err)
	}
	if err := g.awaitMatch(ctx, fresh.ID); err != nil {
		return fmt.Errorf("replace %s: wait for %s: %w", old, fresh.ID, err)
	}
	return nil
}

// changeUntil makes a change, and asks again while the refusal is one that
// passes. The refusal done means that the change was made before; a barrier
// entry then shows that it has committed.
func (g *Group) changeUntil(ctx context.Context, kind raft.ChangeKind, member Member, done raft.ChangeResult) error {
	for {
		err := g.change(ctx, kind, member)
		var refused *MemberChangeError
		if !errors.As(err, &refused) {
			return err
		}
		switch refused.Refusal {
		case done:
			return g.awaitOwnLog(ctx)
		case raft.OwnTermUncommitted, raft.ChangeInProgress, raft.NotCaughtUp:
		default:
			return err
		}
		if err := g.pause(ctx); err != nil {
			return err
		}
	}
}

func (g *Group) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-g.done:
		return g.stopError()
	case <-g.cfg.Clock.After(g.cfg.HeartbeatInterval / ticksPerHeartbeat):
		return nil
	}
}

// awaitOwnLog waits until all that the leader's log now holds has committed.
func (g *Group) awaitOwnLog(ctx context.Context) error {
	status := g.coreStatus()
	for target := status.LastIndex; status.Commit < target; status = g.coreStatus() {
		if err := g.stillLeads(status); err != nil {
			return err
		}
		if err := g.pause(ctx); err != nil {
			return err
		}
	}
	return g.stillLeads(status)
}

// awaitMatch waits until the member holds all that has committed by now.
func (g *Group) awaitMatch(ctx context.Context, id MemberID) error {
	target := g.coreStatus().Commit
	for {
		status := g.coreStatus()
		if err := g.stillLeads(status); err != nil {
			return err
		}
		for _, view := range status.Members {
			if view.Member.GetId() == string(id) && view.Match >= target {
				return nil
			}
		}
		if err := g.pause(ctx); err != nil {
			return err
		}
	}
}

func (g *Group) coreStatus() raft.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.node.Status()
}

func (g *Group) stillLeads(status raft.Status) error {
	if status.Role == raft.Leader {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.notLeader()
}

// TransferLeadership hands leadership to another voter and returns once this member
// leads no more. Errors: *NotLeaderError, *MemberChangeError, *StoppedError, or the
// context's error.
func (g *Group) TransferLeadership(ctx context.Context, to MemberID) error {
	if err := g.stillLeads(g.coreStatus()); err != nil {
		return fmt.Errorf("transfer: %w", err)
	}
	for g.coreStatus().Role == raft.Leader {
		if err := g.handOver(to); err != nil {
			return fmt.Errorf("transfer: %w", err)
		}
		if err := g.pause(ctx); err != nil {
			return fmt.Errorf("transfer: %w", err)
		}
	}
	return nil
}

// handOver begins a transfer unless one is under way.
func (g *Group) handOver(to MemberID) error {
	var refused error
	err := g.do(func(now time.Time) {
		if g.node.Status().Role != raft.Leader || g.node.Transferring() {
			return
		}
		if !g.node.TransferLeader(now, string(to)) {
			refused = &MemberChangeError{Member: to, Refusal: raft.NoSuchMember}
		}
	})
	if err != nil {
		return err
	}
	return refused
}

// heir returns the voter that is furthest ahead, if this member leads.
func (g *Group) heir() (MemberID, bool) {
	status := g.coreStatus()
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
