// Package http1 reads the heads of HTTP/1.1 responses. It refuses those that net/http reads
// although their status is none.
package http1

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
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

// head is what is known of the head of a response from the lines that were checked.
type head struct {
	// size is the length of the checked lines.
	size   int
	status int
	// hasStatus is set once the status line was checked.
	hasStatus bool
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
			return true, nil
		}
	}
	return false, err
}

func (h *head) checkStatusLine(line []byte) error {
	if len(line) < statusLineBytes || !bytes.HasPrefix(line, []byte(statusLinePrefix)) {
		return malformed("status line %.80q", line)
	}
	h.hasStatus = true
	for _, digit := range line[statusLineBytes-3 : statusLineBytes] {
		if !isDigit(digit) {
			return malformed("status line %.80q", line)
		}
		h.status = 10*h.status + int(digit-'0')
	}
	reason := line[statusLineBytes:]
	if !isDigit(line[len(statusLinePrefix)]) || line[len(statusLinePrefix)+1] != ' ' || len(reason) > 0 && reason[0] != ' ' || bytes.ContainsFunc(reason, isControl) {
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

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// isControl reports whether a value or a reason must not contain c.
func isControl(c rune) bool { return c < ' ' && c != '\t' || c == 0x7f }
