package side_test

import (
	"encoding/pem"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/wire"
)

// checkMalformed checks that answers with malformed heads are taken for broken.
func checkMalformed(t *testing.T, answers []string) {
	t.Helper()
	next := make(chan string, 1)
	p := startRawTarget(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, <-next) })
	for i, answer := range answers {
		next <- answer
		result := receiveResult(p.submitAttempt(&wire.Submit{Attempt: fmt.Sprint("a", i)}))
		assertUnknown(t, result, fmt.Sprintf("%q", answer))
	}
}

// Guards against answers that are passed on although their status is none.
func TestAnswerWithInvalidStatusIsBroken(t *testing.T) {
	var answers []string
	for _, status := range []string{"000", "099", "-00", "600", "999", "101", "20"} {
		answers = append(answers, "HTTP/1.1 "+status+" X\r\nContent-Length: 6\r\n\r\nanswer")
	}
	checkMalformed(t, answers)
}

// Guards against answers with a line in their header that different readers take for
// different fields.
func TestAnswerWithInvalidFieldNameIsBroken(t *testing.T) {
	var answers []string
	for _, line := range []string{"Content-Length : 3", " Content-Length: 3", "Content Length: 3", "X\x01Odd: 1", ": 1", "Transfer-Encoding : chunked"} {
		answers = append(answers, "HTTP/1.1 200 OK\r\nX-Field: 1\r\n"+line+"\r\n\r\nanswer")
	}
	checkMalformed(t, answers)
}

// Guards against a crash that is reported of a target that answers, though all of its answers
// are malformed.
func TestMalformedAnswersAreNoCrash(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 000 X\r\nContent-Length: 6\r\n\r\nanswer")
			_ = conn.Close()
		}
	}))
	p := startTargetServer(t, server)
	assertUnknown(t, receiveResult(p.submitAttempt(&wire.Submit{Attempt: "a"})), "malformed")
}

// Guards against a target that is reached by TLS and whose answers are not checked.
func TestAnswersByTLSAreChecked(t *testing.T) {
	var malformed atomic.Bool
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if !malformed.Load() {
			_, _ = io.WriteString(w, "answer")
			return
		}
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nanswer")
			_ = conn.Close()
		}
	}))
	authority := filepath.Join(t.TempDir(), "authority.pem")
	block := &pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}
	assert.NilError(t, os.WriteFile(authority, pem.EncodeToMemory(block), 0o600))
	t.Setenv("SSL_CERT_FILE", authority)
	p := startTargetServer(t, server)
	result, status := p.readAnswer(p.submitAttempt(&wire.Submit{Attempt: "whole"}))
	assert.Equal(t, status, int32(http.StatusOK))
	assert.Equal(t, string(result.body), "answer")
	malformed.Store(true)
	assertUnknown(t, receiveResult(p.submitAttempt(&wire.Submit{Attempt: "malformed"})), "by TLS")
}

// Guards against an answer that is taken for whole although it breaks off.
func TestCutAnswerIsBroken(t *testing.T) {
	for _, message := range []string{
		"HTTP/1.1 200 OK\r\nX-Field: 1\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nanswer\r\n0\r\n\r\n",
	} {
		missing := 1
		p := startRawTarget(t, func(conn *net.TCPConn) { _, _ = io.WriteString(conn, message[:len(message)-missing]) })
		for ; missing < len(message); missing++ {
			result := receiveResult(p.submitAttempt(&wire.Submit{Attempt: fmt.Sprint("a", missing)}))
			assertUnknown(t, result, fmt.Sprintf("%d bytes missing of %q", missing, message))
		}
	}
}
