package tunnel

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/quic-go/quic-go"
)

const (
	// openTimeout bounds the set-up of a session: many times the round trip
	// between failure domains, with room for one lost packet.
	openTimeout = 600 * time.Millisecond
	// firstPause is until a VM that did not answer is tried again; it doubles up
	// to lastPause, since some targets have no process beside them.
	firstPause = 500 * time.Millisecond
	lastPause  = 30 * time.Second
	// keepInterval is between two looks for VMs without a session.
	keepInterval = 250 * time.Millisecond
	// opensAtOnce bounds the set-ups of one look, each of which takes a signature.
	opensAtOnce = 8
	// maxSessions bounds the VMs that sessions are kept to: their memory, and the
	// signs of life that each needs. Others are reached by TCP.
	maxSessions = 64
)

var (
	opened = metrics.NewCounter(`cactusline_tunnel_sessions_total{result="opened"}`)
	failed = metrics.NewCounter(`cactusline_tunnel_sessions_total{result="failed"}`)
	used   = metrics.NewCounter(`cactusline_tunnel_connections_total`)
)

// Clock is what the package needs of a clock.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Client keeps sessions to the processes beside targets.
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

// live reports whether the session stands.
func (s *session) live() bool { return s.conn != nil && s.conn.Context().Err() == nil }

// NewClient returns a client that sends from conn to a port. Run keeps its
// sessions.
func NewClient(clock Clock, conn net.PacketConn, port string) (*Client, error) {
	secrets, err := selfSigned()
	if err != nil {
		return nil, err
	}
	return &Client{
		clock: clock, port: port, secrets: secrets,
		transport: &quic.Transport{Conn: plainConn{conn}},
		sessions:  make(map[string]*session),
	}, nil
}

// Run keeps sessions until ctx ends.
func (c *Client) Run(ctx context.Context) {
	for c.clock.Sleep(ctx, keepInterval) == nil {
		for _, host := range c.due() {
			go c.open(ctx, host)
		}
	}
	_ = c.transport.Close() // the process ends
}

// Keep names the addresses of all targets.
func (c *Client) Keep(addresses map[string]bool) {
	hosts := make([]string, 0, len(addresses))
	for address := range addresses {
		if host, _, err := net.SplitHostPort(address); err == nil {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	hosts = slices.Compact(hosts)
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, s := range c.sessions {
		if _, found := slices.BinarySearch(hosts, host); found {
			continue
		}
		delete(c.sessions, host)
		if s.live() {
			_ = s.conn.CloseWithError(codeIdle, "the target is no longer listed")
		}
	}
	for _, host := range hosts {
		if c.sessions[host] == nil {
			c.sessions[host] = &session{pause: firstPause}
		}
	}
}

// due returns the hosts to which a session is to be set up now.
func (c *Client) due() []string {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []string
	busy := 0
	for host, s := range c.sessions {
		switch {
		case s.opening || s.live():
			busy++
		case !now.Before(s.next):
			list = append(list, host)
		}
	}
	list = list[:max(0, min(len(list), opensAtOnce, maxSessions-busy))]
	for _, host := range list {
		c.sessions[host].opening = true
	}
	return list
}

func (c *Client) open(ctx context.Context, host string) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	conn, err := c.connect(ctx, host)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sessions[host]
	if s == nil {
		if err == nil {
			_ = conn.CloseWithError(codeIdle, "the target is no longer listed")
		}
		return
	}
	s.opening = false
	if err != nil {
		failed.Inc()
		s.next = c.clock.Now().Add(s.pause)
		s.pause = min(lastPause, 2*s.pause)
		return
	}
	opened.Inc()
	s.conn = conn
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

// Open returns a connection to a target, nil where no session stands.
func (c *Client) Open(address string) net.Conn {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	c.mu.Lock()
	s := c.sessions[host]
	live := s != nil && s.live()
	c.mu.Unlock()
	if !live {
		return nil
	}
	stream, err := s.conn.OpenStream()
	if err != nil {
		return nil
	}
	used.Inc()
	return &Conn{Stream: stream, session: s.conn}
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

// LocalAddr implements net.Conn.
func (c *Conn) LocalAddr() net.Addr { return c.session.LocalAddr() }

// RemoteAddr implements net.Conn.
func (c *Conn) RemoteAddr() net.Addr { return c.session.RemoteAddr() }

// Live reports whether an idle connection still stands.
func (c *Conn) Live() bool {
	return c.session.Context().Err() == nil && c.Stream.Context().Err() == nil
}
