package link

import (
	"encoding/binary"
	"net"
)

// Layout of a yamux frame header: one byte version, one byte type, two bytes
// flags, four bytes stream ID and four bytes length.
const (
	frameHeaderBytes  = 12
	frameTypeOffset   = 1
	frameLengthOffset = 8
	frameTypeData     = 0

	// maxCoalescedBytes limits the body that is copied behind its header. A
	// longer body fills packets of its own.
	maxCoalescedBytes = 4 << 10
)

// coalescingConn writes the header of a data frame together with a short body,
// so that they share a packet if they fit. The session writes them one after
// the other, from a single goroutine. A header without a body is written at
// once.
type coalescingConn struct {
	net.Conn
	// pendingHeader is a header whose body has not been written yet. It is
	// empty if there is none.
	pendingHeader []byte
}

// Write implements net.Conn. It reports a header as written once it is
// buffered. This is safe because the session fails if the write of the body
// fails.
func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.pendingHeader) > 0 {
		return c.writeBody(p)
	}
	if precedesBody(p) {
		c.pendingHeader = append(c.pendingHeader, p...)
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *coalescingConn) writeBody(p []byte) (int, error) {
	headerBytes := len(c.pendingHeader)
	defer func() { c.pendingHeader = c.pendingHeader[:0] }()
	if len(p) > maxCoalescedBytes {
		if _, err := c.Conn.Write(c.pendingHeader); err != nil {
			return 0, err
		}
		return c.Conn.Write(p)
	}
	c.pendingHeader = append(c.pendingHeader, p...)
	n, err := c.Conn.Write(c.pendingHeader)
	return max(0, n-headerBytes), err
}

// precedesBody reports whether p is the header of a data frame with a body.
func precedesBody(p []byte) bool {
	return len(p) == frameHeaderBytes && p[frameTypeOffset] == frameTypeData &&
		binary.BigEndian.Uint32(p[frameLengthOffset:]) > 0
}
