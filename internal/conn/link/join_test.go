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
// its body.
type loneHeaders struct {
	net.Listener
	data, lone atomic.Int64
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
		if len(p) == headerBytes {
			c.count.lone.Add(1)
		}
	}
	return c.Conn.Write(p)
}

func TestHeadersTravelWithTheirBodies(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	counted := &loneHeaders{Listener: listener}
	server := link.NewServer(echo{})
	go func() { _ = server.Serve(context.Background(), counted) }()
	defer func() { _ = listener.Close(); _ = server.Close() }()
	client := link.NewClient(link.Config{Clock: clock.System{}, Caller: "router-1"})
	defer client.Close()
	const calls = 20
	for range calls {
		call := &wire.Call{Body: &wire.Call_Probe{Probe: &wire.Probe{}}}
		assert.NilError(t, client.Ask(t.Context(), listener.Addr().String(), call, new(wire.ProbeReply)))
	}
	assert.Assert(t, counted.data.Load() >= calls, counted.data.Load())
	assert.Equal(t, counted.lone.Load(), int64(0))
}
