package side_test

import (
	"fmt"
	"io"
	"net"
	"testing"

	"cactusline.dev/cactusline/internal/conn/wire"
)

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
