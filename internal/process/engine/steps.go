package engine

import (
	"container/heap"
	"slices"

	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

// sequence is one request in the batch. The engine's lock guards it.
type sequence struct {
	req      *chat.Request
	priority int
	arrival  uint64
	prompt   ident.Tokens
	cached   ident.Tokens
	// prefill is the count of prompt tokens still to read.
	prefill ident.Tokens
	// made is the count of answer tokens ready for the caller.
	made    ident.Tokens
	total   ident.Tokens
	started bool
	gone    bool
	// progress receives after each change of what stands above.
	progress chan struct{}
}

func (s *sequence) notify() {
	select {
	case s.progress <- struct{}{}:
	default:
	}
}

// queue orders waiting sequences by priority, the highest first, then by
// arrival.
type queue []*sequence

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a *sequence, for container/heap.
func (q *queue) Push(x any) { *q = append(*q, x.(*sequence)) }

// Pop removes the last *sequence, for container/heap.
func (q *queue) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return s
}

// submit queues s for the batch.
func (e *Engine) submit(s *sequence) {
	e.mu.Lock()
	e.arrivals++
	s.arrival = e.arrivals
	heap.Push(&e.waiting, s)
	e.mu.Unlock()
	e.poke()
}

// cancel takes s out of the batch with the next step.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	s.gone = true
	e.mu.Unlock()
	e.poke()
}

func (e *Engine) poke() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// step advances each running sequence and reports whether there was one.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fill()
	budget := e.cfg.PrefillTokens
	for _, s := range e.running {
		budget = e.advance(s, budget)
	}
	stepped := len(e.running) > 0
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		return s.gone || s.made == s.total
	})
	return stepped
}

// fill starts waiting sequences while the batch has room.
func (e *Engine) fill() {
	for len(e.running) < e.cfg.MaxBatchSize && len(e.waiting) > 0 {
		s := heap.Pop(&e.waiting).(*sequence)
		if s.gone {
			continue
		}
		blocks := chat.BlockHashes(s.req.Model, s.req.Messages)
		s.cached = min(e.cache.lookup(blocks), s.prompt)
		s.prefill = s.prompt - s.cached
		s.started = true
		e.running = append(e.running, s)
		s.notify()
	}
}

// advance reads part of the prompt of s, or else makes one token, and returns
// what is left of the step's budget for prompts.
func (e *Engine) advance(s *sequence, budget ident.Tokens) ident.Tokens {
	if s.gone {
		return budget
	}
	if s.prefill > 0 {
		read := s.prefill
		if e.cfg.PrefillTokens > 0 {
			read = min(read, budget)
			budget -= read
		}
		s.prefill -= read
		if s.prefill == 0 {
			e.cache.insert(chat.BlockHashes(s.req.Model, s.req.Messages))
		}
		return budget
	}
	if s.made < s.total {
		s.made++
		s.notify()
	}
	if s.made == s.total {
		e.cache.insert(s.wholeBlocks())
	}
	return budget
}

// wholeBlocks returns the blocks of the prompt and the answer, which is the
// prefix of the chat's next turn.
func (s *sequence) wholeBlocks() []chat.BlockHash {
	answer := chat.Message{Role: chat.RoleAssistant, Content: chat.TextContent(Answer(s.req, s.total))}
	return chat.BlockHashes(s.req.Model, append(slices.Clone(s.req.Messages), answer))
}
