package tunnel

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/quic-go/quic-go"
)

// dialTimeout bounds the connection to a target on the same VM.
const dialTimeout = 400 * time.Millisecond

// copyBytes is the size of the buffers; an event of a stream is far smaller.
const copyBytes = 4 << 10

// Server connects each stream to the target beside it.
type Server struct {
	Target string
	Logger log.Logger

	open sync.WaitGroup
}

// Serve takes sessions on conn until ctx ends, then waits for open streams
// until done ends.
func (s *Server) Serve(ctx, done context.Context, conn net.PacketConn) error {
	secrets, err := selfSigned()
	if err != nil {
		return err
	}
	transport := &quic.Transport{Conn: plainConn{conn}}
	defer func() { _ = transport.Close() }()
	listener, err := transport.Listen(secrets, config())
	if err != nil {
		return fmt.Errorf("listen for tunnels: %w", err)
	}
	for {
		session, err := listener.Accept(ctx)
		if err != nil {
			break
		}
		go s.serve(done, session)
	}
	finished := make(chan struct{})
	go func() {
		s.open.Wait()
		close(finished)
	}()
	select {
	case <-finished:
	case <-done.Done():
	}
	return nil
}

func (s *Server) serve(ctx context.Context, session *quic.Conn) {
	for {
		stream, err := session.AcceptStream(ctx)
		if err != nil {
			return
		}
		s.open.Add(1)
		go func() {
			defer s.open.Done()
			s.carry(ctx, stream)
		}()
	}
}

// carry connects a stream to the target until either end is done.
func (s *Server) carry(ctx context.Context, stream *quic.Stream) {
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", s.Target)
	if err != nil {
		_ = level.Warn(s.Logger).Log("msg", "target not reached", "target", s.Target, "err", err)
		stream.CancelRead(codeBroken)
		stream.CancelWrite(codeBroken)
		return
	}
	defer func() { _ = conn.Close() }()
	go func() {
		// What ends the way there ends the way back as well.
		_, _ = io.CopyBuffer(writerOnly{conn}, stream, make([]byte, copyBytes))
		_ = conn.Close()
	}()
	_, err = io.CopyBuffer(writerOnly{stream}, readerOnly{conn}, make([]byte, copyBytes))
	if err != nil && !errors.Is(err, net.ErrClosed) {
		stream.CancelWrite(codeBroken)
	} else {
		_ = stream.Close()
	}
	stream.CancelRead(codeBroken)
}

// writerOnly and readerOnly keep io.CopyBuffer to its buffer.
type writerOnly struct{ io.Writer }

type readerOnly struct{ io.Reader }
