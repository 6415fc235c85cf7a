package gate_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"cactusline.dev/cactusline/internal/process/gate"
)

// Guards against a response that is forwarded as whole although it breaks off: in its head, or
// in a body whose length it states.
func TestCutResponseIsBroken(t *testing.T) {
	ends := map[string]func(conn *net.TCPConn){"closed": func(conn *net.TCPConn) { _ = conn.CloseWrite() }, "reset": resetConn}
	for end, finish := range ends {
		for _, path := range []string{"/once/a", "/stream/a"} {
			body := bodyOf(path)
			for _, message := range []string{
				"HTTP/1.1 200 OK\r\nId: ID\r\n\r\n",
				fmt.Sprintf("HTTP/1.1 200 OK\r\nId: ID\r\nContent-Length: %d\r\n\r\n%s", len(body), body),
				fmt.Sprintf("HTTP/1.1 200 OK\r\nId: ID\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nField: value\r\n\r\n", len(body), body),
			} {
				t.Run(fmt.Sprintf("%s%s/%d", end, path, len(message)), func(t *testing.T) {
					var missing atomic.Int64
					target := newRawTarget(t, "t1", func(conn *net.TCPConn, r *http.Request) {
						whole := strings.ReplaceAll(message, "ID", r.Header.Get("Id"))
						_, _ = io.WriteString(conn, whole[:len(whole)-int(missing.Load())])
						finish(conn)
						_, _ = io.Copy(io.Discard, conn)
					})
					h := newHarness(t, gate.Config{}, target)
					h.putDocument(testDocument())
					for missing.Store(1); int(missing.Load()) < len(message); missing.Add(1) {
						upload := "question"
						if missing.Load()%16 == 0 {
							upload = strings.Repeat("x", longUploadBytes)
						}
						status, body, err := h.sendAndRead(path, upload, "Id", fmt.Sprint("r", missing.Load()))
						assertBroken(t, status, body, err, fmt.Sprintf("%d bytes missing", missing.Load()))
					}
				})
			}
		}
	}
}
