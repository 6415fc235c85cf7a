package guard

import "time"

// maxWriteBytes is the size of the pieces in which a write is made. A caller that takes
// one in graceAge is not blocked.
const maxWriteBytes = 16 << 10

// Write implements net.Conn. Each piece has a deadline of its own, so that a long response
// may take as long as its caller reads.
func (c *Conn) Write(p []byte) (int, error) {
	defer c.endWrite()
	written := 0
	for {
		piece := p[written:min(len(p), written+maxWriteBytes)]
		c.beginWrite()
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

func (c *Conn) beginWrite() {
	now := c.budget.cfg.Clock.Now()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.budget.cfg.WriteTimeout > 0 && !c.cut {
		_ = c.Conn.SetWriteDeadline(now.Add(c.budget.cfg.WriteTimeout))
	}
	c.activeAt, c.writeSince = now, now
}

func (c *Conn) endWrite() {
	now := c.budget.cfg.Clock.Now()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.activeAt, c.writeSince = now, time.Time{}
}

// SetWriteDeadline implements net.Conn. It does nothing once a blocked write has been told
// to give way.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.cut {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}
