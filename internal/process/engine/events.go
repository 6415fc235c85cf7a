package engine

import (
	"math/rand/v2"
	"sort"
	"time"

	"cactusline.dev/cactusline/internal/request/chat"
)

// EventKind is the kind of a cache change.
type EventKind string

// Kinds of cache events.
const (
	EventStored  EventKind = "Stored"
	EventRemoved EventKind = "Removed"
	EventCleared EventKind = "Cleared"
)

// minKeptEvents is the number of most recent events that can always be read. Up
// to twice as many are kept. A reader that is further behind may see a gap in
// the numbers.
const minKeptEvents = 1 << 16

// Event is one change of the cache.
type Event struct {
	// Number increases by one with each change; missing numbers are lost
	// events.
	Number uint64
	Kind   EventKind
	Block  chat.BlockHash
}

// EventList is the response to GET /cache/events?after=N: the published events
// with numbers above N, oldest first.
type EventList struct {
	Events []Event
}

type timestampedEvent struct {
	Event
	at time.Time
}

// eventLog keeps the most recent events. The engine's lock guards it.
type eventLog struct {
	delay      time.Duration
	loss       float64
	rand       *rand.Rand
	lastNumber uint64
	kept       []timestampedEvent
}

func (l *eventLog) add(now time.Time, kind EventKind, b chat.BlockHash) {
	l.lastNumber++
	if l.loss > 0 && l.rand.Float64() < l.loss {
		return
	}
	if len(l.kept) >= 2*minKeptEvents {
		l.kept = append(l.kept[:0], l.kept[minKeptEvents:]...)
	}
	l.kept = append(l.kept, timestampedEvent{Event{Number: l.lastNumber, Kind: kind, Block: b}, now})
}

// after returns the events above number that are old enough to be published.
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
