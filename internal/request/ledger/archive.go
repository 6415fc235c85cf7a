package ledger

import (
	"bytes"
	"slices"
	"time"
)

// segmentSpan is the time range that one segment covers.
const segmentSpan = time.Hour

// segment holds the compacted keys of one time range, sorted, with their states.
type segment struct {
	// spanIndex is the number of whole spans between 1970 and the start of the
	// segment.
	spanIndex int64
	keys      []Key
	states    []State
}

// archive holds compacted keys in segments of ascending time.
type archive struct {
	segments []*segment
}

// len returns the number of keys.
func (a *archive) len() int {
	total := 0
	for _, s := range a.segments {
		total += len(s.keys)
	}
	return total
}

// find returns the state of a key, or StateFree if the archive does not hold it.
// It searches the newest segment first.
func (a *archive) find(key Key) State {
	for _, s := range slices.Backward(a.segments) {
		if i, found := s.search(key); found {
			return s.states[i]
		}
	}
	return StateFree
}

// add stores a key whose attempt ended at endedAt, in Unix nanoseconds. It
// replaces the state of a key that the segment already holds.
func (a *archive) add(endedAt int64, key Key, state State) {
	s := a.segment(endedAt / int64(segmentSpan))
	i, found := s.search(key)
	if found {
		s.states[i] = state
		return
	}
	s.keys = slices.Insert(s.keys, i, key)
	s.states = slices.Insert(s.states, i, state)
}

// segment returns the segment of a span and creates it if there is none.
func (a *archive) segment(spanIndex int64) *segment {
	i, found := slices.BinarySearchFunc(a.segments, spanIndex, func(s *segment, want int64) int {
		return int(s.spanIndex - want)
	})
	if !found {
		a.trimCapacity()
		a.segments = slices.Insert(a.segments, i, &segment{spanIndex: spanIndex})
	}
	return a.segments[i]
}

// trimCapacity releases the unused capacity of all segments. It is called before
// a segment is added, when the existing ones rarely grow any more.
func (a *archive) trimCapacity() {
	for _, s := range a.segments {
		if cap(s.keys) > len(s.keys) {
			s.keys = append(make([]Key, 0, len(s.keys)), s.keys...)
			s.states = append(make([]State, 0, len(s.states)), s.states...)
		}
	}
}

// dropBefore removes the segments that end no later than until.
func (a *archive) dropBefore(until time.Time) {
	untilNano := until.UnixNano()
	for len(a.segments) > 0 && (a.segments[0].spanIndex+1)*int64(segmentSpan) <= untilNano {
		a.segments = slices.Delete(a.segments, 0, 1)
	}
}

// search returns the index of a key in the segment, or the index at which to
// insert it, and whether the key was found.
func (s *segment) search(key Key) (int, bool) {
	return slices.BinarySearchFunc(s.keys, key, func(a, b Key) int {
		return bytes.Compare(a[:], b[:])
	})
}
