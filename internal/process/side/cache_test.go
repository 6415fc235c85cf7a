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

// TestBeliefFollowsTheEngine drives an engine whose cache holds far less than
// the sidecar was told, and whose events are late and lossy, and then crashes
// it.
func TestBeliefFollowsTheEngine(t *testing.T) {
	t.Parallel()
	const cacheTokens = 1024
	f := newFleet(t, permit.Limit{})
	e := engine.New(engine.Config{
		Models: []ident.ModelName{"m"}, CacheTokens: cacheTokens, EventDelay: 500 * time.Millisecond, EventLossRate: 0.05,
		RestartDelay: time.Millisecond,
	})
	listener := listen(t)
	n := f.startSidecar("t", f.startEngine(e, nil), listener)
	f.submit(modelRecord("1"), targetOf("t", n.address, record.TargetModel{Name: "m"}))
	c := f.newCaller()
	const chats = 40
	for i := range chats {
		c.turn(n, c.newChat(i, 100))
	}
	held := func() ident.Tokens {
		var sum ident.Tokens
		for i := range chats {
			sum += n.CachedTokens(c.key(i))
		}
		return sum
	}
	assert.Assert(t, held() > 2*cacheTokens, "%d tokens are believed at first", held())
	await(t, 5*time.Second, "the belief has come down to what the cache holds", func() bool { return held() <= cacheTokens*5/4 })
	c.turn(n, c.newChat(chats, 100))
	assert.Assert(t, n.CachedTokens(c.key(chats)) > 0)
	e.Crash()
	await(t, 5*time.Second, "nothing is believed after a crash", func() bool { return n.CachedTokens(c.key(chats)) == 0 })
}

// newChat returns the first turn of a chat of about as many tokens.
func (c *caller) newChat(i int, tokens int) *chat.Request {
	text := strings.Repeat(string(rune('a'+i%26))+strings.Repeat("x", i/26)+" ", tokens*chat.BytesPerToken)
	return &chat.Request{
		Model: "m", MaxTokens: 4,
		Messages: []chat.Message{{Role: chat.RoleUser, Content: chat.TextContent(text[:tokens*chat.BytesPerToken])}},
	}
}
