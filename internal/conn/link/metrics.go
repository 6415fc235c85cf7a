package link

import (
	"net"
	"sync"

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
	closeOnce sync.Once
}

// instrument increments sessions and openSessions and returns a connection that
// counts its traffic.
func instrument(conn net.Conn, sessions *metrics.Counter) net.Conn {
	sessions.Inc()
	openSessions.Inc()
	return &countingConn{Conn: conn}
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesIn.Add(n)
	return n, err
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
