package warm_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/request/warm"
	"cactusline.dev/cactusline/internal/version/ident"
)

// BenchmarkPut puts prefixes of a given length into a full index.
func BenchmarkPut(b *testing.B) {
	for _, tokens := range []ident.Tokens{500, 8000} {
		b.Run(fmt.Sprintf("tokens=%d", tokens), func(b *testing.B) {
			index := warm.New(warm.Config{})
			blocks := make([]chat.BlockHash, tokens/chat.BlockTokens)
			for i := range b.N {
				for j := range blocks {
					blocks[j] = chat.BlockHash(i<<16 | j)
				}
				index.Put(warm.Prefix{
					Chat: ident.ChatKey(i + 1), Tokens: tokens, Blocks: append([]chat.BlockHash(nil), blocks...),
				})
			}
		})
	}
}

// BenchmarkBlocks parses a request of about 8,000 tokens and hashes its prompt,
// as a sidecar does after each turn of a chat.
func BenchmarkBlocks(b *testing.B) {
	body, err := json.Marshal(&chat.Request{Model: "m", MaxTokens: 4, Messages: []chat.Message{
		{Role: chat.RoleUser, Content: chat.TextContent(strings.Repeat("word ", 6400))},
	}})
	assert.NilError(b, err)
	for range b.N {
		request, err := chat.Parse(body)
		assert.NilError(b, err)
		chat.BlockHashes(request.Model, request.Messages)
	}
}
