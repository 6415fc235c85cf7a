package pool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"cactusline.dev/cactusline/internal/conn/http1"
	"cactusline.dev/cactusline/internal/conn/sock"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults of Config.
const (
	// DefaultDialTimeout leaves time to try a second target within the latency
	// objective of short requests. A connection across failure domains takes 12
	// ms.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultIdleTimeout is how long an idle connection may be reused if the
	// target does not say how long it keeps it.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultDeadPeerTimeout is how long sent data may stay unacknowledged and
	// keep-alive probes unanswered. Four consecutive packet losses, at a
	// retransmission timeout of 200 ms that doubles, stay below it.
	DefaultDeadPeerTimeout = 2 * time.Second
)

// keepAliveProbeInterval is the interval of the TCP keep-alive probes to a peer
// that sends nothing.
const keepAliveProbeInterval = 500 * time.Millisecond

// Clock provides the time.
type Clock interface {
	Now() time.Time
}

// Config configures a Pool. Only Clock is required.
type Config struct {
	Clock           Clock
	DialTimeout     time.Duration
	IdleTimeout     time.Duration
	DeadPeerTimeout time.Duration
}

// Pool keeps idle connections by target address. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	dialer net.Dialer

	mu         sync.Mutex
	idle       map[string][]*Conn
	connCounts map[string]int
	// safeIdleTime is the idle time up to which connections are expected to be
	// still open. Unrepeatable requests use no connection that has been idle
	// for longer.
	safeIdleTime time.Duration
}

// DialError reports that no connection to a target could be established, so
// that nothing was sent to it.
type DialError struct {
	Address string
	Err     error
}

