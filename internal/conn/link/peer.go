package link

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// peer holds the sessions to one address. Each slot has its own lock, so that a
// slow dial blocks only the callers that use that slot.
type peer struct {
	slots []slot
}

// slot holds one session or the dial that is to establish it.
type slot struct {
	mu      sync.Mutex
	closed  bool
	session *session
	// replaced are earlier sessions that may still carry calls.
	replaced []*session
	// pendingDial is the dial in progress, nil if there is none.
	pendingDial *pendingDial
}

// pendingDial is a dial that all callers of its slot wait for. Its results may
// be read once done is closed.
type pendingDial struct {
	done    chan struct{}
	session *session
	err     error
}

func (p *peer) close() {
	for i := range p.slots {
		p.slots[i].close()
	}
}

func (s *slot) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.session != nil {
		_ = s.session.Close()
	}
	for _, replaced := range s.replaced {
		_ = replaced.Close()
	}
}

// open returns the session of the slot. Callers without a session share one
// dial and its error. Each caller waits until its own context ends at most.
func (s *slot) open(ctx context.Context, address string, cfg Config) (*session, error) {
	session, pending := s.sessionOrDial(address, cfg)
	if session != nil {
		return session, nil
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("wait for session: %w", ctx.Err())
	case <-pending.done:
		return pending.session, pending.err
	}
}

// sessionOrDial returns the open session if it may be used, or otherwise the dial in
// progress, which it starts if there is none.
func (s *slot) sessionOrDial(address string, cfg Config) (*session, *pendingDial) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeUnusedReplaced()
	if s.session != nil && !s.session.IsClosed() && !s.session.quietFor(cfg.MaxQuiet) {
		return s.session, nil
	}
	if s.pendingDial == nil {
		s.pendingDial = &pendingDial{done: make(chan struct{})}
		go s.dial(s.pendingDial, address, cfg)
	}
	return nil, s.pendingDial
}

// closeUnusedReplaced closes the replaced sessions that carry no call any more. The
// caller holds the lock.
func (s *slot) closeUnusedReplaced() {
	s.replaced = slices.DeleteFunc(s.replaced, func(replaced *session) bool {
		if replaced.NumStreams() > 0 {
			return replaced.IsClosed()
		}
		_ = replaced.Close()
		return true
	})
}

// quietFor reports whether the session has received nothing for limit. A limit of 0 is
// never reached.
func (s *session) quietFor(limit time.Duration) bool { return limit > 0 && s.conn.quiet() > limit }

// dial connects independently of the context of the caller that started it,
// since others may wait for the result. The dial timeout limits it.
func (s *slot) dial(pending *pendingDial, address string, cfg Config) {
	pending.session, pending.err = dialSession(address, cfg)
	s.mu.Lock()
	defer s.mu.Unlock()
	defer close(pending.done)
	s.pendingDial = nil
	if pending.err != nil {
		return
	}
	if s.session != nil && !s.session.IsClosed() {
		s.replaced = append(s.replaced, s.session)
	}
	s.session = pending.session
	if s.closed {
		_ = pending.session.Close()
	}
}

func dialSession(address string, cfg Config) (*session, error) {
	conn, err := dial(context.Background(), address, cfg)
	if err != nil {
		dialFailures.Inc()
		return nil, err
	}
	counted := instrument(conn, cfg.Clock, dialedSessions)
	client, err := yamux.Client(&coalescingConn{Conn: counted}, sessionConfig(cfg.PingTimeout))
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("start session: %w", err)
	}
	return &session{Session: client, conn: counted}, nil
}
