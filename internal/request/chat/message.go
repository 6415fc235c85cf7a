package chat

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Roles of a message.
const (
	RoleSystem    = "system"
	RoleDeveloper = "developer"
	RoleUser      = "user"
	RoleAssistant = "assistant"
)

// Message is one message of a chat.
type Message struct {
	// Role is the author's role, such as RoleUser.
	Role string
	// Content is the content of the message.
	Content Content
	// Extra holds the unknown fields, which are passed through.
	Extra Fields
}

// UnmarshalJSON decodes the known fields and keeps the others in m.Extra.
func (m *Message) UnmarshalJSON(data []byte) error {
	return unmarshalFields(data, &m.Extra, []field{{"role", &m.Role}, {"content", &m.Content}})
}

// MarshalJSON encodes the known fields and those in m.Extra.
func (m Message) MarshalJSON() ([]byte, error) {
	return marshalFields(m.Extra, []field{{"role", m.Role}, {"content", m.Content}})
}

// Content is the content of a message: a string, null, or a list of parts.
type Content struct {
	// Text is the concatenated text of the parts. A part of another type, such
	// as an image, is represented by its type and the hash of its JSON.
	Text string
	// raw is the JSON as it was decoded, or nil for a string.
	raw json.RawMessage
}

// TextContent returns the content of a message that consists of one string.
func TextContent(text string) Content { return Content{Text: text} }

// part is one element of a content list.
type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON decodes a string, null, or a list of parts.
func (c *Content) UnmarshalJSON(data []byte) error {
	*c = Content{}
	data = bytes.TrimSpace(data)
	switch {
	case bytes.Equal(data, []byte("null")):
		c.raw = json.RawMessage("null")
		return nil
	case len(data) > 0 && data[0] == '"':
		return json.Unmarshal(data, &c.Text)
	}
	var parts []json.RawMessage
	if err := json.Unmarshal(data, &parts); err != nil {
		return &DecodeError{Field: "content", Reason: "neither a string nor a list of parts", Err: err}
	}
	text, err := joinParts(parts)
	if err != nil {
		return err
	}
	c.Text = text
	c.raw = bytes.Clone(data)
	return nil
}

// joinParts returns the Text of a content list.
func joinParts(parts []json.RawMessage) (string, error) {
	var text strings.Builder
	for _, raw := range parts {
		var p part
		if err := json.Unmarshal(raw, &p); err != nil {
			return "", &DecodeError{Field: "content", Reason: "invalid part", Err: err}
		}
		if p.Type == "text" {
			text.WriteString(p.Text)
			continue
		}
		canonical, err := canonicalJSON(raw)
		if err != nil {
			return "", &DecodeError{Field: "content", Reason: "invalid part", Err: err}
		}
		fmt.Fprintf(&text, "%s:%016x", p.Type, xxhash.Sum64(canonical))
	}
	return text.String(), nil
}

// canonicalJSON returns raw in a form that does not depend on white space,
// escapes and the order of fields, which a proxy may change.
func canonicalJSON(raw json.RawMessage) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, err
	}
	return json.Marshal(value)
}

// MarshalJSON encodes the content as it was decoded.
func (c Content) MarshalJSON() ([]byte, error) {
	if c.raw != nil {
		return c.raw, nil
	}
	return json.Marshal(c.Text)
}
