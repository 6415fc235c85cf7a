package engine

import (
	"container/heap"
	"slices"

	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

// sequence is the processing state of one request. The engine's lock guards it.
type sequence struct {
	req          *chat.Request
	priority     int
	arrival      uint64
	promptTokens ident.Tokens
	cachedTokens ident.Tokens
	// remainingPrefill is the number of prompt tokens still to process.
	remainingPrefill ident.Tokens
	// generated is the number of answer tokens ready to send, including those
	// before the resume offset.
	generated   ident.Tokens
	totalTokens ident.Tokens
	started     bool
	canceled    bool
	// progress is signaled when the sequence starts and after each generated
	// token.
	progress chan struct{}
}

func (s *sequence) notify() {
	select {
	case s.progress <- struct{}{}:
	default:
	}
}

// queue is a heap of waiting sequences, ordered by descending priority, then by
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

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(*sequence)) }

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	last := len(*q) - 1
	s := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return s
}

// submit adds s to the queue of waiting sequences.
func (e *Engine) submit(s *sequence) {
	e.mu.Lock()
	e.arrivals++
	s.arrival = e.arrivals
	heap.Push(&e.waiting, s)
	e.mu.Unlock()
	e.signalWake()
}

// cancel marks s for removal at the next step.
func (e *Engine) cancel(s *sequence) {
	e.mu.Lock()
	s.canceled = true
	e.mu.Unlock()
	e.signalWake()
}

func (e *Engine) signalWake() {
	select {
	case e.wakeup <- struct{}{}:
	default:
	}
}

// step advances each running sequence and reports whether there was one.
func (e *Engine) step() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.startWaiting()
	budget := e.cfg.PrefillTokens
	for _, s := range e.running {
		budget = e.advance(s, budget)
	}
	stepped := len(e.running) > 0
	e.running = slices.DeleteFunc(e.running, func(s *sequence) bool {
		return s.canceled || s.generated == s.totalTokens
	})
	return stepped
}

// startWaiting moves waiting sequences to the batch while it has room.
func (e *Engine) startWaiting() {
	for len(e.running) < e.cfg.MaxBatchSize && len(e.waiting) > 0 {
		s := heap.Pop(&e.waiting).(*sequence)
		if s.canceled {
			continue
		}
		blocks := chat.BlockHashes(s.req.Model, s.req.Messages)
		s.cachedTokens = min(e.cache.lookup(blocks), s.promptTokens)
		s.remainingPrefill = s.promptTokens - s.cachedTokens
		s.started = true
		e.running = append(e.running, s)
		s.notify()
	}
}

// advance either processes part of the prompt of s or generates one token. It
// returns the rest of the step's prefill budget.
func (e *Engine) advance(s *sequence, budget ident.Tokens) ident.Tokens {
	if s.canceled {
		return budget
	}
	if s.remainingPrefill > 0 {
		read := s.remainingPrefill
		if e.cfg.PrefillTokens > 0 {
			read = min(read, budget)
			budget -= read
		}
		s.remainingPrefill -= read
		if s.remainingPrefill == 0 {
			e.cache.insert(chat.BlockHashes(s.req.Model, s.req.Messages))
		}
		return budget
	}
	if s.generated < s.totalTokens {
		s.generated++
		s.notify()
	}
	if s.generated == s.totalTokens {
		e.cache.insert(s.conversationBlocks())
	}
	return budget
}

// conversationBlocks returns the blocks of the prompt and the answer, which
// form the prefix of the next turn of the chat.
func (s *sequence) conversationBlocks() []chat.BlockHash {
	answer := chat.Message{Role: chat.RoleAssistant, Content: chat.TextContent(Answer(s.req, s.totalTokens))}
	return chat.BlockHashes(s.req.Model, append(slices.Clone(s.req.Messages), answer))
}
