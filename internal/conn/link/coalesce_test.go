package link_test

import (
	"context"
	"encoding/binary"
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
)

// loneHeaders counts the writes that carry the header of a data frame and not
// its body, and keeps the length of the longest frame.
type loneHeaders struct {
	net.Listener
	data, lone, longest atomic.Int64
}

func (l *loneHeaders) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &loneHeaderConn{Conn: conn, count: l}, nil
}

type loneHeaderConn struct {
	net.Conn
	count *loneHeaders
}

func (c *loneHeaderConn) Write(p []byte) (int, error) {
	const headerBytes = 12
	if len(p) >= headerBytes && p[0] == 0 && p[1] == 0 && binary.BigEndian.Uint32(p[8:]) > 0 {
		c.count.data.Add(1)
		length := int64(binary.BigEndian.Uint32(p[8:]))
		c.count.longest.Store(max(c.count.longest.Load(), length))
		if len(p) == headerBytes {
			c.count.lone.Add(1)
		}
	}
	return c.Conn.Write(p)
}

// countHeaders serves calls until the test ends and counts their headers.
func countHeaders(t *testing.T, handler link.Handler) *loneHeaders {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	counted := &loneHeaders{Listener: listener}
	serveUntilDone(t, counted, handler)
	return counted
}

func TestHeadersTravelWithTheirBodies(t *testing.T) {
	counted := countHeaders(t, echo{})
	client := link.NewClient(link.Config{Clock: clock.System{}, Caller: "router-1"})
	defer client.Close()
	const calls = 20
	for range calls {
		call := &wire.Call{Body: &wire.Call_Probe{Probe: &wire.Probe{}}}
		assert.NilError(t, client.Ask(t.Context(), counted.Addr().String(), call, new(wire.ProbeReply)))
	}
	assert.Assert(t, counted.data.Load() >= calls, counted.data.Load())
	assert.Equal(t, counted.lone.Load(), int64(0))
}

// bulk answers with a long message.
type bulk struct{ bytes int }

func (b bulk) ServeCall(_ context.Context, _ *wire.Call, stream *link.Stream) {
	_ = stream.Send(&wire.QueryReply{Result: make([]byte, b.bytes)})
}

func TestLongMessagesTravelInShortFrames(t *testing.T) {
	const bytes, limit = 1 << 20, 16 << 10
	counted := countHeaders(t, bulk{bytes: bytes})
	client := link.NewClient(link.Config{Clock: clock.System{}})
	defer client.Close()
	reply := new(wire.QueryReply)
	call := &wire.Call{Body: &wire.Call_Query{Query: &wire.Query{}}}
	assert.NilError(t, client.Ask(t.Context(), counted.Addr().String(), call, reply))
	assert.Equal(t, len(reply.GetResult()), bytes)
	assert.Assert(t, counted.longest.Load() <= limit, counted.longest.Load())
}
