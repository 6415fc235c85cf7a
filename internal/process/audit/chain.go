package audit

import (
	"fmt"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/version/cmdpb"
)

const defaultRetainedEntries = 4096

// EvictedError reports entries that the chain has evicted. Other control
// processes may still have them in their exports.
type EvictedError struct {
	// First and Last are the indices of the first and last evicted entry.
	First, Last uint64
}

// Error returns a message with the range of evicted entries.
func (e *EvictedError) Error() string {
	return fmt.Sprintf("audit entries %d to %d are no longer kept", e.First, e.Last)
}

// Config holds the settings of a Chain.
type Config struct {
	// RetainedEntries is the number of newest entries to keep; 0 means 4096. It
	// must be the same on all replicas.
	RetainedEntries int
}

// Chain holds the head of the audit log and its newest entries. Its methods are
// safe for concurrent use.
type Chain struct {
	capacity int

	mu sync.Mutex
	// ring holds the entry with index i at position i modulo its length.
	ring []Entry
	head Head
}

// New returns an empty chain.
func New(cfg Config) *Chain {
	if cfg.RetainedEntries <= 0 {
		cfg.RetainedEntries = defaultRetainedEntries
	}
	return &Chain{capacity: cfg.RetainedEntries, ring: make([]Entry, cfg.RetainedEntries)}
}

// Append adds an entry for the event and returns it.
func (c *Chain) Append(event Event) Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	entry := c.head.Next(event)
	c.ring[entry.Index%uint64(c.capacity)] = entry
	c.head = entry.head()
	return entry
}

// Head returns the index and hash of the newest entry.
func (c *Chain) Head() Head {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.head
}

// After returns the entries above an index, oldest first. If some of them have
// been evicted, it returns the remaining ones and an *EvictedError.
func (c *Chain) After(index uint64) ([]Entry, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.after(index)
}

// after implements After. The caller holds the lock.
func (c *Chain) after(index uint64) ([]Entry, error) {
	if index >= c.head.Index {
		return nil, nil
	}
	first := index + 1
	var evicted error
	if oldest := c.oldest(); first < oldest {
		evicted = &EvictedError{First: first, Last: oldest - 1}
		first = oldest
	}
	out := make([]Entry, 0, c.head.Index-first+1)
	for i := first; i <= c.head.Index; i++ {
		out = append(out, c.ring[i%uint64(c.capacity)])
	}
	return out, evicted
}

// oldest returns the index of the oldest retained entry. The caller holds the
// lock.
func (c *Chain) oldest() uint64 {
	oldest := uint64(1)
	if capacity := uint64(c.capacity); c.head.Index > capacity {
		oldest = c.head.Index - capacity + 1
	}
	// After Restore, the ring may have fewer entries than it can hold.
	for oldest <= c.head.Index && c.ring[oldest%uint64(c.capacity)].Index != oldest {
		oldest++
	}
	return oldest
}

// Snapshot encodes the chain's state. Equal states have equal encodings.
func (c *Chain) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries, _ := c.after(0)
	out := &cmdpb.AuditSnapshot{Index: c.head.Index, Head: c.head.Hash[:]}
	for i := range entries {
		out.Entries = append(out.Entries, encodeEntry(&entries[i]))
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode audit chain: %w", err)
	}
	return data, nil
}

// Restore replaces the chain's state with a snapshot.
func (c *Chain) Restore(data []byte) error {
	var in cmdpb.AuditSnapshot
	if err := proto.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("decode audit chain: %w", err)
	}
	head := Head{Index: in.GetIndex()}
	if copy(head.Hash[:], in.GetHead()) != len(head.Hash) {
		return fmt.Errorf("audit head hash has invalid length %d", len(in.GetHead()))
	}
	ring := make([]Entry, c.capacity)
	for _, encoded := range in.GetEntries() {
		entry := decodeEntry(encoded)
		ring[entry.Index%uint64(c.capacity)] = entry
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ring, c.head = ring, head
	return nil
}

func encodeEntry(e *Entry) *cmdpb.AuditEntry {
	return &cmdpb.AuditEntry{
		Index: e.Index, Time: e.Time.UnixNano(), Kind: string(e.Kind), Actor: e.Actor,
		Request: e.Request, Subject: e.Subject, Detail: e.Detail,
		PrevHash: e.PrevHash[:], Hash: e.Hash[:],
	}
}

func decodeEntry(in *cmdpb.AuditEntry) Entry {
	entry := Entry{Index: in.GetIndex(), Event: Event{
		Time: time.Unix(0, in.GetTime()).UTC(), Kind: Kind(in.GetKind()), Actor: in.GetActor(),
		Request: in.GetRequest(), Subject: in.GetSubject(), Detail: in.GetDetail(),
	}}
	copy(entry.PrevHash[:], in.GetPrevHash())
	copy(entry.Hash[:], in.GetHash())
	return entry
}
