package link

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// Metrics of all links of the process, with traffic counted before TLS. Each
// write makes at least one packet, so that bytes and writes together show the
// network cost of the links.
var (
	bytesIn          = metrics.GetOrCreateCounter(`cactusline_link_bytes_total{direction="in"}`)
	bytesOut         = metrics.GetOrCreateCounter(`cactusline_link_bytes_total{direction="out"}`)
	writes           = metrics.GetOrCreateCounter(`cactusline_link_writes_total`)
	dialedSessions   = metrics.GetOrCreateCounter(`cactusline_link_sessions_total{end="client"}`)
	acceptedSessions = metrics.GetOrCreateCounter(`cactusline_link_sessions_total{end="server"}`)
	openSessions     = metrics.GetOrCreateCounter(`cactusline_link_sessions_open`)
	dialFailures     = metrics.GetOrCreateCounter(`cactusline_link_dials_failed_total`)
)

// countingConn counts the bytes and writes of a connection.
type countingConn struct {
	net.Conn
	clock    Clock
	openedAt time.Time
	// lastReceived is the time from openedAt to the last successful read.
	lastReceived atomic.Int64
	closeOnce    sync.Once
}

// instrument increments sessions and openSessions and returns a connection that
// counts its traffic.
func instrument(conn net.Conn, clock Clock, sessions *metrics.Counter) *countingConn {
	sessions.Inc()
	openSessions.Inc()
	return &countingConn{Conn: conn, clock: clock, openedAt: clock.Now()}
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesIn.Add(n)
	if n > 0 {
		c.lastReceived.Store(int64(c.age()))
	}
	return n, err
}

func (c *countingConn) age() time.Duration { return c.clock.Now().Sub(c.openedAt) }

// quiet returns the time since the connection last received anything.
func (c *countingConn) quiet() time.Duration {
	return c.age() - time.Duration(c.lastReceived.Load())
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesOut.Add(n)
	writes.Inc()
	return n, err
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	c.closeOnce.Do(openSessions.Dec)
	return c.Conn.Close()
}
