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

// Config configures a Client.
type Config struct {
	// Clock times the pings; required.
	Clock Clock
	// TLS secures every session if set.
	TLS *tls.Config
	// Caller is the name of this process, sent with each call.
	Caller string
	// DialTimeout limits the time to establish a connection.
	DialTimeout time.Duration
	// PingInterval is how long a caller waits on a stream before it pings the
	// session, and the time between pings.
	PingInterval time.Duration
	// PingTimeout limits the wait for a ping reply and for a blocked write.
	PingTimeout time.Duration
	// DeadPeerTimeout is how long sent data may stay unacknowledged before the
	// session ends; 0 leaves that to the system. Without it, a connection that
	// survives a network partition retransmits only after ever longer backoffs.
	DeadPeerTimeout time.Duration
	// MaxQuiet is how long a session may have received nothing to be used for another
	// call. A later call establishes a new one, since a connection may have fallen silent
	// while it was idle; 0 sets no limit.
	MaxQuiet time.Duration
	// SessionsPerPeer is the number of TCP connections to each peer.
	SessionsPerPeer int
}

// Client makes calls to other processes over shared sessions. It is safe for
// concurrent use.
type Client struct {
	cfg      Config
	nextSlot atomic.Uint64
	shards   [clientShards]clientShard
}

type clientShard struct {
	mu    sync.Mutex
	peers map[string]*peer
}

// NewClient returns a Client.
func NewClient(cfg Config) *Client {
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.PingInterval == 0 {
		cfg.PingInterval = DefaultPingInterval
	}
	if cfg.PingTimeout == 0 {
		cfg.PingTimeout = DefaultPingTimeout
	}
	if cfg.SessionsPerPeer == 0 {
		cfg.SessionsPerPeer = DefaultSessionsPerPeer
	}
	c := &Client{cfg: cfg}
	for i := range c.shards {
		c.shards[i].peers = make(map[string]*peer)
	}
	return c
}

// Open starts a call to address. A *DialError means that nothing was sent;
// after any other error the peer may have received the call.
func (c *Client) Open(ctx context.Context, address string, call *wire.Call) (*Stream, error) {
	stream, err := c.openStream(ctx, address)
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

// send writes the call. A call longer than the window of a new stream blocks
// until the peer reads it, and is therefore monitored by Guard.
func (c *Client) send(ctx context.Context, stream *Stream, call *wire.Call) error {
	if proto.Size(call) > windowBytes-maxLengthPrefixBytes {
		stop := c.Guard(ctx, stream)
		defer stop()
	}
	return stream.Send(call)
}

// Ask makes a call that has one reply and reads the reply into reply.
func (c *Client) Ask(ctx context.Context, address string, call *wire.Call, reply proto.Message) error {
	stream, err := c.Open(ctx, address, call)
	if err != nil {
		return fmt.Errorf("open call: %w", err)
	}
	defer func() { _ = stream.Close() }()
	stop := c.Guard(ctx, stream)
	defer stop()
	if err := stream.Receive(reply); err != nil {
		return fmt.Errorf("receive reply from %s: %w", address, err)
	}
	return nil
}

// Guard monitors a stream that a caller waits on. It aborts the stream when ctx
// ends. It pings the session every PingInterval, and once more if ctx ends and nothing has
// come for long, and closes it if a ping fails. The returned function stops the monitoring.
func (c *Client) Guard(ctx context.Context, stream *Stream) (stop func()) {
	done := make(chan struct{})
	// A ping may block for long and must not delay the abort when ctx ends.
	stopAbort := context.AfterFunc(ctx, func() {
		quiet := stream.SessionQuiet()
		stream.Abort()
		if quiet > c.silentAfter() {
			stream.pingOrClose()
		}
	})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-ctx.Done():
				return
			case <-c.cfg.Clock.After(c.cfg.PingInterval):
				stream.pingOrClose()
			}
		}
	}()
	return sync.OnceFunc(func() {
		stopAbort()
		close(done)
	})
}

// silentAfter is how long a session that is pinged every PingInterval has received
// nothing if it is silent.
func (c *Client) silentAfter() time.Duration { return c.cfg.PingInterval * 3 / 2 }

// Verify pings the session of a stream, and closes it if no reply arrives. The stream of
// a call without replies has no other way to notice that the connection is silent.
func (c *Client) Verify(stream *Stream) { stream.pingOrClose() }

// Close closes every session.
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

func (c *Client) openStream(ctx context.Context, address string) (*Stream, error) {
	p := c.peer(address)
	index := c.nextSlot.Add(1) % uint64(len(p.slots))
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
	shard := &c.shards[peerShard(address)]
	shard.mu.Lock()
	defer shard.mu.Unlock()
	p, ok := shard.peers[address]
	if !ok {
		p = &peer{slots: make([]slot, c.cfg.SessionsPerPeer)}
		shard.peers[address] = p
	}
	return p
}
