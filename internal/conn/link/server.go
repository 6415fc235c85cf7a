package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/yamux"

	"cactusline.dev/cactusline/internal/conn/sock"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
)

const (
	// idleTimeout is how long a session without calls is kept; it is shorter
	// than the time for which sidecars remember attempts.
	idleTimeout = 30 * time.Minute
	// idleChecks is how often in that time it is looked at.
	idleChecks = 4
	// An accept that fails is tried again after minAcceptDelay, which doubles
	// up to maxAcceptDelay with each failure in a row.
	minAcceptDelay = 5 * time.Millisecond
	maxAcceptDelay = time.Second
)

// Handler serves one call. It returns once the call has its answer; the
// server closes the stream after that.
type Handler interface {
	ServeCall(ctx context.Context, call *wire.Call, stream *Stream)
}

// Server accepts sessions and hands each call to its handler. It is safe for
// use by several goroutines.
type Server struct {
	// DeadPeerTimeout is as in Config; it is set before Serve.
	DeadPeerTimeout time.Duration

	handler Handler
	clock   Clock
	wg      sync.WaitGroup

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	closed   bool
}

// NewServer returns a server for handler on the system's clock.
func NewServer(handler Handler) *Server { return NewServerAt(clock.System{}, handler) }

// NewServerAt returns a server for handler on the given clock.
func NewServerAt(times Clock, handler Handler) *Server {
	return &Server{handler: handler, clock: times, sessions: make(map[*yamux.Session]struct{})}
}

// Serve accepts sessions from listener until it is closed, or until ctx ends
// while accepts fail. An accept that fails, as when the process has no file
// descriptor left, is tried again.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	delay := minAcceptDelay
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			select {
			case <-ctx.Done():
				return fmt.Errorf("accept: %w", err)
			case <-s.clock.After(delay):
			}
			delay = min(2*delay, maxAcceptDelay)
			continue
		}
		delay = minAcceptDelay
		s.wg.Go(func() { s.serveConn(ctx, conn) })
	}
}

// Close ends every session and waits for the handlers to return.
func (s *Server) Close() error {
	s.mu.Lock()
	s.closed = true
	for session := range s.sessions {
		_ = session.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
	return nil
}

func (s *Server) serveConn(ctx context.Context, conn net.Conn) {
	if s.DeadPeerTimeout > 0 {
		// The session works without it, only longer after a cut.
		_ = sock.EndUnacknowledged(conn, s.DeadPeerTimeout)
	}
	session, err := yamux.Server(&joinedConn{Conn: measure(conn, accepted)}, sessionConfig(DefaultPingTimeout))
	if err != nil {
		_ = conn.Close()
		return
	}
	if !s.track(session) {
		_ = session.Close()
		return
	}
	defer s.forget(session)
	// The context of a call ends with its session.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var used atomic.Int64
	used.Store(s.clock.Now().UnixNano())
	go s.closeIdle(ctx, session, &used)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		used.Store(s.clock.Now().UnixNano())
		s.wg.Go(func() { s.serveStream(ctx, newStream(stream, session)) })
	}
}

func (s *Server) serveStream(ctx context.Context, stream *Stream) {
	defer func() { _ = stream.Close() }()
	call := new(wire.Call)
	if err := stream.Receive(call); err != nil {
		return
	}
	if call.GetProtocol() == 0 || call.GetProtocol() > wire.Protocol {
		return
	}
	s.handler.ServeCall(ctx, call, stream)
}

// closeIdle closes a session on which nothing has been called for long, so that
// a process that was frozen for hours can't deliver an old call on it.
func (s *Server) closeIdle(ctx context.Context, session *yamux.Session, used *atomic.Int64) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(idleTimeout / idleChecks):
		}
		idle := s.clock.Now().UnixNano() - used.Load()
		if session.NumStreams() == 0 && time.Duration(idle) > idleTimeout {
			_ = session.Close()
			return
		}
	}
}

func (s *Server) track(session *yamux.Session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	return true
}

func (s *Server) forget(session *yamux.Session) {
	_ = session.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

func shardOf(address string) uint64 {
	return xxhash.Sum64String(address) % clientShards
}
