package store

import (
	"slices"

	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

const (
	defaultHistorySteps = 1024
	// maxHistoryKeys bounds the keys over all steps.
	maxHistoryKeys = 1 << 14
)

// step lists the records that one revision changed.
type step struct {
	revision ident.Revision
	keys     []record.Key
}

// history holds the newest steps, oldest first, without gaps.
type history struct {
	limit int
	steps []step
	keys  int
}

func newHistory(limit int) history {
	if limit <= 0 {
		limit = defaultHistorySteps
	}
	return history{limit: limit}
}

// push adds a step and drops the oldest above the bounds.
func (h *history) push(revision ident.Revision, keys []record.Key) {
	h.steps = append(h.steps, step{revision: revision, keys: keys})
	h.keys += len(keys)
	for len(h.steps) > h.limit || (h.keys > maxHistoryKeys && len(h.steps) > 1) {
		h.keys -= len(h.steps[0].keys)
		h.steps[0] = step{}
		h.steps = h.steps[1:]
	}
}

// since returns the delta from a revision to that of the set.
func (h *history) since(from ident.Revision, set *record.Set) record.Delta {
	to := set.Revision()
	if from >= to {
		return record.Delta{From: from, To: to}
	}
	if len(h.steps) == 0 || from+1 < h.steps[0].revision {
		return set.FullDelta()
	}
	first := int(from + 1 - h.steps[0].revision)
	delta := record.Delta{From: from, To: to}
	for _, key := range h.keysFrom(first) {
		if r, found := set.Get(key); found {
			delta.Records = append(delta.Records, r)
		} else {
			delta.Retired = append(delta.Retired, key)
		}
	}
	return delta
}

// keysFrom returns the keys that changed in a step or later, sorted, each
// once.
func (h *history) keysFrom(first int) []record.Key {
	var keys []record.Key
	for _, s := range h.steps[first:] {
		keys = append(keys, s.keys...)
	}
	slices.SortFunc(keys, record.CompareKeys)
	return slices.Compact(keys)
}
