package sock

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// past is a deadline that ends pending operations.
var past = time.Unix(1, 0)

// Conn is a connection of a client whose reads return io.EOF only if the peer has closed
// the connection in order.
//
// The kernel reports that a connection was reset, or that its peer is gone, to one system
// call. If that is a write, the next read returns what had arrived before and then the end
// of the stream, as after an orderly close. Conn returns the error of the write instead.
type Conn struct {
	net.Conn

	// writing is held during a write. It guards writeErr, the error of the first write that
	// failed.
	writing  sync.Mutex
	writeErr error
}

// NewConn returns a Conn that uses conn.
func NewConn(conn net.Conn) *Conn { return &Conn{Conn: conn} }

// DialContext returns a function that dials with d and returns a *Conn.
func DialContext(d *net.Dialer) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// Write writes to the connection. It fails once a read has returned io.EOF.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if cause := c.endWriting(); isBroken(cause) {
		return n, fmt.Errorf("connection broken during a write: %w", cause)
	}
	return n, err
}

// endWriting ends a pending write and returns the error of the first write that failed.
func (c *Conn) endWriting() error {
	_ = c.SetWriteDeadline(past) // fails if the connection was closed, which ends writes too
	c.writing.Lock()
	defer c.writing.Unlock()
	return c.writeErr
}

// isBroken reports whether the error of a write shows that the connection did not end in
// order. After the peer has closed its side, the kernel reports a reset as EPIPE.
func isBroken(err error) bool {
	return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) && !errors.Is(err, syscall.EPIPE)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.ErrUnsupported
	}
	return socket.SyscallConn()
}
