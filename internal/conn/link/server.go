package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/yamux"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
)

// Handler serves one call. It returns once the call has its answer; the
// server closes the stream after that.
type Handler interface {
	ServeCall(ctx context.Context, call *wire.Call, stream *Stream)
}

// Server accepts sessions and hands each call to its handler. It is safe for
// use by several goroutines.
type Server struct {
	handler Handler
	wg      sync.WaitGroup

	mu       sync.Mutex
	sessions map[*yamux.Session]struct{}
	closed   bool
}

// NewServer returns a server for handler.
func NewServer(handler Handler) *Server {
	return &Server{handler: handler, sessions: make(map[*yamux.Session]struct{})}
}

// Serve accepts sessions from listener until it is closed.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept: %w", err)
		}
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
	session, err := yamux.Server(newBatchConn(conn, clock.System{}), sessionConfig(DefaultPingTimeout))
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
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
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
