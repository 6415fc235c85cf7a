package group

import (
	"context"
	"fmt"
	"time"

	"cactusline.dev/cactusline/internal/process/raft"
)

// Propose replicates an entry and returns the result of the state machine once
// the entry has been applied. It returns the error of the context if that had
// ended before the call, *NotLeaderError if the entry will not commit because
// this member is not, or no longer, the leader, *OutcomeUnknownError if the
// entry may still commit (wrapping the error of the context if that ended the
// wait), or *StoppedError.
func (g *Group) Propose(ctx context.Context, entry []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("propose: %w", err)
	}
	var refused error
	var index uint64
	p := proposal{done: make(chan outcome, 1)}
	err := g.withNode(func(now time.Time) {
		var ok bool
		index, p.term, ok = g.node.Propose(now, entry)
		if !ok {
			refused = g.notLeaderError()
			return
		}
		g.pendingProposals[index] = p
	})
	if err == nil {
		err = refused
	}
	if err != nil {
		return nil, fmt.Errorf("propose: %w", err)
	}
	result, err := g.awaitOutcome(ctx, index, p)
	if err != nil {
		return nil, fmt.Errorf("propose: %w", err)
	}
	return result, nil
}

// awaitOutcome waits for the outcome of an accepted proposal.
func (g *Group) awaitOutcome(ctx context.Context, index uint64, p proposal) ([]byte, error) {
	select {
	case out := <-p.done:
		return out.result, out.err
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.pendingProposals[index].done == p.done {
			delete(g.pendingProposals, index)
		}
		return nil, &OutcomeUnknownError{Cause: ctx.Err()}
	}
}

// notLeaderError returns a *NotLeaderError that names the known leader. The
// caller must hold g.mu.
func (g *Group) notLeaderError() error {
	status := g.node.Status()
	err := &NotLeaderError{Leader: MemberID(status.Leader)}
	if status.Leader == status.ID {
		// A leader refuses proposals during a leadership transfer; its successor
		// is not known yet.
		err.Leader = ""
	}
	for _, view := range status.Members {
		if view.Member.GetId() == string(err.Leader) {
			err.Address = view.Member.GetAddress()
		}
	}
	return err
}

// Barrier waits until this member has applied every entry that had committed
// when it was called, and returns the index of the last of them. A quorum
// confirms that index. Barrier works on any member and waits while there is no
// leader. It returns *StoppedError or the error of the context.
func (g *Group) Barrier(ctx context.Context) (uint64, error) {
	index, err := g.readIndex(ctx)
	if err != nil {
		return 0, fmt.Errorf("read index: %w", err)
	}
	select {
	case <-g.lastApplied.waitFor(index):
		return index, nil
	case <-ctx.Done():
		return 0, fmt.Errorf("wait for entry %d: %w", index, ctx.Err())
	case <-g.done:
		return 0, g.stoppedError()
	}
}

func (g *Group) stoppedError() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &StoppedError{Cause: g.failure}
}

// readIndex returns a commit index that a quorum confirmed after the call. It
// repeats the request under a new ID after two heartbeat intervals without an
// answer.
func (g *Group) readIndex(ctx context.Context) (uint64, error) {
	for {
		indexCh := make(chan uint64, 1)
		var id uint64
		err := g.withNode(func(now time.Time) {
			id = g.nextReadID
			g.nextReadID++
			g.pendingReads[id] = indexCh
			g.node.ReadIndex(now, id)
		})
		if err != nil {
			return 0, err
		}
		select {
		case index := <-indexCh:
			return index, nil
		case <-ctx.Done():
			g.cancelRead(id)
			return 0, ctx.Err()
		case <-g.done:
			return 0, g.stoppedError()
		case <-g.cfg.Clock.After(2 * g.cfg.HeartbeatInterval):
			g.cancelRead(id)
		}
	}
}

func (g *Group) cancelRead(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pendingReads, id)
}

// completeRead passes a confirmed read index to the goroutine that waits for
// it. The caller must hold g.mu.
func (g *Group) completeRead(read raft.ReadResult) {
	if indexCh, ok := g.pendingReads[read.ID]; ok {
		indexCh <- read.Index
		delete(g.pendingReads, read.ID)
	}
}
