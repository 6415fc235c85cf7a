package group

import (
	"context"
	"fmt"
	"time"

	"cactusline.dev/cactusline/internal/process/raft"
)

// Propose has an entry committed and applied, and returns what the machine
// answered. Errors: *NotLeaderError (the entry was not and will not be
// taken), *UnknownError (it may still commit; wraps the context's error where
// that ended the wait), *StoppedError, or the context's error if it had ended
// before.
func (g *Group) Propose(ctx context.Context, entry []byte) ([]byte, error) {
	if err := ctx.Err(); err != nil {
		return nil, fmt.Errorf("propose: %w", err)
	}
	var refused error
	var index uint64
	waiting := proposal{done: make(chan outcome, 1)}
	err := g.do(func(now time.Time) {
		var ok bool
		index, waiting.term, ok = g.node.Propose(now, entry)
		if !ok {
			refused = g.notLeader()
			return
		}
		g.proposals[index] = waiting
	})
	if err == nil {
		err = refused
	}
	if err != nil {
		return nil, fmt.Errorf("propose: %w", err)
	}
	result, err := g.await(ctx, index, waiting)
	if err != nil {
		return nil, fmt.Errorf("propose: %w", err)
	}
	return result, nil
}

func (g *Group) await(ctx context.Context, index uint64, waiting proposal) ([]byte, error) {
	select {
	case out := <-waiting.done:
		return out.result, out.err
	case <-ctx.Done():
		g.mu.Lock()
		defer g.mu.Unlock()
		if g.proposals[index].done == waiting.done {
			delete(g.proposals, index)
		}
		return nil, &OutcomeUnknownError{Cause: ctx.Err()}
	}
}

// notLeader needs the lock.
func (g *Group) notLeader() error {
	status := g.node.Status()
	refusal := &NotLeaderError{Leader: MemberID(status.Leader)}
	if status.Leader == status.ID {
		refusal.Leader = "" // handing over
	}
	for _, view := range status.Members {
		if view.Member.GetId() == string(refusal.Leader) {
			refusal.Address = view.Member.GetAddress()
		}
	}
	return refusal
}

// Barrier returns once all that had committed when it was called is applied
// here, and the index up to which that is. A quorum confirms it. It works on
// any member, and waits for a leader where there is none. Errors:
// *StoppedError, or the context's error.
func (g *Group) Barrier(ctx context.Context) (uint64, error) {
	index, err := g.readIndex(ctx)
	if err != nil {
		return 0, fmt.Errorf("read index: %w", err)
	}
	select {
	case <-g.applied.reached(index):
		return index, nil
	case <-ctx.Done():
		return 0, fmt.Errorf("wait for entry %d: %w", index, ctx.Err())
	case <-g.done:
		return 0, g.stopError()
	}
}

func (g *Group) stopError() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return &StoppedError{Cause: g.failure}
}

// readIndex asks again, under a new number, as long as no answer comes.
func (g *Group) readIndex(ctx context.Context) (uint64, error) {
	for {
		answer := make(chan uint64, 1)
		var id uint64
		err := g.do(func(now time.Time) {
			id = g.nextRead
			g.nextRead++
			g.reads[id] = answer
			g.node.ReadIndex(now, id)
		})
		if err != nil {
			return 0, err
		}
		select {
		case index := <-answer:
			return index, nil
		case <-ctx.Done():
			g.forgetRead(id)
			return 0, ctx.Err()
		case <-g.done:
			return 0, g.stopError()
		case <-g.cfg.Clock.After(2 * g.cfg.HeartbeatInterval):
			g.forgetRead(id)
		}
	}
}

func (g *Group) forgetRead(id uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.reads, id)
}

// finishRead needs the lock.
func (g *Group) finishRead(read raft.ReadResult) {
	if answer, ok := g.reads[read.ID]; ok {
		answer <- read.Index
		delete(g.reads, read.ID)
	}
}
