package guard

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"cactusline.dev/cactusline/internal/conn/sock"
)

// Costs of a head in net/http, which keeps each line as a string and an entry of a table.
const (
	headByteCost = 3
	headLineCost = 256
	// encryptedByteCost covers the lines that can't be counted below TLS.
	encryptedByteCost = 40
)

// phase is what a connection is doing.
type phase int

const (
	// phaseIdle is before the first byte of a request.
	phaseIdle phase = iota
	phaseHead
	phaseBody
	// phaseRunning is while the request is being served.
	phaseRunning
	// phaseEnding is after the handler has returned, while net/http still discards the rest
	// of the body and writes the rest of the response.
	phaseEnding
	// phaseLink is that of a session of another process, which nothing is charged to.
	phaseLink
)

// linkSilence is how long a session may be silent before it can be closed for another
// one. The processes ping each other more often.
const linkSilence = 10 * time.Second

// Conn is a guarded connection of a caller.
type Conn struct {
	net.Conn
	budget *Budget
	close  sync.Once

	// The following are guarded by budget.mu.
	phase phase
	// since is when the request began, received its bytes so far, and activeAt when the
	// last bytes came or went.
	since, activeAt time.Time
	received        int64
	// writeSince is when the write that goes on began, zero if there is none.
	writeSince                  time.Time
	requestBytes, responseBytes int64
	waiting                     bool
	// leaving is set once the connection has been told to give way, for good.
	// leavingBytes is what it held then.
	leaving      bool
	leavingBytes int64
	// answered is set once the last response has been written.
	answered bool
	// cut is set once a blocked write has been told to give way.
	cut bool
}

// listener wraps the connections that it accepts.
type listener struct {
	net.Listener
	budget *Budget
	phase  phase
}

// Listener returns a listener whose connections draw on the budget.
func (b *Budget) Listener(inner net.Listener) net.Listener {
	return &listener{Listener: inner, budget: b}
}

// Links returns a listener for the sessions of other processes, of which only the number
// is bounded.
func (b *Budget) Links(inner net.Listener) net.Listener {
	return &listener{Listener: inner, budget: b, phase: phaseLink}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if guarded := l.budget.guard(conn, l.phase); guarded != nil {
			return guarded, nil
		}
	}
}

// Guard returns a connection that draws on the budget. It closes the connection and
// returns nil if there are too many and none can give way.
func (b *Budget) Guard(conn net.Conn) *Conn { return b.guard(conn, phaseIdle) }

func (b *Budget) guard(conn net.Conn, begin phase) *Conn {
	c := &Conn{Conn: conn, budget: b, activeAt: b.cfg.Clock.Now(), phase: begin}
	if count := b.admit(c); count > 0 {
		size := kernelBytes
		if count > b.maxConns/crowdedPart {
			size = crowdedKernelBytes
		}
		if begin != phaseLink {
			// If this fails, the connection has broken, or keeps the buffers of the system.
			_ = sock.SetBuffers(conn, size)
		}
		return c
	}
	if begin != phaseLink {
		c.writeRefusal(http.StatusServiceUnavailable)
	}
	_ = conn.Close()
	return nil
}

// ConnContext stores a connection in the context of its requests; see
// http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	if inner, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = inner.NetConn()
	}
	return context.WithValue(ctx, connKey{}, conn)
}

// ConnState records when a connection waits for its next request; see
// http.Server.ConnState. A server of guarded connections must have it.
func ConnState(conn net.Conn, state http.ConnState) {
	if inner, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = inner.NetConn()
	}
	c, ok := conn.(*Conn)
	if !ok || state != http.StateIdle {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.phase = phaseIdle
}

// Read implements net.Conn. It charges the bytes and lines of heads as they arrive. If
// the budget is used up, it writes a refusal and returns an error.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	inHead, leaving := c.recordRead(n)
	if !inHead {
		return n, err
	}
	status := http.StatusRequestTimeout
	if !leaving && n > 0 {
		if chargeErr := c.budget.chargeRequest(c, c.headCost(p[:n])); chargeErr == nil {
			return n, err
		} else if errors.Is(chargeErr, ErrFull) {
			status = http.StatusServiceUnavailable
		}
	} else if !leaving {
		return n, err
	}
	c.writeRefusal(status)
	_ = c.CloseWrite()
	_, _ = io.CopyN(io.Discard, c.Conn, maxUnreadBytes)
	return 0, &net.OpError{Op: "read", Net: "tcp", Err: ErrFull}
}

// recordRead records that n bytes arrived. It reports whether they belong to a head, and
// whether the connection has been told to give way.
func (c *Conn) recordRead(n int) (inHead, leaving bool) {
	now := c.budget.cfg.Clock.Now()
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if n > 0 {
		c.activeAt = now
		if c.phase == phaseIdle {
			c.phase, c.since, c.received = phaseHead, now, 0
		}
		c.received += int64(n)
	}
	return c.phase == phaseHead, c.leaving
}

// headCost returns what a part of a head is charged.
func (c *Conn) headCost(part []byte) int64 {
	if c.budget.cfg.Encrypted {
		return int64(len(part)) * encryptedByteCost
	}
	return int64(len(part))*headByteCost + int64(bytes.Count(part, []byte{'\n'}))*headLineCost
}

