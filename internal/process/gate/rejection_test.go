package gate_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/gate"
)

// Guards against a rejection that breaks off and is passed on as the promise that the request
// has not run, or for which the request is sent to another target.
func TestBrokenRejectionIsNoPromise(t *testing.T) {
	for name, c := range map[string]struct {
		response string
		broken   bool
	}{
		"whole":            {"Content-Length: 4\r\n\r\nfull", false},
		"whole, no length": {"\r\nfull", false},
		"cut body":         {"Content-Length: 5\r\n\r\nfull", true},
		"no end of chunks": {"Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n", true},
		"bad chunk":        {"Transfer-Encoding: chunked\r\n\r\nx\r\nfull\r\n", true},
	} {
		for _, path := range []string{"/once/a", "/stream/a"} {
			t.Run(name+path, func(t *testing.T) {
				var attempts atomic.Int64
				reject := func(conn *net.TCPConn, r *http.Request) {
					attempts.Add(1)
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: yes\r\n%s", r.Header.Get("Id"), c.response)
					_ = conn.CloseWrite()
					_, _ = io.Copy(io.Discard, conn)
				}
				h := newHarness(t, gate.Config{}, newRawTarget(t, "t1", reject), newRawTarget(t, "t2", reject))
				h.putDocument(testDocument())
				status, body, err := h.sendAndRead(path, "question")
				if c.broken {
					assertBroken(t, status, body, err, name)
					assert.Equal(t, attempts.Load(), int64(1))
					return
				}
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusServiceUnavailable)
				assert.Assert(t, !strings.Contains(body, "Unknown"), body)
			})
		}
	}
}
