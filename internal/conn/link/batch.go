package link

import (
	"net"
	"sync"
	"time"
)

const (
	// batchLimitBytes bounds what waits to be written; more blocks.
	batchLimitBytes = 256 << 10
	// drainTimeout bounds the writing of what waits when a connection closes.
	drainTimeout = 100 * time.Millisecond
)

// batchConn gathers small writes, such as a frame's header and its body, into
// one write to the connection below, which then makes one segment of them. It
// adds no delay of its own: what has gathered while a write was under way goes
// next.
type batchConn struct {
	net.Conn
	clock Clock

	mu      sync.Mutex
	changed *sync.Cond
	pending []byte
	spare   []byte
	err     error
	closing bool
	done    chan struct{}
}

func newBatchConn(conn net.Conn, clock Clock) *batchConn {
	c := &batchConn{Conn: conn, clock: clock, done: make(chan struct{})}
	c.changed = sync.NewCond(&c.mu)
	go c.flush()
	return c
}

// Write implements net.Conn. An error of an earlier write is returned by a
// later one.
func (c *batchConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) > batchLimitBytes && c.err == nil && !c.closing {
		c.changed.Wait()
	}
	if c.err != nil {
		return 0, c.err
	}
	if c.closing {
		return 0, net.ErrClosed
	}
	c.pending = append(c.pending, p...)
	c.changed.Broadcast()
	return len(p), nil
}

// Close implements net.Conn. What waits is written first, if that is quick.
func (c *batchConn) Close() error {
	c.mu.Lock()
	c.closing = true
	c.changed.Broadcast()
	c.mu.Unlock()
	_ = c.SetWriteDeadline(c.clock.Now().Add(drainTimeout))
	<-c.done
	return c.Conn.Close()
}

// flush writes what gathers until the connection closes or fails.
func (c *batchConn) flush() {
	defer close(c.done)
	for {
		batch, ok := c.take()
		if !ok {
			return
		}
		_, err := c.Conn.Write(batch)
		c.mu.Lock()
		c.spare = batch[:0]
		c.err = err
		c.changed.Broadcast()
		c.mu.Unlock()
		if err != nil {
			_ = c.Conn.Close()
			return
		}
	}
}

// take waits for something to write and returns it, false once there is
// nothing left and the connection closes.
func (c *batchConn) take() ([]byte, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.pending) == 0 {
		if c.closing {
			return nil, false
		}
		c.changed.Wait()
	}
	batch := c.pending
	c.pending = c.spare
	c.spare = nil
	return batch, true
}
