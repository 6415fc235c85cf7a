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

// Message is one turn of a chat.
type Message struct {
	// Role is who speaks, such as RoleUser.
	Role string
	// Content is what is said.
	Content Content
	// Extra holds the fields that are passed through.
	Extra Fields
}

// UnmarshalJSON reads the known fields and keeps the others.
func (m *Message) UnmarshalJSON(data []byte) error {
	return takeAll(data, &m.Extra, []field{{"role", &m.Role}, {"content", &m.Content}})
}

// MarshalJSON writes the known fields and those that were kept.
func (m Message) MarshalJSON() ([]byte, error) {
	return putAll(m.Extra, []field{{"role", m.Role}, {"content", m.Content}})
}

// Content is the content of a message: a string, null, or a list of parts.
type Content struct {
	// Text joins the text of the parts. A part of another kind, such as an
	// image, stands in it as the hash of its JSON.
	Text string
	raw  json.RawMessage
}

// TextContent returns the content of a message that is one string.
func TextContent(text string) Content { return Content{Text: text} }

type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON reads a string, null, or a list of parts.
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

// canonicalJSON returns raw in the one form that does not depend on white
// space, escapes and the order of fields, which a hop may change.
func canonicalJSON(raw json.RawMessage) ([]byte, error) {
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	var value any
	if err := decoder.Decode(&value); err != nil {
		return nil, err
	}
	return json.Marshal(value)
}

// MarshalJSON writes the content as it was read.
func (c Content) MarshalJSON() ([]byte, error) {
	if c.raw != nil {
		return c.raw, nil
	}
	return json.Marshal(c.Text)
}
