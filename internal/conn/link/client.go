package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

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
	// DeadPeerTimeout is how long sent bytes may stay without acknowledgement before a
	// session ends; 0 leaves that to the system. After a cut, a connection that
	// the system still keeps sends again only after ever longer pauses.
	DeadPeerTimeout time.Duration
	// SessionsPerPeer is how many TCP connections are kept to one peer.
	SessionsPerPeer int
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
	if cfg.SessionsPerPeer == 0 {
		cfg.SessionsPerPeer = DefaultSessions
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
	if err := c.send(ctx, stream, call); err != nil {
		_ = stream.Close()
		return nil, fmt.Errorf("call %s: %w", address, errors.Join(err, ctx.Err()))
	}
	return stream, nil
}

// send writes the call. A call that is longer than the window of a new stream
// waits for the peer to read it, and so is guarded.
func (c *Client) send(ctx context.Context, stream *Stream, call *wire.Call) error {
	if proto.Size(call) > windowBytes-maxLengthBytes {
		stop := c.Guard(ctx, stream)
		defer stop()
	}
	return stream.Send(call)
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
	// A ping may take long, so it must not hold up the end of ctx.
	forget := context.AfterFunc(ctx, stream.Abort)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-c.cfg.Clock.After(c.cfg.PatienceInterval):
				stream.verify()
			}
		}
	}()
	return sync.OnceFunc(func() {
		forget()
		close(done)
	})
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
		p = &peer{slots: make([]slot, c.cfg.SessionsPerPeer)}
		shard.peers[address] = p
	}
	return p
}
