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
	// idleTimeout is how long a session without calls is kept. It must be
	// shorter than the time for which sidecars remember attempts: a process
	// that resumes after hours could otherwise deliver an old call whose
	// attempt is already forgotten.
	idleTimeout = 30 * time.Minute
	// idleChecksPerTimeout is the number of idle checks within idleTimeout.
	idleChecksPerTimeout = 4
	// A failed accept is retried after minAcceptBackoff, which doubles with
	// each consecutive failure up to maxAcceptBackoff.
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// Handler serves one call. It returns once the call is answered; the server
// then closes the stream.
type Handler interface {
	ServeCall(ctx context.Context, call *wire.Call, stream *Stream)
}

// Server accepts sessions and passes each call to its handler. It is safe for
// concurrent use.
type Server struct {
	// DeadPeerTimeout is as in Config. It must be set before Serve is called.
	DeadPeerTimeout time.Duration

	handler Handler
	clock   Clock
	wg      sync.WaitGroup

	mu       sync.Mutex
	sessions map[*session]struct{}
	closed   bool
}

// NewServer returns a Server for handler on the system clock.
func NewServer(handler Handler) *Server { return NewServerWithClock(clock.System{}, handler) }

// NewServerWithClock returns a Server for handler on the given clock.
func NewServerWithClock(clk Clock, handler Handler) *Server {
	return &Server{handler: handler, clock: clk, sessions: make(map[*session]struct{})}
}

// Serve accepts sessions from listener and returns nil when listener is closed.
// It retries failed accepts with a backoff, for instance when there is no free
// file descriptor. If ctx ends during a backoff, it returns the accept error.
// The end of ctx alone does not stop it.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	backoff := minAcceptBackoff
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			select {
			case <-ctx.Done():
				return fmt.Errorf("accept: %w", err)
			case <-s.clock.After(backoff):
			}
			backoff = min(2*backoff, maxAcceptBackoff)
			continue
		}
		backoff = minAcceptBackoff
		s.wg.Go(func() { s.serveConn(ctx, conn) })
	}
}

// Close closes every session and waits for the handlers to return.
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
		// If this fails, the session still works, but a lost connection is
		// detected later.
		_ = sock.SetUserTimeout(conn, s.DeadPeerTimeout)
	}
	// A server never pings; DefaultPingTimeout limits its blocked writes.
	counted := instrument(conn, s.clock, acceptedSessions)
	accepted, err := yamux.Server(&coalescingConn{Conn: counted}, sessionConfig(DefaultPingTimeout))
	if err != nil {
		_ = conn.Close()
		return
	}
	session := &session{Session: accepted, conn: counted}
	if !s.addSession(session) {
		_ = session.Close()
		return
	}
	defer s.removeSession(session)
	// The context of a call ends when its session ends.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var lastUsed atomic.Int64
	lastUsed.Store(s.clock.Now().UnixNano())
	go s.closeIdle(ctx, session, &lastUsed)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		lastUsed.Store(s.clock.Now().UnixNano())
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

// closeIdle closes a session that has had no calls for idleTimeout.
func (s *Server) closeIdle(ctx context.Context, session *session, lastUsed *atomic.Int64) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.clock.After(idleTimeout / idleChecksPerTimeout):
		}
		idle := s.clock.Now().UnixNano() - lastUsed.Load()
		if session.NumStreams() == 0 && time.Duration(idle) > idleTimeout {
			_ = session.Close()
			return
		}
	}
}

func (s *Server) addSession(session *session) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.sessions[session] = struct{}{}
	return true
}

func (s *Server) removeSession(session *session) {
	_ = session.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.sessions, session)
}

func peerShard(address string) uint64 {
	return xxhash.Sum64String(address) % clientShards
}
