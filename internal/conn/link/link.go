// Package link carries calls between the system's own processes. It runs yamux
// sessions over TCP, with one stream per call and length-prefixed protobuf
// messages.
//
// An idle session sends nothing. A caller that has waited longer than
// Config.PingInterval for a reply pings the session. A lost connection is
// therefore detected only while a caller waits for a reply.
package link

import (
	"bufio"
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/sock"
)

// Defaults of Config.
const (
	DefaultDialTimeout     = time.Second
	DefaultPingInterval    = time.Second
	DefaultPingTimeout     = 2 * time.Second
	DefaultSessionsPerPeer = 2

	// MaxMessageBytes limits one received message; a longer one fails the
	// stream.
	MaxMessageBytes = 16 << 20

	acceptBacklog      = 4096
	streamCloseTimeout = 10 * time.Second
	readBufferBytes    = 1 << 10
	// maxPooledBytes limits the buffers that are kept for reuse.
	maxPooledBytes = 64 << 10
	// maxFrameBytes limits one frame. A session keeps a buffer as long as the
	// longest frame it ever sent.
	maxFrameBytes = 16 << 10
	// windowBytes is how much may be sent on a new stream before the peer
	// reads.
	windowBytes = 256 << 10
	// maxLengthPrefixBytes is the maximum size of a message's length prefix.
	maxLengthPrefixBytes = 10
)

// Clock provides the time and timers.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// DialError reports that no session to a peer could be established, so that
// nothing was sent to it.
type DialError struct {
	// Address is the host:port of the peer.
	Address string
	// Err is the cause.
	Err error
}

// Error implements the error interface.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Stream is the bidirectional sequence of messages of one call. One goroutine
// may send while another receives.
type Stream struct {
	conn    net.Conn
	session *session
	reader  *bufio.Reader
}

// session is a yamux session with its connection.
type session struct {
	*yamux.Session
	conn *countingConn
}

func newStream(conn net.Conn, session *session) *Stream {
	return &Stream{
		conn:    conn,
		session: session,
		reader:  bufio.NewReaderSize(conn, readBufferBytes),
	}
}

// encodeBuffers pools the buffers in which messages are encoded.
var encodeBuffers = sync.Pool{New: func() any { return new([]byte) }}

// Send writes one message, split into frames of at most maxFrameBytes.
func (s *Stream) Send(m proto.Message) error {
	buffer := encodeBuffers.Get().(*[]byte)
	defer encodeBuffers.Put(buffer)
	encoded, err := appendMessage((*buffer)[:0], m)
	if err != nil {
		return fmt.Errorf("encode %s: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	if cap(encoded) <= maxPooledBytes {
		*buffer = encoded
	}
	for frame := range slices.Chunk(encoded, maxFrameBytes) {
		if _, err := s.conn.Write(frame); err != nil {
			return fmt.Errorf("send %s: %w", m.ProtoReflect().Descriptor().Name(), err)
		}
	}
	return nil
}

// appendMessage appends a message with its length prefix.
func appendMessage(dst []byte, m proto.Message) ([]byte, error) {
	dst = protowire.AppendVarint(dst, uint64(proto.Size(m)))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(dst, m)
}

// Receive reads the next message into m. It returns an error that wraps io.EOF
// if the peer has closed the stream at a message boundary.
func (s *Stream) Receive(m proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	if err := options.UnmarshalFrom(s.reader, m); err != nil {
		return fmt.Errorf("receive %s: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}

// SetDeadline sets the deadline of all pending and future reads and writes.
func (s *Stream) SetDeadline(t time.Time) error {
	if err := s.conn.SetDeadline(t); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	return nil
}

// Close closes the stream in both directions.
func (s *Stream) Close() error {
	if err := s.conn.Close(); err != nil {
		return fmt.Errorf("close stream: %w", err)
	}
	return nil
}

// Abort closes the stream and fails pending reads and writes. After Close
// alone, they still wait for the peer.
func (s *Stream) Abort() {
	_ = s.conn.SetDeadline(time.Unix(1, 0))
	_ = s.conn.Close()
}

// CloseSession closes the session of the stream and its connection, which other
// calls to the peer share. The next call establishes a new one.
func (s *Stream) CloseSession() {
	s.Abort()
	_ = s.session.Close()
}

// SessionOpen reports whether the session of the stream is open.
func (s *Stream) SessionOpen() bool { return !s.session.IsClosed() }

// SessionAge returns the time since the session of the stream was established.
func (s *Stream) SessionAge() time.Duration { return s.session.conn.age() }

// SessionQuiet returns the time since the session last received anything.
func (s *Stream) SessionQuiet() time.Duration { return s.session.conn.quiet() }

// Peer returns the address of the peer.
func (s *Stream) Peer() net.Addr { return s.session.RemoteAddr() }

// pingOrClose pings the session and closes it if no reply arrives.
func (s *Stream) pingOrClose() {
	if _, err := s.session.Ping(); err != nil {
		_ = s.session.Close()
	}
}

// IsClosedByPeer reports whether err means that the peer closed the stream at a
// message boundary.
func IsClosedByPeer(err error) bool { return errors.Is(err, io.EOF) }

func sessionConfig(writeTimeout time.Duration) *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = 0
	cfg.MaxStreamWindowSize = windowBytes
	cfg.StreamCloseTimeout = streamCloseTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

func dial(ctx context.Context, address string, cfg Config) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	if cfg.DeadPeerTimeout > 0 {
		dialer.Control = sock.DialControl(cfg.DeadPeerTimeout)
	}
	if cfg.TLS == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	tlsDialer := &tls.Dialer{NetDialer: dialer, Config: cfg.TLS}
	return tlsDialer.DialContext(ctx, "tcp", address)
}
