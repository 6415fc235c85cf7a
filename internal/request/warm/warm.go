// Package warm estimates which prefixes of chats, and how many tokens of each, a
// sidecar's engine holds in its cache.
//
// The estimate relies mainly on the number of cached tokens that each response
// reports: it is exact, timely and about the chat itself. The engine's cache events
// come late, with gaps and about blocks, and so they only ever lower the estimate.
// The cache is assumed to evict the least recently used prefix first.
package warm

import (
	"container/list"
	"sync"

	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

// DefaultCapacity is the assumed capacity of an engine's cache if it is not known.
const DefaultCapacity ident.Tokens = 1 << 20

// missDivisor is the divisor of the step by which one missing prefix lowers the
// estimated capacity, towards the tokens used since that prefix was. A miss counts
// only in part, since the caller may also have changed the prefix.
const missDivisor = 8

// Config configures an Index.
type Config struct {
	// Capacity is the capacity of the engine's cache, DefaultCapacity if zero.
	Capacity ident.Tokens
}

// Prefix is the part of one chat that the engine has processed.
type Prefix struct {
	Chat     ident.ChatKey
	Tokens   ident.Tokens
	Customer ident.CustomerName
	Model    ident.ModelName
	// Blocks are the hashes of the first blocks of the prefix, as far as known.
	Blocks []chat.BlockHash `json:",omitempty"`
}

// Index holds the prefix of each chat that the engine is estimated to have cached.
// Above the capacity, the least recently used prefixes are evicted. An Index is
// safe for concurrent use.
type Index struct {
	mu sync.Mutex
	// maxCapacity is the configured capacity. The estimate, capacity, follows what
	// responses report but never exceeds it.
	maxCapacity ident.Tokens
	capacity    ident.Tokens
	// heldTokens is the sum of the tokens of all prefixes.
	heldTokens ident.Tokens
	chats      map[ident.ChatKey]*list.Element
	recency    *list.List // of *Prefix, most recently used in front
	// blockOwners maps each block to the chat that was last put with it.
	blockOwners map[chat.BlockHash]ident.ChatKey
}

// New returns an empty index.
func New(cfg Config) *Index {
	if cfg.Capacity == 0 {
		cfg.Capacity = DefaultCapacity
	}
	return &Index{
		maxCapacity: cfg.Capacity,
		capacity:    cfg.Capacity,
		chats:       make(map[ident.ChatKey]*list.Element),
		recency:     list.New(),
		blockOwners: make(map[chat.BlockHash]ident.ChatKey),
	}
}

// CachedTokens returns the estimated number of cached tokens of a chat's prefix.
func (x *Index) CachedTokens(chat ident.ChatKey) ident.Tokens {
	x.mu.Lock()
	defer x.mu.Unlock()
	if e, ok := x.chats[chat]; ok {
		return e.Value.(*Prefix).Tokens
	}
	return 0
}

// Put records that the engine has just processed a prefix. A prefix that exceeds
// the capacity is not cached.
func (x *Index) Put(p Prefix) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.remove(p.Chat)
	if p.Tokens <= 0 || p.Tokens > x.capacity {
		return
	}
	x.chats[p.Chat] = x.recency.PushFront(&p)
	x.heldTokens += p.Tokens
	for _, b := range p.Blocks {
		x.blockOwners[b] = p.Chat
	}
	x.evictOverCapacity()
}

// ObserveCached corrects the estimate by the number of cached tokens that a response
// reports of the prefix that the chat had before. A prefix counts as cached if at
// least half of it was. A miss of a prefix in the index shows that the capacity is
// less than the tokens of the prefixes used after it. A hit of a prefix that is not
// in the index shows that the capacity is more than estimated.
func (x *Index) ObserveCached(chat ident.ChatKey, prefixTokens, cachedTokens ident.Tokens) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e, known := x.chats[chat]
	hit := 2*cachedTokens >= prefixTokens
	switch {
	case prefixTokens <= 0 || known == hit:
		// The index agrees with the report.
	case hit:
		x.capacity = min(x.maxCapacity, x.capacity+cachedTokens)
	default:
		x.capacity -= (x.capacity - min(x.capacity, x.tokensUsedSince(e))) / missDivisor
		x.remove(chat)
		x.evictOverCapacity()
	}
}

// tokensUsedSince returns the tokens of all prefixes used more recently than e.
func (x *Index) tokensUsedSince(e *list.Element) ident.Tokens {
	var tokens ident.Tokens
	for e = e.Prev(); e != nil; e = e.Prev() {
		tokens += e.Value.(*Prefix).Tokens
	}
	return tokens
}

// BlockEvicted handles the cache event that a block was evicted. The prefix that
// holds the block is truncated before it.
func (x *Index) BlockEvicted(b chat.BlockHash) {
	x.mu.Lock()
	defer x.mu.Unlock()
	e, ok := x.chats[x.blockOwners[b]]
	if !ok {
		return
	}
	p := e.Value.(*Prefix)
	for i, owned := range p.Blocks {
		if owned == b {
			x.truncate(p, ident.Tokens(i)*chat.BlockTokens)
			return
		}
	}
}

// EventsLost handles a gap of so many missing cache events. Each may have evicted a
// block, so as many blocks of the least recently used prefixes are dropped, rounded
// up to whole prefixes.
func (x *Index) EventsLost(events uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for remaining := events; remaining > 0 && x.recency.Len() > 0; {
		p := x.recency.Back().Value.(*Prefix)
		blocks := uint64((p.Tokens + chat.BlockTokens - 1) / chat.BlockTokens)
		remaining -= min(remaining, blocks)
		x.remove(p.Chat)
	}
}

// Reset drops all prefixes, as after a restart of the engine.
func (x *Index) Reset() {
	x.mu.Lock()
	defer x.mu.Unlock()
	clear(x.chats)
	clear(x.blockOwners)
	x.recency.Init()
	x.heldTokens = 0
}

// MostRecent returns up to n prefixes, most recently used first.
func (x *Index) MostRecent(n int) []Prefix {
	x.mu.Lock()
	defer x.mu.Unlock()
	prefixes := make([]Prefix, 0, min(n, len(x.chats)))
	for e := x.recency.Front(); e != nil && len(prefixes) < n; e = e.Next() {
		prefixes = append(prefixes, *e.Value.(*Prefix))
	}
	return prefixes
}

// Capacity returns the estimated capacity of the engine's cache.
func (x *Index) Capacity() ident.Tokens {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.capacity
}

// truncate shortens a prefix to at most the given number of tokens.
func (x *Index) truncate(p *Prefix, tokens ident.Tokens) {
	if tokens >= p.Tokens {
		return
	}
	if tokens == 0 {
		x.remove(p.Chat)
		return
	}
	x.heldTokens -= p.Tokens - tokens
	p.Tokens = tokens
}

// evictOverCapacity drops the least recently used prefixes until the rest fits the
// capacity.
func (x *Index) evictOverCapacity() {
	for x.heldTokens > x.capacity && x.recency.Len() > 0 {
		x.remove(x.recency.Back().Value.(*Prefix).Chat)
	}
}

func (x *Index) remove(chat ident.ChatKey) {
	e, ok := x.chats[chat]
	if !ok {
		return
	}
	p := e.Value.(*Prefix)
	x.heldTokens -= p.Tokens
	x.recency.Remove(e)
	delete(x.chats, chat)
	for _, b := range p.Blocks {
		if x.blockOwners[b] == chat {
			delete(x.blockOwners, b)
		}
	}
}
