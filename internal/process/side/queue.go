package side

import (
	"context"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/request/admit"
	"cactusline.dev/cactusline/internal/version/ident"
)

// tickInterval is how often queued work is looked at.
const tickInterval = 50 * time.Millisecond

// waiting holds the attempts that are queued for admission. Its zero value is
// empty.
type waiting struct {
	mu     sync.Mutex
	queued map[ident.AttemptID]chan admit.Decision
}

// add returns the channel on which the attempt's decision will come.
func (w *waiting) add(id ident.AttemptID) <-chan admit.Decision {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.queued == nil {
		w.queued = make(map[ident.AttemptID]chan admit.Decision)
	}
	decided := make(chan admit.Decision, 1)
	w.queued[id] = decided
	return decided
}

func (w *waiting) drop(id ident.AttemptID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.queued, id)
}

func (w *waiting) settle(verdicts []admit.QueuedDecision) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, v := range verdicts {
		if decided, ok := w.queued[v.Work.Attempt]; ok {
			decided <- v.Decision
			delete(w.queued, v.Work.Attempt)
		}
	}
}

// settle passes decisions on queued work to those who wait for them.
func (s *Sidecar) settle(verdicts []admit.QueuedDecision) {
	if len(verdicts) > 0 {
		s.waiting.settle(verdicts)
	}
}

// offer asks for admission and waits while the work is queued, at most until
// ctx ends.
func (s *Sidecar) offer(ctx context.Context, work admit.Work) admit.Decision {
	decided := s.waiting.add(work.Attempt)
	defer s.waiting.drop(work.Attempt)
	decision, verdicts := s.admitted.Offer(s.cfg.Clock.Now(), work)
	s.settle(verdicts)
	if decision.Kind != admit.Queued {
		return decision
	}
	select {
	case decision = <-decided:
		return decision
	case <-ctx.Done():
	}
	if s.admitted.Cancel(work.Attempt) {
		return admit.Decision{Kind: admit.Refused, Reason: admit.DeadlinePassed}
	}
	// It was decided in the meantime.
	return <-decided
}

// tick looks at the queue and forgets old attempts until ctx ends.
func (s *Sidecar) tick(ctx context.Context) {
	for s.cfg.Clock.Sleep(ctx, tickInterval) == nil {
		now := s.cfg.Clock.Now()
		s.settle(s.admitted.Tick(now))
		s.attempts.Expire(now)
	}
}
