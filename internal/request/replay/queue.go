package replay

import (
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// queue holds attempts in the order of their times.
type queue struct {
	items []item
	first int
}

type item struct {
	at time.Time
	id ident.AttemptID
}

func (q *queue) push(now time.Time, id ident.AttemptID) {
	q.items = append(q.items, item{at: now, id: id})
}

func (q *queue) len() int { return len(q.items) - q.first }

// due reports whether the oldest item has been kept for long enough.
func (q *queue) due(now time.Time, keep time.Duration) bool {
	return q.len() > 0 && now.Sub(q.items[q.first].at) >= keep
}

// pop removes the oldest item.
func (q *queue) pop() ident.AttemptID {
	id := q.items[q.first].id
	q.items[q.first] = item{}
	q.first++
	if q.first*2 > len(q.items) {
		n := copy(q.items, q.items[q.first:])
		clear(q.items[n:])
		q.items = q.items[:n]
		q.first = 0
	}
	return id
}
