// Package chat defines the chat-completions messages that callers and model
// engines exchange. It also computes what routing and caching need from them:
// the estimated number of prompt tokens, the key of a chat and the hashes of
// the prompt's blocks.
//
// JSON field names are those of the usual chat-completions format. Unknown
// fields are preserved.
package chat

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Limits of one request.
const (
	// DefaultBodyLimit is the default maximum size of a request body.
	DefaultBodyLimit ident.Bytes = 8 << 20
	// MaxMessages is the maximum number of messages.
	MaxMessages = 10_000
	// MaxOutputTokens is the maximum number of output tokens that a request
	// may ask for.
	MaxOutputTokens ident.Tokens = 1 << 20
)

// Fields holds unknown JSON fields by name.
type Fields map[string]json.RawMessage

// Request is the body of POST /v1/chat/completions.
type Request struct {
	// Model names the language model.
	Model ident.ModelName
	// Messages are the messages of the chat, oldest first.
	Messages []Message
	// Stream asks for server-sent events.
	Stream bool
	// MaxTokens limits the output tokens; zero means no limit.
	MaxTokens ident.Tokens
	// MaxCompletionTokens is the newer name of MaxTokens and takes precedence
	// over it.
	MaxCompletionTokens ident.Tokens
	// StreamOptions configures a streamed answer.
	StreamOptions StreamOptions
	// Extra holds the unknown fields, which are passed through.
	Extra Fields
}

// StreamOptions configures a streamed answer.
type StreamOptions struct {
	// IncludeUsage requests a final chunk with the token counts.
	IncludeUsage bool `json:"include_usage,omitempty"`
}

// DecodeError reports why a request is not a valid chat-completions request.
type DecodeError struct {
	// Field is the invalid JSON field, or empty.
	Field string
	// Reason describes the error in a few words.
	Reason string
	// TooLarge means that the body exceeds its size limit.
	TooLarge bool
	// Err is the underlying error, or nil.
	Err error
}

// Error returns the field, the reason and the underlying error.
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

// Unwrap returns the underlying error.
func (e *DecodeError) Unwrap() error { return e.Err }

// Decode reads a request of at most limit bytes and validates it. A zero limit
// means DefaultBodyLimit. The error is a *DecodeError or wraps the reader's
// error.
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

// Parse decodes a request from body and validates it. The error is a
// *DecodeError.
func Parse(body []byte) (*Request, error) {
	var req Request
	if err := json.Unmarshal(body, &req); err != nil {
		return nil, asDecodeError(err)
	}
	if err := req.validate(); err != nil {
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

func (r *Request) validate() error {
	switch {
	case r.Model == "":
		return &DecodeError{Field: "model", Reason: "missing"}
	case len(r.Messages) == 0:
		return &DecodeError{Field: "messages", Reason: "missing"}
	case len(r.Messages) > MaxMessages:
		return &DecodeError{Field: "messages", Reason: fmt.Sprintf("more than %d messages", MaxMessages)}
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

// OutputLimit returns the maximum number of output tokens, or zero if the
// request sets none.
func (r *Request) OutputLimit() ident.Tokens {
	if r.MaxCompletionTokens > 0 {
		return r.MaxCompletionTokens
	}
	return r.MaxTokens
}

// UnmarshalJSON decodes the known fields and keeps the others in r.Extra.
func (r *Request) UnmarshalJSON(data []byte) error {
	return unmarshalFields(data, &r.Extra, []field{
		{"model", &r.Model},
		{"messages", &r.Messages},
		{"stream", &r.Stream},
		{"max_tokens", &r.MaxTokens},
		{"max_completion_tokens", &r.MaxCompletionTokens},
		{"stream_options", &r.StreamOptions},
	})
}

// MarshalJSON encodes the known fields and those in r.Extra.
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
	return marshalFields(r.Extra, known)
}
