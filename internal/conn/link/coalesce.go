package link

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame: a version byte, a type byte, two of flags, four of
// the stream and four of the length.
const (
	frameHeaderBytes = 12
	frameTypeAt      = 1
	frameLengthAt    = 8
	frameTypeData    = 0

	// maxJoinedBytes bounds a body that is copied behind its header. A longer
	// one fills packets of its own.
	maxJoinedBytes = 4 << 10
)

// joinedConn sends the header of a data frame together with a short body, in
// one packet where they fit. The session writes them one after the other, from
// one goroutine; a header with no body to follow goes out at once.
type joinedConn struct {
	net.Conn
	// held is a header that waits for its body, empty most of the time.
	held []byte
}

// Write implements net.Conn. A header counts as written once it is held: if
// its body fails, so does the session.
func (c *joinedConn) Write(p []byte) (int, error) {
	if len(c.held) > 0 {
		return c.writeBody(p)
	}
	if announcesBody(p) {
		c.held = append(c.held, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *joinedConn) writeBody(p []byte) (int, error) {
	header := len(c.held)
	defer func() { c.held = c.held[:0] }()
	if len(p) > maxJoinedBytes {
		if _, err := c.Conn.Write(c.held); err != nil {
			return 0, err
		}
		return c.Conn.Write(p)
	}
	c.held = append(c.held, p...)
	n, err := c.Conn.Write(c.held)
	return max(0, n-header), err
}

// announcesBody reports whether p is the header of a frame whose body follows.
func announcesBody(p []byte) bool {
	return len(p) == frameHeaderBytes && p[frameTypeAt] == frameTypeData &&
		binary.BigEndian.Uint32(p[frameLengthAt:]) > 0
}
