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

// Redacted stands in entries for what was taken out.
const Redacted = "[redacted]"

var (
	// secretName matches names of fields whose values are never written.
	secretName = regexp.MustCompile(`(?i)(authorization|secret|password|bearer|api[-_]?key|private[-_]?key|credential|cookie)`)
	// secretText matches secrets inside of values.
	secretText = regexp.MustCompile(`(?is)-----BEGIN [A-Z ]*PRIVATE KEY-----.*?(-----END [A-Z ]*PRIVATE KEY-----|$)|\b(bearer|basic)\s+[^\s"',;]+`)
	// secretMember matches members of JSON objects that hold secrets.
	secretMember = regexp.MustCompile(`(?i)("[^"]*(?:authorization|secret|password|bearer|api[-_]?key|private[-_]?key|credential|cookie)[^"]*"\s*:\s*)("(?:[^"\\]|\\.)*"|\[[^\]]*\]|[^,}\]]+)`)
)

// Words without which no pattern matches.
var (
	textWords   = []string{"private key", "bearer", "basic"}
	memberWords = []string{"authorization", "secret", "password", "bearer", "api", "private", "credential", "cookie"}
)

// redactor takes secrets out of entries.
type redactor struct {
	next log.Logger
}

// Log writes an entry of alternating names and values.
func (r redactor) Log(keyvals ...any) error {
	clean := make([]any, len(keyvals))
	copy(clean, keyvals)
	for i := 0; i+1 < len(clean); i += 2 {
		name := fmt.Sprint(clean[i])
		if clean[i] == level.Key() {
			name = FieldLevel
		}
		clean[i] = name
		if holdsAny(name, memberWords) && secretName.MatchString(name) {
			clean[i+1] = Redacted
			continue
		}
		clean[i+1] = scrub(clean[i+1])
	}
	if err := r.next.Log(clean...); err != nil {
		return fmt.Errorf("write log entry: %w", err)
	}
	return nil
}

// scrub returns the value without the secrets in its text.
func scrub(value any) any {
	switch v := value.(type) {
	case nil, bool, int, int32, int64, uint, uint32, uint64, float32, float64:
		return v
	case string:
		return Scrub(v)
	case error:
		return Scrub(v.Error())
	case fmt.Stringer:
		return Scrub(v.String())
	}
	text, err := json.Marshal(value)
	if err != nil {
		return Scrub(fmt.Sprint(value))
	}
	clean := Scrub(string(text))
	if json.Valid([]byte(clean)) {
		return json.RawMessage(clean)
	}
	return clean
}

// Scrub returns text without bearer and basic credentials, private keys and
// members of JSON objects whose names say that they are secret.
func Scrub(text string) string {
	if holdsAny(text, textWords) {
		text = secretText.ReplaceAllString(text, Redacted)
	}
	if !strings.Contains(text, `":`) && !strings.Contains(text, `" :`) {
		return text
	}
	if !holdsAny(text, memberWords) {
		return text
	}
	return secretMember.ReplaceAllString(text, `${1}"`+Redacted+`"`)
}

// holdsAny reports whether text may hold one of the words, which are in lower
// case. It is far cheaper than the patterns, which fold the case of letters
// beyond ASCII too and so see all text that holds any.
func holdsAny(text string, words []string) bool {
	for i := range len(text) {
		if text[i] >= utf8.RuneSelf {
			return true
		}
	}
	lower := strings.ToLower(text)
	return slices.ContainsFunc(words, func(word string) bool { return strings.Contains(lower, word) })
}
