package side_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/engine"
	"cactusline.dev/cactusline/internal/process/permit"
	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// TestCacheEstimateFollowsEngineEvents guards against a sidecar that keeps
// overestimating the engine's cache. The sidecar is not told the small capacity
// of the cache, and the cache events are late and partly lost. At the end the
// engine crashes and its cache is empty.
func TestCacheEstimateFollowsEngineEvents(t *testing.T) {
	t.Parallel()
	const cacheTokens = 1024
	f := newFleet(t, permit.Limit{})
	e := engine.New(engine.Config{
		Models: []ident.ModelName{"m"}, CacheTokens: cacheTokens, EventDelay: 500 * time.Millisecond, EventLossRate: 0.05,
		RestartDelay: time.Millisecond,
	})
	listener := listen(t)
	sidecar := f.startSidecar("t", f.startEngine(e, nil), listener)
	f.applyRecords(modelRecord("1"), targetRecord("t", sidecar.address, record.TargetModel{Name: "m"}))
	c := f.newCaller()
	const chats = 40
	for i := range chats {
		c.sendTurn(sidecar, c.newChat(i, 100))
	}
	estimate := func() ident.Tokens {
		var sum ident.Tokens
		for i := range chats {
			sum += sidecar.EstimatedCachedTokens(c.chatKey(i))
		}
		return sum
	}
	assert.Assert(t, estimate() > 2*cacheTokens, "estimate before any cache event: %d tokens", estimate())
	waitFor(t, 5*time.Second, "the estimate has fallen to the capacity of the cache", func() bool { return estimate() <= cacheTokens*5/4 })
	c.sendTurn(sidecar, c.newChat(chats, 100))
	assert.Assert(t, sidecar.EstimatedCachedTokens(c.chatKey(chats)) > 0)
	e.Crash()
	waitFor(t, 5*time.Second, "the estimate is zero after a crash", func() bool { return sidecar.EstimatedCachedTokens(c.chatKey(chats)) == 0 })
}

// newChat returns the first turn of chat i, with a prompt of about the given
// number of tokens.
func (c *caller) newChat(i int, tokens int) *chat.Request {
	text := strings.Repeat(string(rune('a'+i%26))+strings.Repeat("x", i/26)+" ", tokens*chat.BytesPerToken)
	return &chat.Request{
		Model: "m", MaxTokens: 4,
		Messages: []chat.Message{{Role: chat.RoleUser, Content: chat.TextContent(text[:tokens*chat.BytesPerToken])}},
	}
}
