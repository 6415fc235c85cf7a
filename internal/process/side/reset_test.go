package side_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/wire"
)

const (
	// longUploadBytes is more than the buffers of a connection hold, so that the sidecar is
	// still sending the request when an answer arrives.
	longUploadBytes = 6 << 20
	// resetTries is how often an answer is reset. Which side of the sidecar's connection
	// learns of it is a matter of scheduling.
	resetTries = 40
	// settleTime is how long a test waits for the sidecar to read what was sent.
	settleTime = 20 * time.Millisecond
)

// startRawTarget starts a target that passes the connection of each attempt, of which it
// has read the header of the request, to answer. It closes the connection after that.
func startRawTarget(t *testing.T, answer func(conn *net.TCPConn)) *plainTarget {
	t.Helper()
	return startPlainTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		answer(conn.(*net.TCPConn))
	})
}

// assertUnknown asserts that an attempt ended with an unknown outcome, without a crash of
// its target.
func assertUnknown(t *testing.T, result attemptResult, what string) {
	t.Helper()
	assert.Check(t, result.end.GetOutcome() == wire.Outcome_OUTCOME_UNKNOWN && !result.end.GetTargetCrashed(), "%s: %v", what, result)
}

// Guards against a part of an answer that is taken for the whole: the target resets the
// connection while the request is still being sent.
func TestResetAnswerWithoutLengthIsIncomplete(t *testing.T) {
	p := startRawTarget(t, func(conn *net.TCPConn) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\nhalf of")
		time.Sleep(settleTime)
		_ = conn.SetLinger(0)
	})
	upload := bytes.Repeat([]byte("x"), longUploadBytes)
	for try := range resetTries {
		result := receiveResult(p.submitAttempt(&wire.Submit{Attempt: fmt.Sprint("a", try), Body: upload}))
		assertUnknown(t, result, fmt.Sprint("try ", try))
	}
}

func TestEarlyAnswerToLongUploadIsComplete(t *testing.T) {
	for name, answer := range map[string]string{
		"until close": "HTTP/1.1 200 OK\r\n\r\nanswer",
		"length":      "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer",
		"interim":     "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer",
		"chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			p := startRawTarget(t, func(conn *net.TCPConn) {
				for at := range answer {
					_, _ = io.WriteString(conn, answer[at:at+1])
				}
				_ = conn.CloseWrite()
				_, _ = io.Copy(io.Discard, conn)
			})
			result, status := p.readAnswer(p.submitAttempt(&wire.Submit{Attempt: "a", Body: bytes.Repeat([]byte("x"), longUploadBytes)}))
			assert.Equal(t, result.end.GetOutcome(), wire.Outcome_OUTCOME_RAN)
			assert.Equal(t, status, int32(http.StatusOK))
			assert.Equal(t, string(result.body), "answer")
		})
	}
}
