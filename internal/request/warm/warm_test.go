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

func TestEvictsLeastRecentlyUsedFirst(t *testing.T) {
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

func TestPrefixLongerThanCacheIsNotHeld(t *testing.T) {
	index := warm.New(warm.Config{Capacity: 100})
	put(index, 1, 101)
	assert.Equal(t, index.CachedTokens(1), ident.Tokens(0))
}

// The engine's cache holds a tenth of the configured capacity at first and all of
// it later. The estimated capacity must follow the reported cache hits.
func TestReportedHitsAdjustCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	index := warm.New(warm.Config{Capacity: 10_000})
	// runTurns returns how often a chat's prefix was in the index but not in a
	// cache of the given number of blocks.
	runTurns := func(capacity, count int) (falseHits int) {
		cache := newEngineCache(capacity, 0, rng)
		for range count {
			key := ident.ChatKey(rng.IntN(400))
			actual, estimated := cache.tokens(key), index.CachedTokens(key)
			if estimated > 0 && actual == 0 {
				falseHits++
			}
			cache.use(key, 5)
			index.ObserveCached(key, 5*chat.BlockTokens, actual)
			put(index, key, 5*chat.BlockTokens)
		}
		return falseHits
	}
	first, later := runTurns(62, 1000), runTurns(62, 1000)
	assert.Assert(t, first > 30 && later < first/3, "%d of the first 1000 turns missed a prefix in the index, %d of the next 1000", first, later)
	runTurns(625, 1000)
	assert.Assert(t, index.Capacity() > 8_000, "capacity %d", index.Capacity())
}

// The engine's cache is smaller than the index assumes, and some of its events are
// lost. After each delivery the index must not claim more tokens than the cache
// holds, however many events are missing.
func TestRandomisedNoOverestimateAfterLostEvents(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 20}, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 5))
		index := warm.New(warm.Config{})
		cache := newEngineCache(60, 0.05, rng)
		estimates, lostEvents := 0, uint64(0)
		for range 1000 {
			key := ident.ChatKey(1 + rng.IntN(20))
			blocks := cache.use(key, 1+rng.IntN(8))
			index.Put(warm.Prefix{Chat: key, Tokens: ident.Tokens(len(blocks)) * chat.BlockTokens, Blocks: blocks})
			if rng.IntN(3) > 0 {
				continue
			}
			removed, lost := cache.takeEvents()
			for _, b := range removed {
				index.BlockEvicted(b)
			}
			index.EventsLost(lost)
			lostEvents += lost
			for key := range ident.ChatKey(21) {
				got, held := index.CachedTokens(key), cache.tokens(key)
				assert.Assert(t, got <= held, "chat %d: estimate of %d tokens, %d cached", key, got, held)
				if got > 0 {
					estimates++
				}
			}
		}
		assert.Assert(t, lostEvents > 0 && estimates > 500, "%d lost events, %d non-zero estimates", lostEvents, estimates)
	})
}

// engineCache models the cache of an engine. It evicts the least recently used
// blocks first, and the last block of a prefix before the others. Its eviction
// events are lost at lossRate.
type engineCache struct {
	maxBlocks int
	lossRate  float64
	rand      *rand.Rand
	recency   []chat.BlockHash // most recently used in front
	removed   []chat.BlockHash
	lost      uint64
}

func newEngineCache(maxBlocks int, lossRate float64, rng *rand.Rand) *engineCache {
	return &engineCache{maxBlocks: maxBlocks, lossRate: lossRate, rand: rng}
}

func blocksOf(key ident.ChatKey, count int) []chat.BlockHash {
	var blocks []chat.BlockHash
	for i := range count {
		blocks = append(blocks, chat.BlockHash(uint64(key)<<8|uint64(i)))
	}
	return blocks
}

// use marks the first blocks of a chat as most recently used and returns them.
func (c *engineCache) use(key ident.ChatKey, count int) []chat.BlockHash {
	blocks := blocksOf(key, count)
	var others []chat.BlockHash
	for _, b := range c.recency {
		if b>>8 != chat.BlockHash(key) || int(b&0xff) >= count {
			others = append(others, b)
		}
	}
	c.recency = append(append([]chat.BlockHash{}, blocks...), others...)
	for len(c.recency) > c.maxBlocks {
		last := c.recency[len(c.recency)-1]
		c.recency = c.recency[:len(c.recency)-1]
		if c.rand.Float64() < c.lossRate {
			c.lost++
			continue
		}
		c.removed = append(c.removed, last)
	}
	return blocks
}

// takeEvents returns the blocks evicted since the last call whose events were
// delivered, and the number of lost events.
func (c *engineCache) takeEvents() (removed []chat.BlockHash, lost uint64) {
	removed, lost = c.removed, c.lost
	c.removed, c.lost = nil, 0
	return removed, lost
}

// tokens returns the number of cached tokens of a chat's prefix.
func (c *engineCache) tokens(key ident.ChatKey) ident.Tokens {
	held := make(map[chat.BlockHash]bool, len(c.recency))
	for _, b := range c.recency {
		held[b] = true
	}
	count := 0
	for held[chat.BlockHash(uint64(key)<<8|uint64(count))] {
		count++
	}
	return ident.Tokens(count) * chat.BlockTokens
}
