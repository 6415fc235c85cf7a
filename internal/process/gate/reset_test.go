package gate_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/gate"
)

// routesOfAllKinds are a path on each route of testDocument.
var routesOfAllKinds = []string{"/safe/a", "/once/a", "/stream/a", "/resume/a"}

const (
	// longUploadBytes is more than the buffers of a connection hold, so that the gate is
	// still sending the request when a response arrives.
	longUploadBytes = 6 << 20
	rawReadBuffer   = 4 << 10
	// resetTries is how often a response is reset. Which side of the gate's connection learns
	// of it is a matter of scheduling.
	resetTries = 12
	// settleTime is how long a test waits for the other side to read what was sent.
	settleTime = 30 * time.Millisecond
)

// newRawTarget returns a target that passes each connection, of whose first request it has
// read the header, to respond. It closes the connection after that.
func newRawTarget(t *testing.T, name string, respond func(conn *net.TCPConn, r *http.Request)) *fakeTarget {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				tcp := conn.(*net.TCPConn)
				_ = tcp.SetReadBuffer(rawReadBuffer)
				if request, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
					respond(tcp, request)
				}
			}()
		}
	}()
	return &fakeTarget{name: name, address: listener.Addr().String()}
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// bodyOf returns the body of a response on a route: an event if it is a stream.
func bodyOf(path string) string {
	if strings.HasPrefix(path, "/stream/") || strings.HasPrefix(path, "/resume/") {
		return "id: 1\ndata: event 1\n\n"
	}
	return "answer"
}

// assertBroken asserts that a caller got no complete response of a target, and no promise
// that the request has not run.
func assertBroken(t *testing.T, status int, body string, err error, what string) {
	t.Helper()
	assert.Check(t, err != nil || status == http.StatusBadGateway, "%s: got status %d, body %q", what, status, body)
}

// Guards against a part of a response that is forwarded as the whole: the target resets the
// connection while the request is still being sent.
func TestResetResponseWithoutLengthIsIncomplete(t *testing.T) {
	for _, path := range routesOfAllKinds {
		t.Run(path, func(t *testing.T) {
			target := newRawTarget(t, "t1", func(conn *net.TCPConn, r *http.Request) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n\r\n%s", r.Header.Get("Id"), bodyOf(path))
				time.Sleep(settleTime)
				resetConn(conn)
			})
			h := newHarness(t, gate.Config{}, target)
			h.putDocument(testDocument())
			upload := strings.Repeat("x", longUploadBytes)
			for try := range resetTries {
				status, body, err := h.sendAndRead(path, upload, "Id", fmt.Sprint("r", try))
				assertBroken(t, status, body, err, fmt.Sprint("try ", try))
			}
		})
	}
}

// Guards against a strict end of responses that fails complete ones: a target may respond
// before it has read the request, and end its response with its side of the connection.
func TestEarlyResponseToLongUploadIsForwarded(t *testing.T) {
	framings := map[string]func(body string) string{
		"until close": func(body string) string { return "\r\n" + body },
		"length":      func(body string) string { return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body) },
		"chunks": func(body string) string {
			return fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		},
	}
	ends := map[string]func(conn *net.TCPConn){
		"reads on": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			_, _ = io.Copy(io.Discard, conn)
		},
		"reads nothing": func(conn *net.TCPConn) {
			_ = conn.CloseWrite()
			time.Sleep(settleTime)
		},
	}
	for framing, frame := range framings {
		for end, finish := range ends {
			for _, path := range routesOfAllKinds {
				t.Run(framing+", "+end+path, func(t *testing.T) {
					target := newRawTarget(t, "t1", func(conn *net.TCPConn, r *http.Request) {
						_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s", r.Header.Get("Id"), frame(bodyOf(path)))
						finish(conn)
					})
					h := newHarness(t, gate.Config{}, target)
					h.putDocument(testDocument())
					status, body, err := h.sendAndRead(path, strings.Repeat("x", longUploadBytes))
					assert.NilError(t, err)
					assert.Equal(t, status, http.StatusOK)
					assert.Equal(t, body, bodyOf(path))
				})
			}
		}
	}
}
