package engine

import (
	"container/list"

	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

// cache holds blocks of prompt prefixes, the least recently used of which go
// first when it is full. The engine's lock guards it.
type cache struct {
	limit    int
	order    *list.List // of chat.BlockHash, most recently used in front
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

// lookup returns the tokens of the longest cached prefix of blocks and marks
// it as used, so that blocks go before those that precede them.
func (c *cache) lookup(blocks []chat.BlockHash) ident.Tokens {
	warm := 0
	for warm < len(blocks) && c.entries[blocks[warm]] != nil {
		warm++
	}
	for i := warm - 1; i >= 0; i-- {
		c.order.MoveToFront(c.entries[blocks[i]])
	}
	return ident.Tokens(warm) * chat.BlockTokens
}

// insert adds the blocks of one prefix, as many as fit.
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

// hottest returns at most limit blocks, the most recently used first.
func (c *cache) hottest(limit int) []chat.BlockHash {
	var blocks []chat.BlockHash
	for at := c.order.Front(); at != nil && len(blocks) < limit; at = at.Next() {
		blocks = append(blocks, at.Value.(chat.BlockHash))
	}
	return blocks
}

// present returns those of blocks that are cached.
func (c *cache) present(blocks []chat.BlockHash) []chat.BlockHash {
	var found []chat.BlockHash
	for _, b := range blocks {
		if c.entries[b] != nil {
			found = append(found, b)
		}
	}
	return found
}

// clear drops all blocks.
func (c *cache) clear() {
	c.order.Init()
	clear(c.entries)
	c.onChange(EventCleared, 0)
}

func (c *cache) tokens() ident.Tokens {
	return ident.Tokens(c.order.Len()) * chat.BlockTokens
}
