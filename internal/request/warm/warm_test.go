package warm_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/seeds"
	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/request/warm"
	"cactusline.dev/cactusline/internal/version/ident"
)

func put(index *warm.Index, key ident.ChatKey, tokens ident.Tokens) {
	index.Put(warm.Prefix{Chat: key, Tokens: tokens})
}

func TestLeastRecentlyUsedGoesFirst(t *testing.T) {
	index := warm.New(warm.Config{Capacity: 100})
	put(index, 1, 40)
	put(index, 2, 40)
	put(index, 1, 50)
	put(index, 3, 30)
	assert.Equal(t, index.CachedTokens(2), ident.Tokens(0))
	assert.Equal(t, index.CachedTokens(1), ident.Tokens(50))
	hottest := index.MostRecent(2)
	assert.DeepEqual(t, []ident.ChatKey{hottest[0].Chat, hottest[1].Chat}, []ident.ChatKey{3, 1})
	index.Reset()
	assert.Equal(t, index.CachedTokens(1), ident.Tokens(0))
}

func TestLongerThanTheCacheIsNotHeld(t *testing.T) {
	index := warm.New(warm.Config{Capacity: 100})
	put(index, 1, 101)
	assert.Equal(t, index.CachedTokens(1), ident.Tokens(0))
}

// TestAnswersTeachTheCapacity has an engine that holds a tenth of what the
// index was told, and then all of it.
func TestAnswersTeachTheCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	index := warm.New(warm.Config{Capacity: 10_000})
	// wrong counts chats that are believed warm and are not.
	turns := func(capacity, count int) (wrong int) {
		cache := newCache(capacity, 0, rng)
		for range count {
			key := ident.ChatKey(rng.IntN(400))
			before, believed := cache.tokens(key), index.CachedTokens(key)
			if believed > 0 && before == 0 {
				wrong++
			}
			cache.use(key, 5)
			index.ObserveCached(key, 5*chat.BlockTokens, before)
			put(index, key, 5*chat.BlockTokens)
		}
		return wrong
	}
	first, later := turns(62, 1000), turns(62, 1000)
	assert.Assert(t, first > 30 && later < first/3, "%d beliefs of the first 1000 turns were wrong, %d of the next", first, later)
	turns(625, 1000)
	assert.Assert(t, index.Capacity() > 8_000, "capacity %d", index.Capacity())
}

// TestRandomisedNothingIsBelievedAfterAGap feeds the events of a cache that is
// smaller than the index thinks, of which some are lost. What is believed must
// be in the cache as it was at the last event, however many are missing.
func TestRandomisedNothingIsBelievedAfterAGap(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 20}, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 5))
		index := warm.New(warm.Config{})
		cache := newCache(60, 0.05, rng)
		believed, gaps := 0, uint64(0)
		for range 1000 {
			key := ident.ChatKey(1 + rng.IntN(20))
			blocks := cache.use(key, 1+rng.IntN(8))
			index.Put(warm.Prefix{Chat: key, Tokens: ident.Tokens(len(blocks)) * chat.BlockTokens, Blocks: blocks})
			if rng.IntN(3) > 0 {
				continue
			}
			removed, lost := cache.events()
			for _, b := range removed {
				index.BlockEvicted(b)
			}
			index.EventsLost(lost)
			gaps += lost
			for key := range ident.ChatKey(21) {
				got, held := index.CachedTokens(key), cache.tokens(key)
				assert.Assert(t, got <= held, "chat %d: %d tokens believed, %d held", key, got, held)
				if got > 0 {
					believed++
				}
			}
		}
		assert.Assert(t, gaps > 0 && believed > 500, "%d gaps, %d beliefs", gaps, believed)
	})
}

// cache holds blocks as an engine does: the least recently used go first, and
// of one prefix the last.
type cache struct {
	limit   int
	loss    float64
	rand    *rand.Rand
	order   []chat.BlockHash // most recently used in front
	removed []chat.BlockHash
	lost    uint64
}

func newCache(limit int, loss float64, rng *rand.Rand) *cache {
	return &cache{limit: limit, loss: loss, rand: rng}
}

func blocksOf(key ident.ChatKey, count int) []chat.BlockHash {
	var blocks []chat.BlockHash
	for i := range count {
		blocks = append(blocks, chat.BlockHash(uint64(key)<<8|uint64(i)))
	}
	return blocks
}

// use reads the first blocks of a chat and returns them.
func (c *cache) use(key ident.ChatKey, count int) []chat.BlockHash {
	blocks := blocksOf(key, count)
	var others []chat.BlockHash
	for _, b := range c.order {
		if b>>8 != chat.BlockHash(key) || int(b&0xff) >= count {
			others = append(others, b)
		}
	}
	c.order = append(append([]chat.BlockHash{}, blocks...), others...)
	for len(c.order) > c.limit {
		last := c.order[len(c.order)-1]
		c.order = c.order[:len(c.order)-1]
		if c.rand.Float64() < c.loss {
			c.lost++
			continue
		}
		c.removed = append(c.removed, last)
	}
	return blocks
}

// events returns the events since the last call.
func (c *cache) events() (removed []chat.BlockHash, lost uint64) {
	removed, lost = c.removed, c.lost
	c.removed, c.lost = nil, 0
	return removed, lost
}

// tokens returns how much of a chat's prefix is held.
func (c *cache) tokens(key ident.ChatKey) ident.Tokens {
	held := make(map[chat.BlockHash]bool, len(c.order))
	for _, b := range c.order {
		held[b] = true
	}
	count := 0
	for held[chat.BlockHash(uint64(key)<<8|uint64(count))] {
		count++
	}
	return ident.Tokens(count) * chat.BlockTokens
}
