package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Mark returns the first word of the answer to a request: a hash of its model
// and its last message, which tells whose answer it is.
func Mark(req *chat.Request) string {
	last := req.Messages[len(req.Messages)-1].Content.Text
	return fmt.Sprintf("%016x", xxhash.Sum64String(string(req.Model)+"\n"+last))
}

// Answer returns the whole answer of n tokens to a request: its mark, then
// numbered words that each repeat a part of the mark.
func Answer(req *chat.Request, n ident.Tokens) string {
	var text strings.Builder
	mark := Mark(req)
	for i := range n {
		text.WriteString(word(mark, i))
	}
	return text.String()
}

// word returns the answer's token number i, from zero.
func word(mark string, i ident.Tokens) string {
	if i == 0 {
		return mark
	}
	return fmt.Sprintf(" %s-%d", mark[:4], i)
}
