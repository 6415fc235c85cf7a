// Package warm is a sidecar's belief about which chats' prefixes its engine
// holds in cache, in tokens. The engine's own word corrects it: what an
// answer says was found in cache, and a gap or restart, after which nothing
// is believed.
package warm

import (
	"container/list"
	"sync"

	"cactusline.dev/cactusline/internal/version/ident"
)

// DefaultCapacity is the engine's cache if it is not known.
const DefaultCapacity ident.Tokens = 1 << 20

// Config makes an Index.
type Config struct {
	// Capacity is the engine's cache in tokens.
	Capacity ident.Tokens
}

// Index holds the believed prefix of each chat, the least recently used ones
// going first. It is safe for use by several goroutines.
type Index struct {
	mu       sync.Mutex
	capacity ident.Tokens
	held     ident.Tokens
	chats    map[ident.ChatKey]*list.Element
	order    *list.List
}

type prefix struct {
	chat   ident.ChatKey
	tokens ident.Tokens
}

// New returns an empty index.
func New(cfg Config) *Index {
	if cfg.Capacity == 0 {
		cfg.Capacity = DefaultCapacity
	}
	return &Index{
		capacity: cfg.Capacity,
		chats:    make(map[ident.ChatKey]*list.Element),
		order:    list.New(),
	}
}

// Get returns how many tokens of the chat's prefix are believed warm.
func (x *Index) Get(chat ident.ChatKey) ident.Tokens {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e, ok := x.chats[chat]; ok {
		return e.Value.(*prefix).tokens
	}
	return 0
}

// Put notes that the engine has just read a chat's prefix.
func (x *Index) Put(chat ident.ChatKey, tokens ident.Tokens) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.remove(chat)
	if tokens <= 0 || tokens > x.capacity {
		return
	}
	x.chats[chat] = x.order.PushFront(&prefix{chat: chat, tokens: tokens})
	x.held += tokens
	for x.held > x.capacity {
		x.remove(x.order.Back().Value.(*prefix).chat)
	}
}

// Forget drops what is believed of a chat.
func (x *Index) Forget(chat ident.ChatKey) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.remove(chat)
}

// Reset drops everything, as after a restart of the engine or a gap in its
// events.
func (x *Index) Reset() {
	x.mu.Lock()
	defer x.mu.Unlock()
	clear(x.chats)
	x.order.Init()
	x.held = 0
}

// Hottest returns up to n chats, the most recently used first.
func (x *Index) Hottest(n int) []ident.ChatKey {
	x.mu.Lock()
	defer x.mu.Unlock()
	chats := make([]ident.ChatKey, 0, min(n, len(x.chats)))
	for e := x.order.Front(); e != nil && len(chats) < n; e = e.Next() {
		chats = append(chats, e.Value.(*prefix).chat)
	}
	return chats
}

func (x *Index) remove(chat ident.ChatKey) {
	e, ok := x.chats[chat]
	if !ok {
		return
	}
	x.held -= e.Value.(*prefix).tokens
	x.order.Remove(e)
	delete(x.chats, chat)
}
