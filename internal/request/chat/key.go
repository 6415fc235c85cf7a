package chat

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/version/ident"
)

// KeyHeader is the HTTP header in which a caller may name its chat.
const KeyHeader = "Cactusline-Chat"

// Sizes of the prompt's units.
const (
	// BytesPerToken is the length of prompt text that counts as one token.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one block of a prefix.
	BlockTokens ident.Tokens = 16
	blockBytes               = int(BlockTokens) * BytesPerToken
)

// Key returns the key of the request's chat. If header is not empty the key
// is the hash of customer, model and header. Otherwise it is the hash of
// customer, model and the messages up to and including the first of the user,
// which stay the same however long the chat grows. Chats that open alike
// share a key, and with it the prefix that a cache may hold.
func (r *Request) Key(customer ident.CustomerName, header string) ident.ChatKey {
	h := xxhash.New()
	writePart(h, string(customer))
	writePart(h, string(r.Model))
	if header != "" {
		writePart(h, header)
		return ident.ChatKey(h.Sum64())
	}
	for _, m := range r.Messages {
		writePart(h, m.Role)
		writePart(h, m.Content.Text)
		if m.Role == RoleUser {
			break
		}
	}
	return ident.ChatKey(h.Sum64())
}

// writePart hashes text after its length, so that no two lists of parts look
// alike.
func writePart(h *xxhash.Digest, text string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(text)))
	_, _ = h.Write(size[:])
	_, _ = h.WriteString(text)
}

// Fingerprint returns the hash of what the request asks for: its model and
// its messages. A caller's resend has the same one.
func (r *Request) Fingerprint(customer ident.CustomerName) ident.Fingerprint {
	h := xxhash.New()
	writePart(h, string(customer))
	writePart(h, string(r.Model))
	for _, m := range r.Messages {
		writePart(h, m.Role)
		writePart(h, m.Content.Text)
	}
	return ident.Fingerprint(h.Sum64())
}

// PromptTokens estimates the tokens of the request's prompt.
func (r *Request) PromptTokens() ident.Tokens { return PromptTokens(r.Messages) }

// PromptTokens estimates the tokens of messages, BytesPerToken bytes of role
// and text each.
func PromptTokens(messages []Message) ident.Tokens {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content.Text) + len(turnMarks)
	}
	return ident.Tokens((size + BytesPerToken - 1) / BytesPerToken)
}

// turnMarks stand after the role and after the text of a message.
const turnMarks = "\n\n"

// BlockHash is the hash of one block of a prefix and all that precedes it.
type BlockHash uint64

// BlockHashes returns the hashes of the whole blocks of messages, BlockTokens
// tokens each. Two prompts share the first n hashes exactly if their first n
// blocks are alike. The part of a block that is left at the end is not hashed.
func BlockHashes(model ident.ModelName, messages []Message) []BlockHash {
	text := prompt(messages)
	blocks := make([]BlockHash, 0, len(text)/blockBytes)
	above := BlockHash(xxhash.Sum64String(string(model)))
	for len(text) >= blockBytes {
		above = next(above, text[:blockBytes])
		blocks = append(blocks, above)
		text = text[blockBytes:]
	}
	return blocks
}

func prompt(messages []Message) []byte {
	var text []byte
	for _, m := range messages {
		text = append(text, m.Role...)
		text = append(text, turnMarks[0])
		text = append(text, m.Content.Text...)
		text = append(text, turnMarks[1])
	}
	return text
}

func next(above BlockHash, text []byte) BlockHash {
	var data [8 + blockBytes]byte
	binary.LittleEndian.PutUint64(data[:8], uint64(above))
	copy(data[8:], text)
	return BlockHash(xxhash.Sum64(data[:]))
}
