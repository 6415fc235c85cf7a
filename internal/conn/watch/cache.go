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

// RecordCache holds the newest set of records that this process has received.
// Its zero value holds the empty set. A revision is in force once the process
// acts on its records. It is safe for concurrent use.
type RecordCache struct {
	set atomic.Pointer[record.Set]
	// inForce is the revision of the newest set that the process acts on.
	inForce atomic.Uint64

	mu             sync.Mutex
	inForceChanged chan struct{}
}

// Set returns the newest set, which may not be in force yet.
func (c *RecordCache) Set() *record.Set {
	if set := c.set.Load(); set != nil {
		return set
	}
	return new(record.Set)
}

// ApplyRecords brings the set to the revision of the update and reports whether
// the set changed. An update to the same or a lower revision changes nothing.
func (c *RecordCache) ApplyRecords(update *wire.Update) (bool, error) {
	if update.GetRevision() <= uint64(c.Set().Revision()) {
		return false, nil
	}
	delta, err := DecodeDelta(update)
	if err != nil {
		return false, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.Set()
	after, err := before.Apply(delta)
	if err != nil {
		return false, fmt.Errorf("apply update: %w", err)
	}
	if after.Revision() <= before.Revision() {
		return false, nil
	}
	c.set.Store(after)
	return true, nil
}

// InForce returns the highest revision that this process acts on.
func (c *RecordCache) InForce() ident.Revision { return ident.Revision(c.inForce.Load()) }

// setInForce records that the process acts on the revision and wakes the
// callers that wait for it.
func (c *RecordCache) setInForce(revision ident.Revision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if revision <= c.InForce() {
		return
	}
	c.inForce.Store(uint64(revision))
	if c.inForceChanged != nil {
		close(c.inForceChanged)
		c.inForceChanged = nil
	}
}

// InForceChanged returns a channel that is closed once a higher revision is in force.
func (c *RecordCache) InForceChanged() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.inForceChanged == nil {
		c.inForceChanged = make(chan struct{})
	}
	return c.inForceChanged
}

// AwaitInForce blocks until the revision or a higher one is in force, or ctx ends.
func (c *RecordCache) AwaitInForce(ctx context.Context, revision ident.Revision) error {
	for {
		changed := c.InForceChanged()
		if c.InForce() >= revision {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for revision %d: %w", revision, ctx.Err())
		case <-changed:
		}
	}
}
