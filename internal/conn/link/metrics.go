package link

import (
	"net"
	"sync"

	"github.com/VictoriaMetrics/metrics"
)

// Figures of all links of the process, before TLS. A write makes at least one
// packet, so that bytes and writes together show what the links cost.
var (
	bytesIn    = metrics.GetOrCreateCounter(`cactusline_link_bytes_total{direction="in"}`)
	bytesOut   = metrics.GetOrCreateCounter(`cactusline_link_bytes_total{direction="out"}`)
	writes     = metrics.GetOrCreateCounter(`cactusline_link_writes_total`)
	dialed     = metrics.GetOrCreateCounter(`cactusline_link_sessions_total{end="client"}`)
	accepted   = metrics.GetOrCreateCounter(`cactusline_link_sessions_total{end="server"}`)
	openEnds   = metrics.GetOrCreateCounter(`cactusline_link_sessions_open`)
	dialFailed = metrics.GetOrCreateCounter(`cactusline_link_dials_failed_total`)
)

// measuredConn counts what passes over a connection.
type measuredConn struct {
	net.Conn
	closing sync.Once
}

// measure returns conn with its traffic counted. Sessions counts the kind of
// end that this process is.
func measure(conn net.Conn, sessions *metrics.Counter) net.Conn {
	sessions.Inc()
	openEnds.Inc()
	return &measuredConn{Conn: conn}
}

// Read implements net.Conn.
func (c *measuredConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	bytesIn.Add(n)
	return n, err
}

// Write implements net.Conn.
func (c *measuredConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	bytesOut.Add(n)
	writes.Inc()
	return n, err
}

// Close implements net.Conn.
func (c *measuredConn) Close() error {
	c.closing.Do(openEnds.Dec)
	return c.Conn.Close()
}
