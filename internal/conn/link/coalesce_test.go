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

// frameCounter counts the data frames written by the server, and the writes
// that contain the header of a data frame without its body. It also records the
// length of the longest frame.
type frameCounter struct {
	net.Listener
	dataFrames, separateHeaders, longestFrame atomic.Int64
}

func (l *frameCounter) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &frameCountingConn{Conn: conn, counter: l}, nil
}

type frameCountingConn struct {
	net.Conn
	counter *frameCounter
}

func (c *frameCountingConn) Write(p []byte) (int, error) {
	const headerBytes = 12
	if len(p) >= headerBytes && p[0] == 0 && p[1] == 0 && binary.BigEndian.Uint32(p[8:]) > 0 {
		c.counter.dataFrames.Add(1)
		length := int64(binary.BigEndian.Uint32(p[8:]))
		c.counter.longestFrame.Store(max(c.counter.longestFrame.Load(), length))
		if len(p) == headerBytes {
			c.counter.separateHeaders.Add(1)
		}
	}
	return c.Conn.Write(p)
}

// serveCountingFrames serves calls until the test ends and counts the frames.
func serveCountingFrames(t *testing.T, handler link.Handler) *frameCounter {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	counter := &frameCounter{Listener: listener}
	serveUntilDone(t, counter, handler)
	return counter
}

func TestFrameHeaderAndBodyShareOneWrite(t *testing.T) {
	counter := serveCountingFrames(t, echo{})
	client := link.NewClient(link.Config{Clock: clock.System{}, Caller: "router-1"})
	defer client.Close()
	const calls = 20
	for range calls {
		call := &wire.Call{Body: &wire.Call_Probe{Probe: &wire.Probe{}}}
		assert.NilError(t, client.Ask(t.Context(), counter.Addr().String(), call, new(wire.ProbeReply)))
	}
	assert.Assert(t, counter.dataFrames.Load() >= calls, counter.dataFrames.Load())
	assert.Equal(t, counter.separateHeaders.Load(), int64(0))
}

// largeReply replies to a call with a message of the given size.
type largeReply struct{ bytes int }

func (b largeReply) ServeCall(_ context.Context, _ *wire.Call, stream *link.Stream) {
	_ = stream.Send(&wire.QueryReply{Result: make([]byte, b.bytes)})
}

func TestLongMessagesAreSplitIntoFrames(t *testing.T) {
	const bytes, limit = 1 << 20, 16 << 10
	counter := serveCountingFrames(t, largeReply{bytes: bytes})
	client := link.NewClient(link.Config{Clock: clock.System{}})
	defer client.Close()
	reply := new(wire.QueryReply)
	call := &wire.Call{Body: &wire.Call_Query{Query: &wire.Query{}}}
	assert.NilError(t, client.Ask(t.Context(), counter.Addr().String(), call, reply))
	assert.Equal(t, len(reply.GetResult()), bytes)
	assert.Assert(t, counter.longestFrame.Load() <= limit, counter.longestFrame.Load())
}
