package engine

import (
	"math/rand/v2"
	"sort"
	"time"

	"cactusline.dev/cactusline/internal/request/chat"
)

// EventKind says what happened to the cache.
type EventKind string

// Kinds of cache events.
const (
	EventStored  EventKind = "Stored"
	EventRemoved EventKind = "Removed"
	EventCleared EventKind = "Cleared"
)

// keptEvents bounds the events that can still be read; a reader that is
// further behind sees a gap in the numbers.
const keptEvents = 1 << 16

// Event is one change of the cache.
type Event struct {
	// Number rises by one with each change; missing numbers are lost events.
	Number uint64
	Kind   EventKind
	Block  chat.BlockHash
}

// EventList answers GET /cache/events?after=N: the events above N that are
// out by now, oldest first.
type EventList struct {
	Events []Event
}

type datedEvent struct {
	Event
	at time.Time
}

// eventLog keeps the newest events. The engine's lock guards it.
type eventLog struct {
	delay time.Duration
	loss  float64
	rand  *rand.Rand
	last  uint64
	kept  []datedEvent
}

func (l *eventLog) add(now time.Time, kind EventKind, b chat.BlockHash) {
	l.last++
	if l.loss > 0 && l.rand.Float64() < l.loss {
		return
	}
	if len(l.kept) >= 2*keptEvents {
		l.kept = append(l.kept[:0], l.kept[keptEvents:]...)
	}
	l.kept = append(l.kept, datedEvent{Event{Number: l.last, Kind: kind, Block: b}, now})
}

// after returns the events above number that are at least the delay old.
func (l *eventLog) after(now time.Time, number uint64) []Event {
	first := sort.Search(len(l.kept), func(i int) bool { return l.kept[i].Number > number })
	events := []Event{}
	for _, e := range l.kept[first:] {
		if now.Sub(e.at) < l.delay {
			break
		}
		events = append(events, e.Event)
	}
	return events
}
