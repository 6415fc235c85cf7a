package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/wire"
)

const clientShards = 16

// Config makes a Client.
type Config struct {
	// Clock times patience; required.
	Clock Clock
	// TLS secures every session when set.
	TLS *tls.Config
	// Caller names this process in its calls.
	Caller string
	// DialTimeout bounds one connection set-up.
	DialTimeout time.Duration
	// PatienceInterval is how long a caller waits before it pings.
	PatienceInterval time.Duration
	// PingTimeout bounds a ping and a blocked write.
	PingTimeout time.Duration
	// Sessions is how many TCP connections are kept to one peer.
	Sessions int
}

// Client opens calls to other processes over shared sessions. It is safe for
// use by several goroutines.
type Client struct {
	cfg    Config
	turn   atomic.Uint64
	shards [clientShards]clientShard
}

type clientShard struct {
	mu    sync.Mutex
	peers map[string]*peer
}

// peer holds the sessions to one address. Each slot has its own lock, so that
// a slow dial holds up only those who need that slot.
type peer struct {
	slots []slot
}

type slot struct {
	mu      sync.Mutex
	session *yamux.Session
}

// NewClient returns a client.
func NewClient(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.PatienceInterval == 0 {
		cfg.PatienceInterval = DefaultPatienceInterval
	}
	if cfg.PingTimeout == 0 {
		cfg.PingTimeout = DefaultPingTimeout
	}
	if cfg.Sessions == 0 {
		cfg.Sessions = DefaultSessions
	}
	c := &Client{cfg: cfg}
	for i := range c.shards {
		c.shards[i].peers = make(map[string]*peer)
	}
	return c
}

// Open starts a call at address. An error that is a *DialError means that
// nothing was sent; after any other one the peer may have the call.
func (c *Client) Open(ctx context.Context, address string, call *wire.Call) (*Stream, error) {
	stream, err := c.stream(ctx, address)
	if err != nil {
		return nil, &DialError{Address: address, Err: err}
	}
	call.Protocol = wire.Protocol
	call.Caller = c.cfg.Caller
	if err := stream.Send(call); err != nil {
		_ = stream.Close()
		return nil, fmt.Errorf("call %s: %w", address, err)
	}
	return stream, nil
}

// Ask makes a call that has one answer, read into reply.
func (c *Client) Ask(ctx context.Context, address string, call *wire.Call, reply proto.Message) error {
	stream, err := c.Open(ctx, address, call)
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	defer func() { _ = stream.Close() }()
	stop := c.Guard(ctx, stream)
	defer stop()
	if err := stream.Receive(reply); err != nil {
		return fmt.Errorf("ask %s: %w", address, err)
	}
	return nil
}

// Guard watches a stream that somebody waits on: it aborts the stream when
// ctx ends, and pings the session each PatienceInterval. The function that it
// returns ends the watch.
func (c *Client) Guard(ctx context.Context, stream *Stream) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				stream.Abort()
				return
			case <-c.cfg.Clock.After(c.cfg.PatienceInterval):
				stream.verify()
			}
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// Close ends every session.
func (c *Client) Close() error {
	for i := range c.shards {
		c.shards[i].close()
	}
	return nil
}

func (s *clientShard) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.peers {
		p.close()
	}
	clear(s.peers)
}

func (p *peer) close() {
	for i := range p.slots {
		p.slots[i].mu.Lock()
		if p.slots[i].session != nil {
			_ = p.slots[i].session.Close()
		}
		p.slots[i].mu.Unlock()
	}
}

func (c *Client) stream(ctx context.Context, address string) (*Stream, error) {
	p := c.peer(address)
	index := c.turn.Add(1) % uint64(len(p.slots))
	session, err := p.slots[index].open(ctx, address, c.cfg)
	if err != nil {
		return nil, err
	}
	conn, err := session.OpenStream()
	if err != nil {
		_ = session.Close()
		return nil, fmt.Errorf("open stream: %w", err)
	}
	return newStream(conn, session), nil
}

func (c *Client) peer(address string) *peer {
	shard := &c.shards[shardOf(address)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	p, ok := shard.peers[address]
	if !ok {
		p = &peer{slots: make([]slot, c.cfg.Sessions)}
		shard.peers[address] = p
	}
	return p
}

func (s *slot) open(ctx context.Context, address string, cfg Config) (*yamux.Session, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != nil && !s.session.IsClosed() {
		return s.session, nil
	}
	conn, err := dial(ctx, address, cfg.TLS, cfg.DialTimeout)
	if err != nil {
		return nil, err
	}
	session, err := yamux.Client(newBatchConn(conn, cfg.Clock), sessionConfig(cfg.PingTimeout))
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("start session: %w", err)
	}
	s.session = session
	return session, nil
}
