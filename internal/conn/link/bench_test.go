package link_test

import (
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
)

// countingListener counts the writes of the connections that it accepts. Each
// write makes at least one segment.
type countingListener struct {
	net.Listener
	writes atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{Conn: conn, writes: &l.writes}, err
}

type countingConn struct {
	net.Conn
	writes *atomic.Int64
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.writes.Add(1)
	return c.Conn.Write(p)
}

// BenchmarkAsk reports the time of a call and the number of writes that the
// answering side makes for it.
func BenchmarkAsk(b *testing.B) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	listener := &countingListener{Listener: inner}
	serveUntilDone(b, listener, echo{})
	client := link.NewClient(link.Config{Clock: clock.System{}})
	defer client.Close()
	address := inner.Addr().String()
	for b.Loop() {
		assert.NilError(b, client.Ask(b.Context(), address, &wire.Call{}, new(wire.ProbeReply)))
	}
	b.ReportMetric(float64(listener.writes.Load())/float64(b.N), "writes/op")
}
