package pool

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/sys/unix"

	"cactusline.dev/cactusline/internal/conn/sock"
)

// Defaults of Config.
const (
	// DefaultDialTimeout leaves time for a second target within the objective
	// of short requests; a connection across failure domains takes 12 ms.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultKeep is how long an idle connection is used where the target does
	// not say how long it keeps it.
	DefaultKeep = 4 * time.Second
	// DefaultDeadPeer is how long sent bytes may stay without acknowledgement,
	// and a silent peer without answer to probes. Four lost packets in a row, at
	// a retransmission timeout of 200 ms that doubles, stay below it.
	DefaultDeadPeer = 2 * time.Second
)

// probeInterval is the time between probes of a peer that sends nothing.
const probeInterval = 500 * time.Millisecond

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// Config makes a Pool. Only Clock is required.
type Config struct {
	Clock       Clock
	DialTimeout time.Duration
	Keep        time.Duration
	DeadPeer    time.Duration
}

// Pool keeps idle connections by the address of their target. It is safe for
// concurrent use.
type Pool struct {
	cfg    Config
	dialer net.Dialer

	mu     sync.Mutex
	idle   map[string][]*Conn
	counts map[string]int
	// safe is the idle time up to which targets were seen to keep connections.
	safe time.Duration
}

// DialError says that no connection to a target could be had, so that nothing
// was sent to it.
type DialError struct {
	Address string
	Err     error
}

// Error gives the cause.
func (e *DialError) Error() string { return fmt.Sprintf("connect to target %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

var (
	dialed   = metrics.NewCounter(`cactusline_target_connections_total{result="made"}`)
	failed   = metrics.NewCounter(`cactusline_target_connections_total{result="failed"}`)
	stale    = metrics.NewCounter(`cactusline_target_connections_total{result="stale"}`)
	reuses   = metrics.NewCounter(`cactusline_target_connections_total{result="reused"}`)
	lostIdle = metrics.NewCounter(`cactusline_target_connections_total{result="lost-idle"}`)
	dialing  = metrics.NewSummary(`cactusline_target_connect_seconds`)
)

// New returns an empty pool.
func New(cfg Config) *Pool {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.Keep == 0 {
		cfg.Keep = DefaultKeep
	}
	if cfg.DeadPeer == 0 {
		cfg.DeadPeer = DefaultDeadPeer
	}
	p := &Pool{cfg: cfg, safe: cfg.Keep, idle: make(map[string][]*Conn), counts: make(map[string]int)}
	p.dialer = net.Dialer{
		Timeout:         cfg.DialTimeout,
		KeepAliveConfig: probes(cfg.DeadPeer),
		Control:         sock.Control(cfg.DeadPeer),
	}
	return p
}

func probes(deadPeer time.Duration) net.KeepAliveConfig {
	count := int(deadPeer / probeInterval)
	return net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: probeInterval, Count: max(1, count)}
}

// Get returns a connection to address: an idle one that the target should still
// keep, or else a new one. For a request that can't be sent again, careful
// leaves out those that have been idle for as long as others that were lost.
// Errors are *DialError.
func (p *Pool) Get(ctx context.Context, address string, careful bool) (*Conn, error) {
	for {
		c := p.take(address, careful)
		if c == nil {
			return p.dial(ctx, address)
		}
		if silent(c.Conn) {
			c.Reused = true
			reuses.Inc()
			return c, nil
		}
		stale.Inc()
		c.Discard()
	}
}

// take returns the idle connection that was used last, nil if there is none.
func (p *Pool) take(address string, careful bool) *Conn {
	now := p.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	idle := now.Sub(c.idleSince)
	if idle > p.usable(c) {
		// Those below it have been idle for longer.
		delete(p.idle, address)
		for _, old := range list {
			_ = old.Close()
			p.counts[address]--
		}
		return nil
	}
	if careful && idle > p.safe {
		return nil
	}
	c.idled = idle
	p.idle[address] = list[:len(list)-1]
	return c
}

// usable is how long an idle connection is used again. What is left of the
// target's promise is time for a request to get there.
func (p *Pool) usable(c *Conn) time.Duration {
	if c.keep > 0 {
		return c.keep * keptPart / 10
	}
	return p.cfg.Keep
}

// keptPart is the tenths of the time that a target promises to keep a
// connection in which it is used again.
const keptPart = 8

// kept notes that a connection was still there after it had been idle, and lost
// that it was not, so that careful requests keep off such idle times.
func (p *Pool) kept(idled time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if idled > p.safe {
		p.safe += (idled - p.safe) / 2
	}
}

func (p *Pool) lost(idled time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.safe = min(p.safe, idled/2)
	lostIdle.Inc()
}

func (p *Pool) dial(ctx context.Context, address string) (*Conn, error) {
	began := p.cfg.Clock.Now()
	conn, err := p.dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		failed.Inc()
		return nil, &DialError{Address: address, Err: err}
	}
	dialed.Inc()
	dialing.Update(p.cfg.Clock.Now().Sub(began).Seconds())
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[address]++
	return &Conn{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), pool: p, Address: address}, nil
}

func (p *Pool) put(c *Conn) {
	c.idleSince = p.cfg.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.Address] = append(p.idle[c.Address], c)
}

func (p *Pool) forget(c *Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts[c.Address]--; p.counts[c.Address] <= 0 {
		delete(p.counts, c.Address)
	}
}

// CloseIdleExcept closes the idle connections to addresses that are not kept.
func (p *Pool) CloseIdleExcept(keep map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		if keep[address] {
			continue
		}
		for _, c := range list {
			_ = c.Close()
		}
		p.counts[address] -= len(list)
		delete(p.idle, address)
	}
}

// Conns returns the number of connections to address, idle or not.
func (p *Pool) Conns(address string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts[address]
}

// silent reports whether an idle connection has neither been closed by its
// peer nor brought bytes that nobody asked for.
func silent(conn net.Conn) bool {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}
