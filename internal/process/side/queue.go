package side

import (
	"context"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/request/admit"
	"cactusline.dev/cactusline/internal/version/ident"
)

// tickInterval is how often admission reconsiders queued work, and how often a
// stopping sidecar checks whether it is busy.
const tickInterval = 50 * time.Millisecond

// decisionWaiters holds a channel for each attempt that may be queued, on which
// the decision on it is delivered. Its zero value is empty.
type decisionWaiters struct {
	mu        sync.Mutex
	byAttempt map[ident.AttemptID]chan admit.Decision
}

// add returns a channel that receives the decision on a queued attempt.
func (w *decisionWaiters) add(id ident.AttemptID) <-chan admit.Decision {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byAttempt == nil {
		w.byAttempt = make(map[ident.AttemptID]chan admit.Decision)
	}
	decided := make(chan admit.Decision, 1)
	w.byAttempt[id] = decided
	return decided
}

func (w *decisionWaiters) remove(id ident.AttemptID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.byAttempt, id)
}

func (w *decisionWaiters) deliver(decisions []admit.QueuedDecision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, d := range decisions {
		if decided, ok := w.byAttempt[d.Work.Attempt]; ok {
			decided <- d.Decision
			delete(w.byAttempt, d.Work.Attempt)
		}
	}
}

// deliverDecisions passes decisions on queued work to the goroutines that wait
// for them.
func (s *Sidecar) deliverDecisions(decisions []admit.QueuedDecision) {
	if len(decisions) > 0 {
		s.waiters.deliver(decisions)
	}
}

// awaitAdmission asks for admission of work and returns the decision. While the
// work is queued it waits, at most until ctx ends.
func (s *Sidecar) awaitAdmission(ctx context.Context, work admit.Work) admit.Decision {
	decided := s.waiters.add(work.Attempt)
	defer s.waiters.remove(work.Attempt)
	decision, queuedDecisions := s.admission.Offer(s.cfg.Clock.Now(), work)
	s.deliverDecisions(queuedDecisions)
	if decision.Kind != admit.Queued {
		return decision
	}
	select {
	case decision = <-decided:
		return decision
	case <-ctx.Done():
	}
	if s.admission.Cancel(work.Attempt) {
		return admit.Decision{Kind: admit.Refused, Reason: admit.DeadlinePassed}
	}
	// The work was no longer queued: its decision has been made.
	return <-decided
}

// runPeriodicTasks has admission reconsider queued work, and removes expired
// attempts, every tickInterval until ctx ends.
func (s *Sidecar) runPeriodicTasks(ctx context.Context) {
	for s.cfg.Clock.Sleep(ctx, tickInterval) == nil {
		now := s.cfg.Clock.Now()
		s.deliverDecisions(s.admission.Tick(now))
		s.attempts.Expire(now)
	}
}