const (
	// refusalTimeout bounds the write of a refusal, and maxUnreadBytes what is read after
	// it: closing a connection with unread bytes would reset it before the caller has the
	// refusal.
	refusalTimeout = 100 * time.Millisecond
	maxUnreadBytes = 64 << 10
)

// writeRefusal writes the response to a request whose head is incomplete.
func (c *Conn) writeRefusal(status int) {
	if c.budget.cfg.Encrypted {
		return
	}
	retryAfter := ""
	if status == http.StatusServiceUnavailable {
		retryAfter = "Retry-After: 1\r\n"
	}
	_ = c.SetDeadline(c.budget.cfg.Clock.Now().Add(refusalTimeout))
	// The caller may have disconnected.
	_, _ = fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status), retryAfter)
}

// CloseWrite closes the writing side, as net/http does before it closes a connection
// whose request it has not read to the end.
func (c *Conn) CloseWrite() error {
	c.setAnswered()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func (c *Conn) setAnswered() {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.answered = true
	c.budget.signal()
}

// SetReadDeadline implements net.Conn. It does nothing once the connection has been told
// to give way.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.leaving {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.close.Do(func() { c.budget.remove(c) })
	return err
}

// BeginRun marks the request as complete: from now on it is not told to give way while it
// waits. It returns ErrGaveWay if that has happened before, and the request must not run.
func (c *Conn) BeginRun() error { return c.enter(phaseRunning) }

// BeginBody marks the request as one whose body is read.
func (c *Conn) BeginBody() error { return c.enter(phaseBody) }

func (c *Conn) enter(next phase) error {
	if c == nil {
		return nil
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	if c.leaving {
		return ErrGaveWay
	}
	if c.phase == phaseIdle {
		// The head came with the request before it.
		c.since, c.received = c.budget.cfg.Clock.Now(), 0
	}
	c.phase = next
	return nil
}

// EndRequest gives back what the request and its response hold. The response may not have
// been written yet.
func (c *Conn) EndRequest() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.phase, c.since, c.received = phaseEnding, c.budget.cfg.Clock.Now(), 0
	c.activeAt = c.since
	c.budget.release(c)
}

// ChargeResponse charges n bytes of a buffered response.
func (c *Conn) ChargeResponse(n int) error {
	if c == nil {
		return nil
	}
	return c.budget.chargeResponse(c, int64(n))
}

// ReleaseResponse gives back n bytes of a buffered response.
func (c *Conn) ReleaseResponse(n int) {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.responseBytes -= int64(n)
	c.budget.responses -= int64(n)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if inner, ok := c.Conn.(syscall.Conn); ok {
		return inner.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// isSilent reports whether the connection is idle, has an incomplete request or may give
// way. The caller must hold budget.mu.
func (c *Conn) isSilent(now time.Time) bool {
	if c.phase == phaseLink {
		return c.received == 0 || now.Sub(c.activeAt) >= linkSilence
	}
	if c.writeSince.IsZero() && (c.phase < phaseRunning || c.phase == phaseEnding && now.Sub(c.since) >= graceAge) {
		return true
	}
	return c.mayGiveWay(now)
}

// held returns what the connection holds, apart from itself.
func (c *Conn) held() int64 { return c.requestBytes + c.responseBytes }

// sizeClass is 0 for connections that hold much, which give way first, and otherwise 1.
func (c *Conn) sizeClass() int {
	if c.held() > smallBytes {
		return 0
	}
	return 1
}

// mayGiveWay reports whether the connection has an incomplete request, or a write that is
// blocked, for at least graceAge. The caller must hold budget.mu.
func (c *Conn) mayGiveWay(now time.Time) bool {
	if c.leaving || c.phase == phaseLink {
		return false
	}
	if !c.writeSince.IsZero() {
		return now.Sub(c.writeSince) >= graceAge
	}
	return (c.phase == phaseHead || c.phase == phaseBody) && now.Sub(c.since) >= graceAge
}

// speed returns the bytes per second that the request brought since it began. A blocked
// write has none. The caller must hold budget.mu.
func (c *Conn) speed(now time.Time) float64 {
	if !c.writeSince.IsZero() {
		return 0
	}
	return float64(c.received) / now.Sub(c.since).Seconds()
}

// giveWay tells the connection to give way: its reads and blocked writes fail. A
// connection without a request is closed. The caller must hold budget.mu.
func (c *Conn) giveWay(now time.Time) {
	c.leaving, c.leavingBytes = true, c.held()
	c.budget.leaving += c.leavingBytes
	switch {
	case c.writeSince.IsZero() && (c.phase == phaseIdle || c.phase == phaseEnding), c.phase == phaseLink:
		c.drop()
	case !c.writeSince.IsZero():
		c.cut = true
		_ = c.SetDeadline(now)
	default:
		_ = c.Conn.SetReadDeadline(now)
	}
}

// drop closes a connection without a request, or with one that is answered. net/http keeps
// the latter for a while, so that the caller gets the answer. The caller must hold
// budget.mu.
func (c *Conn) drop() {
	_ = c.Conn.Close()
	delete(c.budget.conns, c)
}
