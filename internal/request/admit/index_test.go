package admit_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/seeds"
	"cactusline.dev/cactusline/internal/request/admit"
	"cactusline.dev/cactusline/internal/version/ident"
)

// TestRandomisedIndexIsNeverTrustedAfterAGap feeds cache events of which some
// are lost or repeated; what the index says must be the engine's state at the
// last event that it took.
func TestRandomisedIndexIsNeverTrustedAfterAGap(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 0, Last: 19}, func(t *testing.T, seed uint64) {
		rng := rand.New(rand.NewPCG(seed, 5))
		index, cache := admit.NewIndex(admit.IndexConfig{}), map[ident.ChatKey]ident.Tokens{}
		gaps, known := 0, 0
		index.Resync(0, nil)
		for seq := range uint64(2000) {
			e := admit.CacheEvent{Seq: seq, Chat: ident.ChatKey(rng.IntN(20)), Tokens: ident.Tokens(rng.IntN(3) * 100)}
			cache[e.Chat] = e.Tokens
			if rng.IntN(50) == 0 {
				continue
			}
			if !index.Apply(e) {
				gaps++
				_, ok := index.Warm(e.Chat)
				assert.Assert(t, !ok, "seed %d: trusted after a gap", seed)
				if rng.IntN(3) == 0 {
					index.Resync(seq+1, events(cache))
				}
				continue
			}
			assert.Assert(t, index.Apply(e), "seed %d: a repeated event is no gap", seed)
			for chat, tokens := range cache {
				got, ok := index.Warm(chat)
				assert.Assert(t, ok && got == tokens, "seed %d: chat %d has %d, not %d", seed, chat, tokens, got)
				known++
			}
		}
		assert.Assert(t, gaps > 0 && known > 0)
	})
}

func events(cache map[ident.ChatKey]ident.Tokens) []admit.CacheEvent {
	var list []admit.CacheEvent
	for chat, tokens := range cache {
		list = append(list, admit.CacheEvent{Chat: chat, Tokens: tokens})
	}
	return list
}

func TestIndexIsBounded(t *testing.T) {
	index := admit.NewIndex(admit.IndexConfig{Chats: 2})
	index.Resync(1, nil)
	for chat := range uint64(3) {
		index.Apply(admit.CacheEvent{Seq: chat + 1, Chat: ident.ChatKey(chat), Tokens: 10})
	}
	oldest, _ := index.Warm(0)
	newest, _ := index.Warm(2)
	assert.Equal(t, oldest, ident.Tokens(0))
	assert.Equal(t, newest, ident.Tokens(10))
}
