// Package warm is a sidecar's belief about which chats' prefixes its engine
// holds in cache, in tokens.
//
// What a chat's own answer says was found in cache counts most: it is exact,
// on time and about the chat. An engine's cache events come late, with gaps
// and about blocks, and so only ever lower the belief. The cache is taken to
// drop what was used longest ago first.
package warm

import (
	"container/list"
	"sync"

	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

// DefaultCapacity is the engine's cache if it is not known.
const DefaultCapacity ident.Tokens = 1 << 20

// missShare is the part of the way to the capacity that one missing prefix
// shows by which the capacity falls: the prefix may also be missing because
// the chat's caller has changed it.
const missShare = 8

// Config makes an Index.
type Config struct {
	// Capacity is the engine's cache in tokens.
	Capacity ident.Tokens
}

// Prefix is what the engine has read of one chat.
type Prefix struct {
	Chat   ident.ChatKey
	Tokens ident.Tokens
	// Customer and Model say whose chat it is and on what.
	Customer ident.CustomerName
	Model    ident.ModelName
	// Blocks are the hashes of the prefix's first blocks, as far as known.
	Blocks []chat.BlockHash `json:",omitempty"`
}

// Index holds the believed prefix of each chat, the least recently used ones
// going first. It is safe for use by several goroutines.
type Index struct {
	mu sync.Mutex
	// most bounds capacity, which is as large as answers show it to be.
	most     ident.Tokens
	capacity ident.Tokens
	held     ident.Tokens
	chats    map[ident.ChatKey]*list.Element
	order    *list.List // of *Prefix, most recently used in front
	// owners holds, for each block, the chat that was last seen with it.
	owners map[chat.BlockHash]ident.ChatKey
}

// New returns an empty index.
func New(cfg Config) *Index {
	if cfg.Capacity == 0 {
		cfg.Capacity = DefaultCapacity
	}
	return &Index{
		most:     cfg.Capacity,
		capacity: cfg.Capacity,
		chats:    make(map[ident.ChatKey]*list.Element),
		order:    list.New(),
		owners:   make(map[chat.BlockHash]ident.ChatKey),
	}
}

// CachedTokens returns how many tokens of the chat's prefix are believed warm.
func (x *Index) CachedTokens(chat ident.ChatKey) ident.Tokens {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e, ok := x.chats[chat]; ok {
		return e.Value.(*Prefix).Tokens
	}
	return 0
}

// Put notes that the engine has just read a chat's prefix.
func (x *Index) Put(p Prefix) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.remove(p.Chat)
	if p.Tokens <= 0 || p.Tokens > x.capacity {
		return
	}
	x.chats[p.Chat] = x.order.PushFront(&p)
	x.held += p.Tokens
	for _, b := range p.Blocks {
		x.owners[b] = p.Chat
	}
	x.shrink()
}

// ObserveCached takes what a chat's answer says was found in cache of the prefix
// that the chat had before. A prefix that was believed warm and is not shows
// that the cache holds less than what was used since; one that was not
// believed warm and is shows that it holds more than was thought.
func (x *Index) ObserveCached(chat ident.ChatKey, prefix, cached ident.Tokens) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e, known := x.chats[chat]
	hit := 2*cached >= prefix
	switch {
	case prefix <= 0 || known == hit:
	case hit:
		x.capacity = min(x.most, x.capacity+cached)
	default:
		x.capacity -= (x.capacity - min(x.capacity, x.since(e))) / missShare
		x.remove(chat)
		x.shrink()
	}
}

// since returns the tokens of the prefixes that were used after that of e.
func (x *Index) since(e *list.Element) ident.Tokens {
	var tokens ident.Tokens
	for e = e.Prev(); e != nil; e = e.Prev() {
		tokens += e.Value.(*Prefix).Tokens
	}
	return tokens
}

// BlockEvicted takes the event that a block has left the cache.
func (x *Index) BlockEvicted(b chat.BlockHash) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e, ok := x.chats[x.owners[b]]
	if !ok {
		return
	}
	p := e.Value.(*Prefix)
	for i, held := range p.Blocks {
		if held == b {
			x.truncate(p, ident.Tokens(i)*chat.BlockTokens)
			return
		}
	}
}

// EventsLost takes the number of events that are missing. Each may have removed a
// block, those used longest ago first, so that these are believed no more.
func (x *Index) EventsLost(events uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for left := events; left > 0 && x.order.Len() > 0; {
		p := x.order.Back().Value.(*Prefix)
		blocks := uint64((p.Tokens + chat.BlockTokens - 1) / chat.BlockTokens)
		left -= min(left, blocks)
		x.remove(p.Chat)
	}
}

// Reset drops everything, as after a restart of the engine.
func (x *Index) Reset() {
	x.mu.Lock()
	defer x.mu.Unlock()
	clear(x.chats)
	clear(x.owners)
	x.order.Init()
	x.held = 0
}

// MostRecent returns up to n prefixes, the most recently used first.
func (x *Index) MostRecent(n int) []Prefix {
	x.mu.Lock()
	defer x.mu.Unlock()
	prefixes := make([]Prefix, 0, min(n, len(x.chats)))
	for e := x.order.Front(); e != nil && len(prefixes) < n; e = e.Next() {
		prefixes = append(prefixes, *e.Value.(*Prefix))
	}
	return prefixes
}

// Capacity returns the tokens that the engine's cache is believed to hold.
func (x *Index) Capacity() ident.Tokens {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.capacity
}

// truncate lowers the belief in a prefix.
func (x *Index) truncate(p *Prefix, tokens ident.Tokens) {
	if tokens >= p.Tokens {
		return
	}
	if tokens == 0 {
		x.remove(p.Chat)
		return
	}
	x.held -= p.Tokens - tokens
	p.Tokens = tokens
}

// shrink drops the least recently used prefixes above the capacity.
func (x *Index) shrink() {
	for x.held > x.capacity && x.order.Len() > 0 {
		x.remove(x.order.Back().Value.(*Prefix).Chat)
	}
}

func (x *Index) remove(chat ident.ChatKey) {
	e, ok := x.chats[chat]
	if !ok {
		return
	}
	p := e.Value.(*Prefix)
	x.held -= p.Tokens
	x.order.Remove(e)
	delete(x.chats, chat)
	for _, b := range p.Blocks {
		if x.owners[b] == chat {
			delete(x.owners, b)
		}
	}
}
