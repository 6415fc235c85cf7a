// Package chat holds the chat-completions messages that callers and model
// engines exchange, and what the fleet derives from them: the estimate of a
// prompt's tokens, the key of a chat and the blocks of its prefix.
//
// Field names in JSON are those of the usual chat-completions format. Fields
// that the package does not know are kept and written again.
package chat

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Bounds of one request.
const (
	// DefaultBodyLimit bounds the body of a request.
	DefaultBodyLimit ident.Bytes = 8 << 20
	// MaxMessages bounds the messages of a request.
	MaxMessages = 10_000
	// MaxOutputTokens bounds the tokens that a request may ask for.
	MaxOutputTokens ident.Tokens = 1 << 20
)

// Fields holds JSON fields that the package does not know, by name.
type Fields map[string]json.RawMessage

// Request is the body of POST /v1/chat/completions.
type Request struct {
	// Model names the language model.
	Model ident.ModelName
	// Messages are the turns of the chat, oldest first.
	Messages []Message
	// Stream asks for server-sent events.
	Stream bool
	// MaxTokens bounds the answer; zero sets no bound.
	MaxTokens ident.Tokens
	// MaxCompletionTokens is the newer name of MaxTokens.
	MaxCompletionTokens ident.Tokens
	// StreamOptions changes what a stream carries.
	StreamOptions StreamOptions
	// Extra holds the fields that are passed through.
	Extra Fields
}

// StreamOptions changes what a stream carries.
type StreamOptions struct {
	// IncludeUsage asks for a last chunk that carries the token counts.
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// DecodeError says why a request is no valid chat-completions request.
type DecodeError struct {
	// Field is the JSON field at fault, or empty.
	Field string
	// Reason is what is wrong, in a few words.
	Reason string
	// TooLarge is set where the body exceeds its bound.
	TooLarge bool
	// Err is the cause, or nil.
	Err error
}

// Error returns the field, the reason and the cause.
func (e *DecodeError) Error() string {
	text := e.Reason
	if e.Field != "" {
		text = e.Field + ": " + text
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// Decode reads a request of at most limit bytes, DefaultBodyLimit if that is
// zero, and checks it. Its error is a *DecodeError, or the reader's own error
// wrapped.
func Decode(r io.Reader, limit ident.Bytes) (*Request, error) {
	if limit == 0 {
		limit = DefaultBodyLimit
	}
	body, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, fmt.Errorf("read chat request: %w", err)
	}
	if ident.Bytes(len(body)) > limit {
		return nil, &DecodeError{Reason: fmt.Sprintf("body exceeds %d bytes", limit), TooLarge: true}
	}
	return Parse(body)
}

// Parse reads a request from body and checks it. Its error is a *DecodeError.
func Parse(body []byte) (*Request, error) {
	var req Request
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, asDecodeError(err)
	}
	if err := req.check(); err != nil {
		return nil, err
	}
	return &req, nil
}

func asDecodeError(err error) error {
	var known *DecodeError
	if errors.As(err, &known) {
		return known
	}
	return &DecodeError{Reason: "invalid JSON", Err: err}
}

func (r *Request) check() error {
	switch {
	case r.Model == "":
		return &DecodeError{Field: "model", Reason: "missing"}
	case len(r.Messages) == 0:
		return &DecodeError{Field: "messages", Reason: "missing"}
	case len(r.Messages) > MaxMessages:
		return &DecodeError{Field: "messages", Reason: fmt.Sprintf("more than %d", MaxMessages)}
	case r.MaxTokens < 0 || r.MaxTokens > MaxOutputTokens:
		return &DecodeError{Field: "max_tokens", Reason: "out of range"}
	case r.MaxCompletionTokens < 0 || r.MaxCompletionTokens > MaxOutputTokens:
		return &DecodeError{Field: "max_completion_tokens", Reason: "out of range"}
	}
	for i, m := range r.Messages {
		if m.Role == "" {
			return &DecodeError{Field: fmt.Sprintf("messages[%d].role", i), Reason: "missing"}
		}
	}
	return nil
}

// OutputLimit returns the bound on the answer, or zero if none is set.
func (r *Request) OutputLimit() ident.Tokens {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// UnmarshalJSON reads the known fields and keeps the others.
func (r *Request) UnmarshalJSON(data []byte) error {
	return takeAll(data, &r.Extra, []field{
		{"model", &r.Model},
		{"messages", &r.Messages},
		{"stream", &r.Stream},
		{"max_tokens", &r.MaxTokens},
		{"max_completion_tokens", &r.MaxCompletionTokens},
		{"stream_options", &r.StreamOptions},
	})
}

// MarshalJSON writes the known fields and those that were kept.
func (r *Request) MarshalJSON() ([]byte, error) {
	known := []field{{"model", r.Model}, {"messages", r.Messages}}
	if r.Stream {
		known = append(known, field{"stream", true})
	}
	if r.MaxTokens > 0 {
		known = append(known, field{"max_tokens", r.MaxTokens})
	}
	if r.MaxCompletionTokens > 0 {
		known = append(known, field{"max_completion_tokens", r.MaxCompletionTokens})
	}
	if r.StreamOptions.IncludeUsage {
		known = append(known, field{"stream_options", r.StreamOptions})
	}
	return putAll(r.Extra, known)
}
