package tunnel

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

const (
	// openTimeout bounds the set-up of a session: four times the round trip
	// between regions.
	openTimeout = 500 * time.Millisecond
	// firstPause is until an address that did not answer is tried again; it
	// doubles up to lastPause, since some targets have no process beside them.
	firstPause = time.Second
	lastPause  = time.Minute
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Client holds sessions to the processes beside targets.
type Client struct {
	clock     Clock
	port      string
	transport *quic.Transport
	secrets   *tls.Config

	mu       sync.Mutex
	sessions map[string]*session
}

// session is the way to one VM.
type session struct {
	conn    *quic.Conn
	opening bool
	// next is when it may be tried again, and pause the wait after that.
	next  time.Time
	pause time.Duration
}

// NewClient returns a client that sends from conn to a port.
func NewClient(clock Clock, conn net.PacketConn, port string) (*Client, error) {
	secrets, err := SelfSigned()
	if err != nil {
		return nil, err
	}
	return &Client{
		clock: clock, port: port, secrets: secrets,
		transport: &quic.Transport{Conn: plainConn{conn}},
		sessions:  make(map[string]*session),
	}, nil
}

// Open returns a connection to a target, nil while there is no session to the
// process beside it; one is then set up for the next time.
func (c *Client) Open(address string) net.Conn {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	live := c.session(host)
	if live == nil {
		return nil
	}
	stream, err := live.OpenStream()
	if err != nil {
		return nil
	}
	return &Conn{Stream: stream, session: live}
}

func (c *Client) session(host string) *quic.Conn {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sessions[host]
	if s == nil {
		s = &session{pause: firstPause}
		c.sessions[host] = s
	}
	if s.conn != nil && s.conn.Context().Err() == nil {
		return s.conn
	}
	if !s.opening && !now.Before(s.next) {
		s.opening = true
		go c.open(host, s)
	}
	return nil
}

func (c *Client) open(host string, s *session) {
	ctx, cancel := context.WithTimeout(context.Background(), openTimeout)
	defer cancel()
	conn, err := c.connect(ctx, host)
	c.mu.Lock()
	defer c.mu.Unlock()
	s.opening = false
	s.conn = conn
	if err != nil {
		s.conn = nil
		s.next = c.clock.Now().Add(s.pause)
		s.pause = min(lastPause, 2*s.pause)
		return
	}
	s.pause = firstPause
}

func (c *Client) connect(ctx context.Context, host string) (*quic.Conn, error) {
	address, err := net.ResolveUDPAddr("udp", net.JoinHostPort(host, c.port))
	if err != nil {
		return nil, fmt.Errorf("address of tunnel: %w", err)
	}
	conn, err := c.transport.Dial(ctx, address, c.secrets, config())
	if err != nil {
		return nil, fmt.Errorf("open tunnel to %s: %w", host, err)
	}
	return conn, nil
}

// Conn is a connection to a target over a tunnel.
type Conn struct {
	*quic.Stream
	session *quic.Conn
}

// Close drops the connection.
func (c *Conn) Close() error {
	c.CancelRead(codeLeft)
	c.CancelWrite(codeLeft)
	return nil
}

// LocalAddr and RemoteAddr implement net.Conn.
func (c *Conn) LocalAddr() net.Addr  { return c.session.LocalAddr() }
func (c *Conn) RemoteAddr() net.Addr { return c.session.RemoteAddr() }

// Live reports whether the session still stands.
func (c *Conn) Live() bool {
	return c.session.Context().Err() == nil && c.Stream.Context().Err() == nil
}
