package logs

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// Redacted replaces secrets in entries.
const Redacted = "[redacted]"

var (
	// secretName matches the names of fields whose values are never written.
	secretName = regexp.MustCompile(`(?i)(authorization|secret|password|bearer|api[-_]?key|private[-_]?key|credential|cookie)`)
	// secretText matches secrets within values.
	secretText = regexp.MustCompile(`(?is)-----BEGIN [A-Z ]*PRIVATE KEY-----.*?(-----END [A-Z ]*PRIVATE KEY-----|$)|\b(bearer|basic)\s+[^\s"',;]+`)
	// secretMember matches members of JSON objects whose names suggest secrets.
	secretMember = regexp.MustCompile(`(?i)("[^"]*(?:authorization|secret|password|bearer|api[-_]?key|private[-_]?key|credential|cookie)[^"]*"\s*:\s*)("(?:[^"\\]|\\.)*"|\[[^\]]*\]|[^,}\]]+)`)
)

// Lower-case keywords of the patterns. A pattern matches only text that contains at
// least one of its keywords.
var (
	textKeywords   = []string{"private key", "bearer", "basic"}
	memberKeywords = []string{"authorization", "secret", "password", "bearer", "api", "private", "credential", "cookie"}
)

// redactor is a logger that redacts secrets.
type redactor struct {
	next log.Logger
}

// Log implements log.Logger.
func (r redactor) Log(keyvals ...any) error {
	clean := make([]any, len(keyvals))
	copy(clean, keyvals)
	for i := 0; i+1 < len(clean); i += 2 {
		name := fmt.Sprint(clean[i])
		if clean[i] == level.Key() {
			name = FieldLevel
		}
		clean[i] = name
		if mayContain(name, memberKeywords) && secretName.MatchString(name) {
			clean[i+1] = Redacted
			continue
		}
		clean[i+1] = redactValue(clean[i+1])
	}
	if err := r.next.Log(clean...); err != nil {
		return fmt.Errorf("write log entry: %w", err)
	}
	return nil
}

// redactValue returns the value with the secrets in its text redacted.
func redactValue(value any) any {
	switch v := value.(type) {
	case nil, bool, int, int32, int64, uint, uint32, uint64, float32, float64:
		return v
	case string:
		return Redact(v)
	case error:
		return Redact(v.Error())
	case fmt.Stringer:
		return Redact(v.String())
	}
	text, err := json.Marshal(value)
	if err != nil {
		return Redact(fmt.Sprint(value))
	}
	clean := Redact(string(text))
	if json.Valid([]byte(clean)) {
		return json.RawMessage(clean)
	}
	return clean
}

// Redact returns text with bearer and basic credentials, private keys and the
// values of JSON members with secret names redacted.
func Redact(text string) string {
	if mayContain(text, textKeywords) {
		text = secretText.ReplaceAllString(text, Redacted)
	}
	if !strings.Contains(text, `":`) && !strings.Contains(text, `" :`) {
		return text
	}
	if !mayContain(text, memberKeywords) {
		return text
	}
	return secretMember.ReplaceAllString(text, `${1}"`+Redacted+`"`)
}

// mayContain reports whether text may contain one of the lower-case keywords. It is
// far cheaper than matching the patterns. It returns true for all text with
// non-ASCII bytes, because the case-insensitive patterns also match non-ASCII letters
// that strings.ToLower does not map to ASCII.
func mayContain(text string, keywords []string) bool {
	for i := range len(text) {
		if text[i] >= utf8.RuneSelf {
			return true
		}
	}
	lower := strings.ToLower(text)
	return slices.ContainsFunc(keywords, func(keyword string) bool { return strings.Contains(lower, keyword) })
}
