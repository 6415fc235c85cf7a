package ledger

import (
	"bytes"
	"slices"
	"time"
)

// span is the time that one segment covers.
const span = time.Hour

// segment holds the compacted keys of one span, sorted, with their states.
type segment struct {
	// number counts spans since 1970.
	number int64
	keys   []Key
	states []State
}

// archive holds compacted keys in segments by rising number.
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

// find returns the state of a key, StateFree if it is not held.
func (a *archive) find(key Key) State {
	for _, s := range slices.Backward(a.segments) {
		if i, found := s.search(key); found {
			return s.states[i]
		}
	}
	return StateFree
}

// add holds a key whose attempt ended at a time in Unix nanoseconds.
func (a *archive) add(at int64, key Key, state State) {
	s := a.segment(at / int64(span))
	i, found := s.search(key)
	if found {
		s.states[i] = state
		return
	}
	s.keys = slices.Insert(s.keys, i, key)
	s.states = slices.Insert(s.states, i, state)
}

// segment returns the segment of a number, a new one if there is none.
func (a *archive) segment(number int64) *segment {
	i, found := slices.BinarySearchFunc(a.segments, number, func(s *segment, want int64) int {
		return int(s.number - want)
	})
	if !found {
		a.seal()
		a.segments = slices.Insert(a.segments, i, &segment{number: number})
	}
	return a.segments[i]
}

// seal gives back memory that the segments do not need once they are full.
func (a *archive) seal() {
	for _, s := range a.segments {
		if cap(s.keys) > len(s.keys) {
			s.keys = append(make([]Key, 0, len(s.keys)), s.keys...)
			s.states = append(make([]State, 0, len(s.states)), s.states...)
		}
	}
}

// drop forgets the segments that end no later than a time.
func (a *archive) drop(until time.Time) {
	last := until.UnixNano()
	for len(a.segments) > 0 && (a.segments[0].number+1)*int64(span) <= last {
		a.segments = slices.Delete(a.segments, 0, 1)
	}
}

// search returns the place of a key in the segment.
func (s *segment) search(key Key) (int, bool) {
	return slices.BinarySearchFunc(s.keys, key, func(a, b Key) int {
		return bytes.Compare(a[:], b[:])
	})
}
