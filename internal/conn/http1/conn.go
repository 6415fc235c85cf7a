package http1

import (
	"context"
	"net"
)

// Conn is a connection of an http.Transport that carries one request. Reads fail with a
// *MalformedError if the head of the response, or of an interim one before it, is malformed.
type Conn struct {
	net.Conn
	reader *Reader
	// unread is the rest of a head that was checked, and final is set once that of the final
	// response was.
	unread int
	final  bool
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	if c.unread == 0 && !c.final {
		h, err := c.reader.peekHead()
		if err != nil {
			return 0, err
		}
		c.unread, c.final = h.size, h.isFinal()
	}
	if c.unread > 0 {
		p = p[:min(len(p), c.unread)]
	}
	n, err := c.reader.Read(p)
	c.unread = max(0, c.unread-n)
	return n, err
}

// DialFunc dials an address, as http.Transport needs it.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// CheckResponses returns a function that dials with dial and returns a *Conn. It is for a
// transport without keep-alives.
func CheckResponses(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: conn, reader: NewReader(conn)}, nil
	}
}
