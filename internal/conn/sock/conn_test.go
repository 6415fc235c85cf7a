package sock_test

import (
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/sock"
)

// scriptedConn is a connection whose reads return io.EOF. Its writes return the given errors
// in turn, and then wait for their deadline.
type scriptedConn struct {
	net.Conn
	writeErrs []error
	deadline  chan struct{}
}

func (c *scriptedConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c *scriptedConn) Write([]byte) (int, error) {
	if len(c.writeErrs) > 0 {
		err := c.writeErrs[0]
		c.writeErrs = c.writeErrs[1:]
		return 0, err
	}
	<-c.deadline
	return 0, os.ErrDeadlineExceeded
}

func (c *scriptedConn) SetWriteDeadline(t time.Time) error {
	if !t.IsZero() {
		close(c.deadline)
	}
	return nil
}

// Guards against a reset of which only a write learns, so that what was read before it
// passes for all that the peer had to send.
func TestReadReturnsTheErrorOfAWrite(t *testing.T) {
	for _, c := range []struct {
		name   string
		writes []error
		broken bool
	}{
		{"nothing written", nil, false},
		{"written", []error{nil}, false},
		{"reset", []error{syscall.ECONNRESET}, true},
		{"reset, then written again", []error{syscall.ECONNRESET, syscall.EPIPE}, true},
		{"peer is gone", []error{syscall.ETIMEDOUT}, true},
		{"reset after an orderly close", []error{syscall.EPIPE}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			conn := sock.NewConn(&scriptedConn{writeErrs: c.writes, deadline: make(chan struct{})})
			for range c.writes {
				_, _ = conn.Write([]byte("request"))
			}
			_, err := conn.Read(make([]byte, 1))
			assert.Equal(t, !errors.Is(err, io.EOF), c.broken, "%v", err)
			if c.broken {
				assert.ErrorIs(t, err, c.writes[0])
			}
		})
	}
}

// Guards against a read that waits for a peer that sends no more and reads nothing.
func TestEndOfStreamEndsAPendingWrite(t *testing.T) {
	conn := sock.NewConn(&scriptedConn{deadline: make(chan struct{})})
	written := make(chan error)
	go func() {
		_, err := conn.Write([]byte("request"))
		written <- err
	}()
	_, err := conn.Read(make([]byte, 1))
	assert.Equal(t, err, io.EOF)
	assert.ErrorIs(t, <-written, os.ErrDeadlineExceeded)
}
