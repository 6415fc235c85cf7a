package engine

import (
	"container/list"

	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

// cache is an LRU cache of blocks of prompt prefixes. The engine's lock guards
// it.
type cache struct {
	limit    int
	order    *list.List // of chat.BlockHash, most recently used first
	entries  map[chat.BlockHash]*list.Element
	onChange func(EventKind, chat.BlockHash)
}

func newCache(limit ident.Tokens, onChange func(EventKind, chat.BlockHash)) *cache {
	return &cache{
		limit:    int(limit / chat.BlockTokens),
		order:    list.New(),
		entries:  make(map[chat.BlockHash]*list.Element),
		onChange: onChange,
	}
}

// lookup returns the number of tokens in the longest cached prefix of blocks
// and marks it as used. Later blocks are evicted before the blocks that precede
// them.
func (c *cache) lookup(blocks []chat.BlockHash) ident.Tokens {
	cachedBlocks := 0
	for cachedBlocks < len(blocks) && c.entries[blocks[cachedBlocks]] != nil {
		cachedBlocks++
	}
	for i := cachedBlocks - 1; i >= 0; i-- {
		c.order.MoveToFront(c.entries[blocks[i]])
	}
	return ident.Tokens(cachedBlocks) * chat.BlockTokens
}

// insert adds the blocks of one prefix, as many as fit, and evicts the least
// recently used ones.
func (c *cache) insert(blocks []chat.BlockHash) {
	blocks = blocks[:min(len(blocks), c.limit)]
	for i := len(blocks) - 1; i >= 0; i-- {
		if old := c.entries[blocks[i]]; old != nil {
			c.order.MoveToFront(old)
			continue
		}
		c.entries[blocks[i]] = c.order.PushFront(blocks[i])
		c.onChange(EventStored, blocks[i])
	}
	for c.order.Len() > c.limit {
		oldest := c.order.Remove(c.order.Back()).(chat.BlockHash)
		delete(c.entries, oldest)
		c.onChange(EventRemoved, oldest)
	}
}

// mostRecent returns up to limit blocks, most recently used first.
func (c *cache) mostRecent(limit int) []chat.BlockHash {
	var blocks []chat.BlockHash
	for element := c.order.Front(); element != nil && len(blocks) < limit; element = element.Next() {
		blocks = append(blocks, element.Value.(chat.BlockHash))
	}
	return blocks
}

// cachedOf returns the subset of blocks that is cached.
func (c *cache) cachedOf(blocks []chat.BlockHash) []chat.BlockHash {
	var cached []chat.BlockHash
	for _, b := range blocks {
		if c.entries[b] != nil {
			cached = append(cached, b)
		}
	}
	return cached
}

// clear removes all blocks.
func (c *cache) clear() {
	c.order.Init()
	clear(c.entries)
	c.onChange(EventCleared, 0)
}

func (c *cache) tokens() ident.Tokens {
	return ident.Tokens(c.order.Len()) * chat.BlockTokens
}
