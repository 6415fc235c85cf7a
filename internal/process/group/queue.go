package group

import "sync"

// queue is an unbounded queue with one reader, which takes all at once.
type queue[T any] struct {
	mu     sync.Mutex
	filled *sync.Cond
	items  []T
	closed bool
}

func newQueue[T any]() *queue[T] {
	q := &queue[T]{}
	q.filled = sync.NewCond(&q.mu)
	return q
}

func (q *queue[T]) push(item T) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, item)
	q.filled.Signal()
}

// takeAll waits for items and returns them; ok is false once the queue is
// closed, whatever it still holds.
func (q *queue[T]) takeAll() (items []T, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.items) == 0 && !q.closed {
		q.filled.Wait()
	}
	items = q.items
	q.items = nil
	return items, !q.closed
}

func (q *queue[T]) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.filled.Signal()
}

// appliedIndex is the index of the last applied entry, with those who wait
// for it to rise.
type appliedIndex struct {
	mu      sync.Mutex
	index   uint64
	waiting []appliedWait
}

type appliedWait struct {
	index   uint64
	reached chan struct{}
}

func (a *appliedIndex) get() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.index
}

func (a *appliedIndex) set(index uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.index = index
	kept := a.waiting[:0]
	for _, wait := range a.waiting {
		if wait.index > index {
			kept = append(kept, wait)
			continue
		}
		close(wait.reached)
	}
	a.waiting = kept
}

// reached returns a channel that is closed once index is applied.
func (a *appliedIndex) reached(index uint64) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	reached := make(chan struct{})
	if index <= a.index {
		close(reached)
		return reached
	}
	a.waiting = append(a.waiting, appliedWait{index: index, reached: reached})
	return reached
}
