package chat

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/version/ident"
)

// KeyHeader is the HTTP header with which a caller may identify its chat.
const KeyHeader = "Cactusline-Chat"

// Units in which prompts are measured.
const (
	// BytesPerToken is the number of bytes of prompt text that count as one
	// token.
	BytesPerToken = 4
	// BlockTokens is the number of tokens in one block of a prompt.
	BlockTokens ident.Tokens = 16
	blockBytes               = int(BlockTokens) * BytesPerToken
)

// Key returns the key of the request's chat. If headerValue, the value of
// KeyHeader, is not empty, the key is the hash of customer, model and
// headerValue. Otherwise it is the hash of customer, model and the messages up
// to and including the user's first one, which stay the same as the chat grows.
// Chats that start with the same messages share a key and the cached prefix.
func (r *Request) Key(customer ident.CustomerName, headerValue string) ident.ChatKey {
	h := xxhash.New()
	writeString(h, string(customer))
	writeString(h, string(r.Model))
	if headerValue != "" {
		writeString(h, headerValue)
		return ident.ChatKey(h.Sum64())
	}
	for _, m := range r.Messages {
		writeString(h, m.Role)
		writeString(h, m.Content.Text)
		if m.Role == RoleUser {
			break
		}
	}
	return ident.ChatKey(h.Sum64())
}

// writeString hashes the length of text and then text, so that different lists
// of strings have different hash inputs.
func writeString(h *xxhash.Digest, text string) {
	var size [8]byte
	binary.LittleEndian.PutUint64(size[:], uint64(len(text)))
	_, _ = h.Write(size[:])
	_, _ = h.WriteString(text)
}

// Fingerprint returns the hash of the customer and of the request's model and
// messages. A resend of the request has the same fingerprint.
func (r *Request) Fingerprint(customer ident.CustomerName) ident.Fingerprint {
	h := xxhash.New()
	writeString(h, string(customer))
	writeString(h, string(r.Model))
	for _, m := range r.Messages {
		writeString(h, m.Role)
		writeString(h, m.Content.Text)
	}
	return ident.Fingerprint(h.Sum64())
}

// PromptTokens estimates the number of tokens of the request's prompt.
func (r *Request) PromptTokens() ident.Tokens { return PromptTokens(r.Messages) }

// PromptTokens estimates the number of tokens of messages, at BytesPerToken
// bytes of role, text and separators per token.
func PromptTokens(messages []Message) ident.Tokens {
	size := 0
	for _, m := range messages {
		size += len(m.Role) + len(m.Content.Text) + len(separators)
	}
	return ident.Tokens((size + BytesPerToken - 1) / BytesPerToken)
}

// separators are the bytes after the role and after the text of a message.
const separators = "\n\n"

// BlockHash is the hash of one block of a prompt and of everything before it.
type BlockHash uint64

// BlockHashes returns the hashes of the blocks of messages, BlockTokens tokens
// each. Two prompts for the same model share their first n hashes if and only if
// their first n blocks are the same. An incomplete block at the end is not
// hashed.
func BlockHashes(model ident.ModelName, messages []Message) []BlockHash {
	text := promptText(messages)
	blocks := make([]BlockHash, 0, len(text)/blockBytes)
	previous := BlockHash(xxhash.Sum64String(string(model)))
	for len(text) >= blockBytes {
		previous = chainHash(previous, text[:blockBytes])
		blocks = append(blocks, previous)
		text = text[blockBytes:]
	}
	return blocks
}

// promptText returns the text of the prompt that is divided into blocks.
func promptText(messages []Message) []byte {
	var text []byte
	for _, m := range messages {
		text = append(text, m.Role...)
		text = append(text, separators[0])
		text = append(text, m.Content.Text...)
		text = append(text, separators[1])
	}
	return text
}

// chainHash returns the hash of a block given the hash of the block before it.
func chainHash(previous BlockHash, text []byte) BlockHash {
	var data [8 + blockBytes]byte
	binary.LittleEndian.PutUint64(data[:8], uint64(previous))
	copy(data[8:], text)
	return BlockHash(xxhash.Sum64(data[:]))
}
