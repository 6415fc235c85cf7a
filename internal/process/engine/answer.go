package engine

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

// AnswerTag returns the first word of the answer to a request: a hash of the
// model and the last message, which identifies the request.
func AnswerTag(req *chat.Request) string {
	last := req.Messages[len(req.Messages)-1].Content.Text
	return fmt.Sprintf("%016x", xxhash.Sum64String(string(req.Model)+"\n"+last))
}

// Answer returns the complete answer of n tokens to a request: its tag, then
// numbered words that each repeat a part of the tag.
func Answer(req *chat.Request, n ident.Tokens) string {
	var text strings.Builder
	tag := AnswerTag(req)
	for i := range n {
		text.WriteString(tokenText(tag, i))
	}
	return text.String()
}

// tokenText returns the text of answer token i, counted from 0.
func tokenText(tag string, i ident.Tokens) string {
	if i == 0 {
		return tag
	}
	return fmt.Sprintf(" %s-%d", tag[:4], i)
}
