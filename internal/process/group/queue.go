package group

import "sync"

// queue is an unbounded queue with a single consumer, which takes all items at
// once.
type queue[T any] struct {
	mu       sync.Mutex
	notEmpty *sync.Cond
	items    []T
	closed   bool
}

func newQueue[T any]() *queue[T] {
	q := &queue[T]{}
	q.notEmpty = sync.NewCond(&q.mu)
	return q
}

func (q *queue[T]) push(item T) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.items = append(q.items, item)
	q.notEmpty.Signal()
}

// takeAll blocks until the queue has items or is closed, and returns the
// items. ok is false once the queue is closed, even if items remain.
func (q *queue[T]) takeAll() (items []T, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for len(q.items) == 0 && !q.closed {
		q.notEmpty.Wait()
	}
	items = q.items
	q.items = nil
	return items, !q.closed
}

func (q *queue[T]) close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.notEmpty.Signal()
}

// appliedIndex tracks the index of the last applied entry and wakes the
// goroutines that wait for an index.
type appliedIndex struct {
	mu      sync.Mutex
	index   uint64
	waiters []appliedWaiter
}

// appliedWaiter is a goroutine that waits for an index; done is closed when the
// index is reached.
type appliedWaiter struct {
	index uint64
	done  chan struct{}
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
	remaining := a.waiters[:0]
	for _, waiter := range a.waiters {
		if waiter.index > index {
			remaining = append(remaining, waiter)
			continue
		}
		close(waiter.done)
	}
	a.waiters = remaining
}

// waitFor returns a channel that is closed once the entry at index has been
// applied.
func (a *appliedIndex) waitFor(index uint64) <-chan struct{} {
	a.mu.Lock()
	defer a.mu.Unlock()
	done := make(chan struct{})
	if index <= a.index {
		close(done)
		return done
	}
	a.waiters = append(a.waiters, appliedWaiter{index: index, done: done})
	return done
}
