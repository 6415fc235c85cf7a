// Package link carries calls between the system's own processes: yamux
// sessions over TCP, one stream a call, protobuf messages preceded by their
// length.
//
// An idle session sends nothing. A caller that has waited longer than
// Config.PatienceInterval for an answer pings the session, so that a link cut
// without notice is found while somebody is waiting on it and at no other
// time.
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
	DefaultDialTimeout      = time.Second
	DefaultPatienceInterval = time.Second
	DefaultPingTimeout      = 2 * time.Second
	DefaultSessions         = 2

	// MaxMessageBytes bounds one message; a longer one ends its stream.
	MaxMessageBytes = 16 << 20

	acceptBacklog      = 4096
	streamCloseTimeout = 10 * time.Second
	readBufferBytes    = 1 << 10
	// maxKeptBytes bounds the buffers that are kept for later messages.
	maxKeptBytes = 64 << 10
	// maxPieceBytes bounds one frame. A session keeps a buffer as long as the
	// longest frame that it ever sent.
	maxPieceBytes = 16 << 10
	// windowBytes is how much a new stream takes before the peer has read any.
	windowBytes = 256 << 10
	// maxLengthBytes bounds the length that precedes a message.
	maxLengthBytes = 10
)

// Clock is what the package needs of a clock.
type Clock interface {
	Now() time.Time
	After(d time.Duration) <-chan time.Time
}

// DialError says that no session to a peer could be had, so that nothing was
// sent to it.
type DialError struct {
	// Address is the peer's host:port.
	Address string
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *DialError) Error() string { return fmt.Sprintf("dial %s: %v", e.Address, e.Err) }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.Err }

// Stream is one call's two-way sequence of messages. One goroutine may send
// while another receives.
type Stream struct {
	conn    net.Conn
	session *yamux.Session
	reader  *bufio.Reader
}

func newStream(conn net.Conn, session *yamux.Session) *Stream {
	return &Stream{
		conn:    conn,
		session: session,
		reader:  bufio.NewReaderSize(conn, readBufferBytes),
	}
}

// messages keeps the buffers in which messages are encoded.
var messages = sync.Pool{New: func() any { return new([]byte) }}

// Send writes one message, a long one in several frames.
func (s *Stream) Send(m proto.Message) error {
	buffer := messages.Get().(*[]byte)
	defer messages.Put(buffer)
	encoded, err := appendMessage((*buffer)[:0], m)
	if err != nil {
		return fmt.Errorf("encode %s: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	if cap(encoded) <= maxKeptBytes {
		*buffer = encoded
	}
	for piece := range slices.Chunk(encoded, maxPieceBytes) {
		if _, err := s.conn.Write(piece); err != nil {
			return fmt.Errorf("send %s: %w", m.ProtoReflect().Descriptor().Name(), err)
		}
	}
	return nil
}

// appendMessage appends a message preceded by its length.
func appendMessage(to []byte, m proto.Message) ([]byte, error) {
	to = protowire.AppendVarint(to, uint64(proto.Size(m)))
	return proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(to, m)
}

// Receive reads the next message into m. It returns an error that wraps
// io.EOF once the peer has closed the stream between two messages.
func (s *Stream) Receive(m proto.Message) error {
	options := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	if err := options.UnmarshalFrom(s.reader, m); err != nil {
		return fmt.Errorf("receive %s: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}

// SetDeadline bounds all reads and writes that are under way or to come.
func (s *Stream) SetDeadline(t time.Time) error {
	if err := s.conn.SetDeadline(t); err != nil {
		return fmt.Errorf("set deadline: %w", err)
	}
	return nil
}

// Close ends the stream in both directions.
func (s *Stream) Close() error {
	if err := s.conn.Close(); err != nil {
		return fmt.Errorf("close stream: %w", err)
	}
	return nil
}

// Abort ends the stream and fails the reads and writes that wait on it, which
// Close alone leaves waiting for the peer.
func (s *Stream) Abort() {
	_ = s.conn.SetDeadline(time.Unix(1, 0))
	_ = s.conn.Close()
}

// CloseSession ends the session below the stream, and so the connection, which other
// calls to the peer share. The next call makes a new one.
func (s *Stream) CloseSession() {
	s.Abort()
	_ = s.session.Close()
}

// Alive reports whether the session below the stream still stands.
func (s *Stream) Alive() bool { return !s.session.IsClosed() }

// Peer returns the peer's address.
func (s *Stream) Peer() net.Addr { return s.session.RemoteAddr() }

// verify pings the session and closes it when no answer comes.
func (s *Stream) verify() {
	if _, err := s.session.Ping(); err != nil {
		_ = s.session.Close()
	}
}

// Closed reports whether err is the orderly end of a stream.
func Closed(err error) bool { return errors.Is(err, io.EOF) }

func sessionConfig(pingTimeout time.Duration) *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.AcceptBacklog = acceptBacklog
	cfg.EnableKeepAlive = false
	cfg.ConnectionWriteTimeout = pingTimeout
	cfg.StreamOpenTimeout = 0
	cfg.MaxStreamWindowSize = windowBytes
	cfg.StreamCloseTimeout = streamCloseTimeout
	cfg.LogOutput = io.Discard
	return cfg
}

func dial(ctx context.Context, address string, cfg Config) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: cfg.DialTimeout}
	if cfg.DeadPeerTimeout > 0 {
		dialer.Control = sock.Control(cfg.DeadPeerTimeout)
	}
	if cfg.TLS == nil {
		return dialer.DialContext(ctx, "tcp", address)
	}
	over := &tls.Dialer{NetDialer: dialer, Config: cfg.TLS}
	return over.DialContext(ctx, "tcp", address)
}
