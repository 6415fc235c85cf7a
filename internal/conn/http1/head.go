// Package http1 reads the heads of HTTP/1.1 responses. It refuses those that net/http reads
// although readers may differ on what they say: on the status, on which fields there are, or on
// where the body ends.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"
)

// MaxHeadBytes limits the status line and the header of a response. A server in trouble may
// send them without end.
const MaxHeadBytes = 64 << 10

// MalformedError reports a response that is not one of HTTP/1.1. What became of the request is
// unknown, and the connection can't be used any more.
type MalformedError struct {
	Reason string
}

// Error implements error.
func (e *MalformedError) Error() string { return "malformed response: " + e.Reason }

// IsMalformed reports whether err is, or wraps, a *MalformedError.
func IsMalformed(err error) bool {
	var malformed *MalformedError
	return errors.As(err, &malformed)
}

func malformed(format string, args ...any) error {
	return &MalformedError{Reason: fmt.Sprintf(format, args...)}
}

const (
	statusLinePrefix = "HTTP/1."
	// statusLineBytes is the length of a status line without a reason.
	statusLineBytes = len("HTTP/1.1 200")
	maxStatus       = 599
)

// The fields that state the length of a body.
var (
	contentLength    = []byte("Content-Length")
	transferEncoding = []byte("Transfer-Encoding")
)

// head is what is known of the head of a response from the lines that were checked.
type head struct {
	// size is the length of the checked lines.
	size   int
	status int
	// minorVersion is the digit after "HTTP/1.".
	minorVersion byte
	hasStatus    bool
	hasLength    bool
	hasEncoding  bool
}

// isFinal reports whether the response is not an interim one.
func (h *head) isFinal() bool { return h.status >= http.StatusOK }

// check checks the complete lines at the start of data that were not checked before. It reports
// whether the empty line at the end of the head is among them.
func (h *head) check(data []byte) (complete bool, err error) {
	for err == nil {
		length := bytes.IndexByte(data[h.size:], '\n')
		if length < 0 {
			return false, nil
		}
		line := bytes.TrimSuffix(data[h.size:h.size+length], []byte("\r"))
		h.size += length + 1
		switch {
		case !h.hasStatus:
			err = h.checkStatusLine(line)
		case len(line) == 0:
			return true, h.checkFraming()
		default:
			err = h.checkField(line)
		}
	}
	return false, err
}

func (h *head) checkStatusLine(line []byte) error {
	if len(line) < statusLineBytes || !bytes.HasPrefix(line, []byte(statusLinePrefix)) {
		return malformed("status line %.80q", line)
	}
	h.hasStatus, h.minorVersion = true, line[len(statusLinePrefix)]
	for _, digit := range line[statusLineBytes-3 : statusLineBytes] {
		if !isDigit(digit) {
			return malformed("status line %.80q", line)
		}
		h.status = 10*h.status + int(digit-'0')
	}
	reason := line[statusLineBytes:]
	if !isDigit(h.minorVersion) || line[len(statusLinePrefix)+1] != ' ' || len(reason) > 0 && reason[0] != ' ' || bytes.ContainsFunc(reason, isControl) {
		return malformed("status line %.80q", line)
	}
	if h.status < http.StatusContinue || h.status > maxStatus {
		return malformed("status %03d", h.status)
	}
	if h.status == http.StatusSwitchingProtocols {
		return malformed("status %d without a request for it", h.status)
	}
	return nil
}

// checkField checks a line of the header. A line that begins with a blank continues the one
// before it by rules that are out of use, and other readers take it for a field.
func (h *head) checkField(line []byte) error {
	name, value, found := bytes.Cut(line, []byte(":"))
	if !found || len(name) == 0 || bytes.ContainsFunc(name, isNotToken) {
		return malformed("name of a field in %.80q", line)
	}
	if bytes.ContainsFunc(value, isControl) {
		return malformed("value of a field in %.80q", line)
	}
	h.hasLength = h.hasLength || bytes.EqualFold(name, contentLength)
	h.hasEncoding = h.hasEncoding || bytes.EqualFold(name, transferEncoding)
	return nil
}

// checkFraming refuses a head that states the length of the body in two ways, or in a way that
// its version does not know.
func (h *head) checkFraming() error {
	switch {
	case h.hasEncoding && h.hasLength:
		return malformed("both Transfer-Encoding and Content-Length")
	case h.hasEncoding && h.minorVersion == '0':
		return malformed("Transfer-Encoding in HTTP/1.0")
	}
	return nil
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isControl reports whether a value or a reason must not contain c.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }

// isNotToken reports whether the name of a field must not contain c.
func isNotToken(c rune) bool {
	switch {
	case '0' <= c && c <= '9', 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z':
		return false
	}
	return !strings.ContainsRune("!#$%&'*+-.^_`|~", c)
}