// Error implements the error interface.
func (e *DialError) Error() string { return fmt.Sprintf("connect to target %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

var (
	dialsMade     = metrics.NewCounter(`cactusline_target_connections_total{result="made"}`)
	dialsFailed   = metrics.NewCounter(`cactusline_target_connections_total{result="failed"}`)
	connsStale    = metrics.NewCounter(`cactusline_target_connections_total{result="stale"}`)
	connsReused   = metrics.NewCounter(`cactusline_target_connections_total{result="reused"}`)
	connsLostIdle = metrics.NewCounter(`cactusline_target_connections_total{result="lost-idle"}`)
	dialSeconds   = metrics.NewSummary(`cactusline_target_connect_seconds`)
)

// New returns an empty Pool.
func New(cfg Config) *Pool {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.DeadPeerTimeout == 0 {
		cfg.DeadPeerTimeout = DefaultDeadPeerTimeout
	}
	p := &Pool{cfg: cfg, safeIdleTime: cfg.IdleTimeout, idle: make(map[string][]*Conn), connCounts: make(map[string]int)}
	p.dialer = net.Dialer{
		Timeout:         cfg.DialTimeout,
		KeepAliveConfig: keepAliveConfig(cfg.DeadPeerTimeout),
		Control:         sock.DialControl(cfg.DeadPeerTimeout),
	}
	return p
}

func keepAliveConfig(deadPeerTimeout time.Duration) net.KeepAliveConfig {
	count := int(deadPeerTimeout / keepAliveProbeInterval)
	return net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: keepAliveProbeInterval, Count: max(1, count)}
}

// Use describes what a connection is used for.
type Use struct {
	// Unrepeatable requests use no connection that has been idle for longer than
	// safeIdleTime, since it might be lost.
	Unrepeatable bool
	// Request is the ID by which the response is matched, empty if it isn't. It uses no
	// connection that has carried a request with the same ID, since a target may send the
	// response to that once more.
	Request ident.RequestID
}

// Get returns a connection to address: an idle one that the target should still keep and
// that suits the use, or else a new one. Errors are of type *DialError.
func (p *Pool) Get(ctx context.Context, address string, use Use) (*Conn, error) {
	for {
		c := p.takeIdle(address, use)
		if c == nil {
			var err error
			if c, err = p.dial(ctx, address); err != nil {
				return nil, err
			}
			c.recordRequest(use.Request)
			return c, nil
		}
		if stillIdle(c.Conn) {
			c.recordRequest(use.Request)
			c.Reused = true
			connsReused.Inc()
			return c, nil
		}
		connsStale.Inc()
		c.Discard()
	}
}

// takeIdle removes and returns the most recently used idle connection that suits the use,
// nil if there is none that may be reused.
func (p *Pool) takeIdle(address string, use Use) *Conn {
	now := p.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	index := len(conns) - 1
	for index >= 0 && conns[index].hasCarried(use.Request) {
		index--
	}
	if index < 0 {
		return nil
	}
	c := conns[index]
	idle := now.Sub(c.idleSince)
	if idle > p.maxIdleTime(c) {
		// The connections before it have been idle for even longer, and are assumed to
		// have the same keep-alive timeout.
		p.idle[address] = slices.Clone(conns[index+1:])
		for _, stale := range conns[:index+1] {
			_ = stale.Close()
			p.connCounts[address]--
		}
		return nil
	}
	if use.Unrepeatable && idle > p.safeIdleTime {
		return nil
	}
	c.idleTime = idle
	p.idle[address] = slices.Delete(conns, index, index+1)
	return c
}

// maxIdleTime returns how long an idle connection may be reused. It is shorter
// than the target's keep-alive timeout, so that a request sent at the limit
// arrives before the target closes the connection.
func (p *Pool) maxIdleTime(c *Conn) time.Duration {
	if c.keepAliveTimeout > 0 {
		return c.keepAliveTimeout * keepAliveTenths / 10
	}
	return p.cfg.IdleTimeout
}

// keepAliveTenths is the part of the target's keep-alive timeout, in tenths,
// for which an idle connection may be reused.
const keepAliveTenths = 8

// recordReuseSuccess raises safeIdleTime halfway to idleTime, after which a
// connection was still open.
func (p *Pool) recordReuseSuccess(idleTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idleTime > p.safeIdleTime {
		p.safeIdleTime += (idleTime - p.safeIdleTime) / 2
	}
}

// recordReuseFailure lowers safeIdleTime to half of idleTime, after which a
// connection was lost, so that unrepeatable requests avoid such idle times.
func (p *Pool) recordReuseFailure(idleTime time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.safeIdleTime = min(p.safeIdleTime, idleTime/2)
	connsLostIdle.Inc()
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	start := p.cfg.Clock.Now()
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		dialsFailed.Inc()
		return nil, &DialError{Address: address, Err: err}
	}
	dialsMade.Inc()
	dialSeconds.Update(p.cfg.Clock.Now().Sub(start).Seconds())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connCounts[address]++
	socket := sock.NewConn(conn)
	return &Conn{Conn: socket, reader: http1.NewReader(socket), pool: p, Address: address}, nil
}

// Probe returns nil if address accepts a connection, which is then kept for a later
// request, and a *DialError otherwise.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.dial(ctx, address)
	if err != nil {
		return err
	}
	p.putIdle(c)
	return nil
}

func (p *Pool) putIdle(c *Conn) {
	c.idleSince = p.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.Address] = append(p.idle[c.Address], c)
}

// removeConn removes c from the count of connections to its address.
func (p *Pool) removeConn(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.connCounts[c.Address]--; p.connCounts[c.Address] <= 0 {
		delete(p.connCounts, c.Address)
	}
}

// CloseIdleExcept closes the idle connections to all addresses but those in
// keep.
func (p *Pool) CloseIdleExcept(keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		if keep[address] {
			continue
		}
		for _, c := range conns {
			_ = c.Close()
		}
		p.connCounts[address] -= len(conns)
		delete(p.idle, address)
	}
}

// ConnCount returns the number of connections to address, idle or in use.
func (p *Pool) ConnCount(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCounts[address]
}

// stillIdle reports whether the peer has neither closed an idle connection nor
// sent unsolicited data on it.
func stillIdle(conn net.Conn) bool {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	noData := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		noData = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && noData
}
