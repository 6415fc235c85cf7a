package store

import (
	"slices"

	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

const (
	defaultHistoryRevisions = 1024
	// maxHistoryKeys limits the total number of keys in all steps.
	maxHistoryKeys = 1 << 14
)

// historyStep lists the keys of the records that one revision changed.
type historyStep struct {
	revision ident.Revision
	keys     []record.Key
}

// history holds the steps of the newest revisions, oldest first and without
// gaps.
type history struct {
	maxSteps int
	steps    []historyStep
	keyCount int
}

func newHistory(limit int) history {
	if limit <= 0 {
		limit = defaultHistoryRevisions
	}
	return history{maxSteps: limit}
}

// push adds a step and drops the oldest ones beyond the limits.
func (h *history) push(revision ident.Revision, keys []record.Key) {
	h.steps = append(h.steps, historyStep{revision: revision, keys: keys})
	h.keyCount += len(keys)
	for len(h.steps) > h.maxSteps || (h.keyCount > maxHistoryKeys && len(h.steps) > 1) {
		h.keyCount -= len(h.steps[0].keys)
		h.steps[0] = historyStep{}
		h.steps = h.steps[1:]
	}
}

// deltaSince returns the delta from a revision to that of the set, or the full
// set if the history does not reach back that far.
func (h *history) deltaSince(from ident.Revision, set *record.Set) record.Delta {
	to := set.Revision()
	if from >= to {
		return record.Delta{From: from, To: to}
	}
	if len(h.steps) == 0 || from+1 < h.steps[0].revision {
		return set.FullDelta()
	}
	firstStep := int(from + 1 - h.steps[0].revision)
	delta := record.Delta{From: from, To: to}
	for _, key := range h.keysFrom(firstStep) {
		if r, found := set.Get(key); found {
			delta.Records = append(delta.Records, r)
		} else {
			delta.Retired = append(delta.Retired, key)
		}
	}
	return delta
}

// keysFrom returns the keys that changed in firstStep or later, sorted and
// without duplicates.
func (h *history) keysFrom(firstStep int) []record.Key {
	var keys []record.Key
	for _, s := range h.steps[firstStep:] {
		keys = append(keys, s.keys...)
	}
	slices.SortFunc(keys, record.CompareKeys)
	return slices.Compact(keys)
}
