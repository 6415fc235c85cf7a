// Package origin remembers at which service and software version streams began, so that
// they go on only there. Streams are known by the hash of the ID of the request that
// brought their first event.
package origin

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults for the zero fields of Config.
const (
	// DefaultRetention is twice the time that a caller waits for the longest streams.
	DefaultRetention  = 30 * time.Second
	DefaultMaxStreams = 16 << 10
)

const (
	shardCount = 16
	// maxOrigins bounds the origins that a table knows. Streams of further ones are not
	// recorded.
	maxOrigins = 4096
)

// Origin is where a stream began.
type Origin struct {
	Service ident.ServiceName
	Version ident.SoftwareVersion
}

// StreamKey is the hash of the ID of the request that brought the first event.
type StreamKey uint64

// KeyOf returns the key of a stream.
func KeyOf(id ident.RequestID) StreamKey { return StreamKey(xxhash.Sum64String(string(id))) }

// Config configures a Table.
type Config struct {
	// Retention is how long a stream is kept at least, unless there are too many.
	Retention time.Duration
	// MaxStreams bounds the streams of one retention.
	MaxStreams int
}

// Table holds the origins of recent streams. Entries that are older than twice the
// retention are dropped. It is safe for concurrent use.
type Table struct {
	cfg    Config
	shards [shardCount]shard

	mu sync.RWMutex
	// origins and indexes number the origins, so that an entry is small.
	origins []Origin
	indexes map[Origin]uint32
}

type shard struct {
	mu        sync.Mutex
	current   map[StreamKey]uint32
	previous  map[StreamKey]uint32
	rotatedAt time.Time
}

// conflict is the index of a stream that was reported with two origins.
const conflict = 0

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.MaxStreams == 0 {
		cfg.MaxStreams = DefaultMaxStreams
	}
	return &Table{cfg: cfg, origins: make([]Origin, 1), indexes: make(map[Origin]uint32)}
}

// Record records where a stream began. A stream with two origins is not known any more.
func (t *Table) Record(now time.Time, key StreamKey, origin Origin) {
	index, ok := t.index(origin)
	if !ok {
		return
	}
	s := &t.shards[key%shardCount]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now, t.cfg)
	if known, found := s.lookup(key); found && known != index {
		index = conflict
	}
	s.current[key] = index
}

// index returns the number of an origin. It returns false if there are too many.
func (t *Table) index(origin Origin) (uint32, bool) {
	t.mu.RLock()
	index, found := t.indexes[origin]
	t.mu.RUnlock()
	if found {
		return index, true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if index, found = t.indexes[origin]; found {
		return index, true
	}
	if len(t.origins) > maxOrigins {
		return 0, false
	}
	index = uint32(len(t.origins))
	t.origins = append(t.origins, origin)
	t.indexes[origin] = index
	return index, true
}

// rotate drops the older generation once the newer one is full or a retention old.
func (s *shard) rotate(now time.Time, cfg Config) {
	if s.current != nil && now.Sub(s.rotatedAt) < cfg.Retention && len(s.current) < cfg.MaxStreams/shardCount {
		return
	}
	s.previous = s.current
	if now.Sub(s.rotatedAt) >= 2*cfg.Retention {
		s.previous = nil
	}
	s.current, s.rotatedAt = make(map[StreamKey]uint32), now
}

func (s *shard) lookup(key StreamKey) (uint32, bool) {
	if index, found := s.current[key]; found {
		return index, true
	}
	index, found := s.previous[key]
	return index, found
}

// Lookup returns where a stream began, and false if that is not known.
func (t *Table) Lookup(now time.Time, key StreamKey) (Origin, bool) {
	s := &t.shards[key%shardCount]
	s.mu.Lock()
	s.rotate(now, t.cfg)
	index, found := s.lookup(key)
	s.mu.Unlock()
	if !found || index == conflict {
		return Origin{}, false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.origins[index], true
}

// All returns the streams of each origin.
func (t *Table) All(now time.Time) map[Origin][]StreamKey {
	all := make(map[Origin][]StreamKey)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		s.rotate(now, t.cfg)
		for _, generation := range []map[StreamKey]uint32{s.previous, s.current} {
			for key, index := range generation {
				if index != conflict {
					origin := t.originAt(index)
					all[origin] = append(all[origin], key)
				}
			}
		}
		s.mu.Unlock()
	}
	return all
}

func (t *Table) originAt(index uint32) Origin {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.origins[index]
}

// Len returns the number of streams held.
func (t *Table) Len() int {
	count := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		count += len(s.current) + len(s.previous)
		s.mu.Unlock()
	}
	return count
}
