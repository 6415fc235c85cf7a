package watch

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// RecordCache holds the newest set of records that this process has seen. Its
// zero value holds the empty set. It is safe for use by several goroutines.
type RecordCache struct {
	set atomic.Pointer[record.Set]
	// inForce is the revision of the newest set that the process acts on.
	inForce atomic.Uint64

	mu      sync.Mutex
	changed chan struct{}
}

// Set returns the newest set, which InForce may still follow.
func (h *RecordCache) Set() *record.Set {
	if set := h.set.Load(); set != nil {
		return set
	}
	return new(record.Set)
}

// ApplyRecords brings the set to the update's revision. An update to a lower
// revision changes nothing. It reports whether the set changed.
func (h *RecordCache) ApplyRecords(update *wire.Update) (bool, error) {
	if update.GetRevision() <= uint64(h.Set().Revision()) {
		return false, nil
	}
	delta, err := DecodeDelta(update)
	if err != nil {
		return false, err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	before := h.Set()
	after, err := before.Apply(delta)
	if err != nil {
		return false, fmt.Errorf("apply update: %w", err)
	}
	if after.Revision() <= before.Revision() {
		return false, nil
	}
	h.set.Store(after)
	return true, nil
}

// InForce returns the highest revision that this process acts on.
func (h *RecordCache) InForce() ident.Revision { return ident.Revision(h.inForce.Load()) }

// enforce notes that the process acts on the revision and wakes those who
// wait for it.
func (h *RecordCache) enforce(revision ident.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if revision <= h.InForce() {
		return
	}
	h.inForce.Store(uint64(revision))
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// Changed returns a channel that is closed once a higher revision is in force.
func (h *RecordCache) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// Await returns once revision or a higher one is in force, or ctx ends.
func (h *RecordCache) Await(ctx context.Context, revision ident.Revision) error {
	for {
		changed := h.Changed()
		if h.InForce() >= revision {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("await revision %d: %w", revision, ctx.Err())
		case <-changed:
		}
	}
}
