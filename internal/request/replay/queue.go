package replay

import (
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// expiryQueue is a first-in, first-out queue of attempts with the times at
// which they were added.
type expiryQueue struct {
	items []queueItem
	first int
}

type queueItem struct {
	addedAt time.Time
	id      ident.AttemptID
}

func (q *expiryQueue) push(now time.Time, id ident.AttemptID) {
	q.items = append(q.items, queueItem{addedAt: now, id: id})
}

func (q *expiryQueue) len() int { return len(q.items) - q.first }

// due reports whether the oldest item was added at least keep ago.
func (q *expiryQueue) due(now time.Time, keep time.Duration) bool {
	return q.len() > 0 && now.Sub(q.items[q.first].addedAt) >= keep
}

// pop removes and returns the oldest attempt.
func (q *expiryQueue) pop() ident.AttemptID {
	id := q.items[q.first].id
	q.items[q.first] = queueItem{}
	q.first++
	if q.first*2 > len(q.items) {
		n := copy(q.items, q.items[q.first:])
		clear(q.items[n:])
		q.items = q.items[:n]
		q.first = 0
	}
	return id
}
