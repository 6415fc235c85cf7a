package trail

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// ringShards is the number of independently locked parts of a Ring.
	ringShards = 64
	// DefaultRingSize is the default number of decisions in a Ring.
	DefaultRingSize = 1 << 14
	// maxDecisionBytes is the maximum encoded size of a decision; longer ones
	// are dropped.
	maxDecisionBytes ident.Bytes = 4 << 10
)

// Ring keeps the newest decisions in memory. It is safe for concurrent use.
type Ring struct {
	shards [ringShards]ringShard
}

type ringShard struct {
	mu      sync.Mutex
	entries []ringEntry
	next    int
}

type ringEntry struct {
	request ident.RequestID
	data    json.RawMessage
}

// NewRing returns a ring of about size decisions, at least one per shard. Zero
// means DefaultRingSize.
func NewRing(size int) *Ring {
	if size <= 0 {
		size = DefaultRingSize
	}
	r := new(Ring)
	for i := range r.shards {
		r.shards[i].entries = make([]ringEntry, max(size/ringShards, 1))
	}
	return r
}

func (r *Ring) shard(request ident.RequestID) *ringShard {
	return &r.shards[xxhash.Sum64String(string(request))%ringShards]
}

// Add stores an encoded decision in place of the oldest one in its shard. It
// reports whether data is a valid decision of at most maxDecisionBytes.
func (r *Ring) Add(data []byte) bool {
	var named struct{ Request ident.RequestID }
	if ident.Bytes(len(data)) > maxDecisionBytes || json.Unmarshal(data, &named) != nil || named.Request == "" {
		return false
	}
	s := r.shard(named.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[s.next] = ringEntry{request: named.Request, data: slices.Clone(data)}
	s.next = (s.next + 1) % len(s.entries)
	return true
}

// Get returns the stored decisions of a request.
func (r *Ring) Get(request ident.RequestID) []json.RawMessage {
	s := r.shard(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []json.RawMessage
	for _, entry := range s.entries {
		// Unused entries have an empty request.
		if entry.request == request && request != "" {
			found = append(found, entry.data)
		}
	}
	return found
}
