package trail

import (
	"encoding/json"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	ringShards = 64
	// DefaultRingSize is how many decisions a Ring keeps.
	DefaultRingSize = 1 << 14
	// maxDecision bounds one decision; longer ones are not kept.
	maxDecision ident.Bytes = 4 << 10
)

// Ring keeps the newest decisions in memory. It is safe for use by several
// goroutines.
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

// NewRing returns a ring that keeps about so many decisions; 0 means
// DefaultRingSize.
func NewRing(kept int) *Ring {
	if kept <= 0 {
		kept = DefaultRingSize
	}
	r := new(Ring)
	for i := range r.shards {
		r.shards[i].entries = make([]ringEntry, max(kept/ringShards, 1))
	}
	return r
}

func (r *Ring) shard(request ident.RequestID) *ringShard {
	return &r.shards[xxhash.Sum64String(string(request))%ringShards]
}

// Add keeps a decision in place of the oldest one of its shard. It reports
// whether the data is a decision.
func (r *Ring) Add(data []byte) bool {
	var named struct{ Request ident.RequestID }
	if ident.Bytes(len(data)) > maxDecision || json.Unmarshal(data, &named) != nil || named.Request == "" {
		return false
	}
	s := r.shard(named.Request)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries[s.next] = ringEntry{request: named.Request, data: slices.Clone(data)}
	s.next = (s.next + 1) % len(s.entries)
	return true
}

// Get returns the decisions that are kept of a request.
func (r *Ring) Get(request ident.RequestID) []json.RawMessage {
	s := r.shard(request)
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []json.RawMessage
	for _, entry := range s.entries {
		if entry.request == request && request != "" {
			found = append(found, entry.data)
		}
	}
	return found
}
