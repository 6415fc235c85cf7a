package admit

import (
	"sync"

	"cactusline.dev/cactusline/internal/version/ident"
)

// DefaultIndexed is how many chats an index holds.
const DefaultIndexed = 65536

// IndexConfig sets up an index.
type IndexConfig struct {
	// Chats bounds the chats that are held; those stored longest ago go first.
	Chats int
}

// CacheEvent is what a model engine tells of its prefix cache.
type CacheEvent struct {
	// Seq numbers the events of one engine without gaps.
	Seq  uint64
	Chat ident.ChatKey
	// Tokens is how much of the chat's prefix is cached now, 0 for none.
	Tokens ident.Tokens
}

// Index knows which chats are warm at the target from the engine's cache
// events. After a gap in the events it says nothing until it has been
// synchronized anew. It is safe for concurrent use.
type Index struct {
	mu     sync.Mutex
	chats  *table[ident.ChatKey, ident.Tokens]
	limit  int
	next   uint64
	synced bool
}

// NewIndex returns an index that has yet to be synchronized.
func NewIndex(cfg IndexConfig) *Index {
	setDefault(&cfg.Chats, DefaultIndexed)
	return &Index{limit: cfg.Chats, chats: newTable[ident.ChatKey, ident.Tokens](cfg.Chats)}
}

// Apply takes an event. It reports false if the index has to be synchronized
// first, since an event is missing. Events that are known are ignored.
func (x *Index) Apply(e CacheEvent) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.synced || e.Seq > x.next {
		x.synced = false
		return false
	}
	if e.Seq < x.next {
		return true
	}
	x.next++
	x.set(e.Chat, e.Tokens)
	return true
}

// Resync replaces the content by the engine's whole cache as it was before
// the event numbered next.
func (x *Index) Resync(next uint64, cache []CacheEvent) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.chats = newTable[ident.ChatKey, ident.Tokens](x.limit)
	for _, e := range cache {
		x.set(e.Chat, e.Tokens)
	}
	x.next = next
	x.synced = true
}

func (x *Index) set(chat ident.ChatKey, tokens ident.Tokens) {
	if tokens == 0 {
		x.chats.forget(chat)
		return
	}
	x.chats.put(chat, tokens)
}

// Warm returns how much of a chat's prefix is warm; false if the index does
// not know, because it has missed events.
func (x *Index) Warm(chat ident.ChatKey) (ident.Tokens, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.synced {
		return 0, false
	}
	tokens, _ := x.chats.get(chat)
	return tokens, true
}
