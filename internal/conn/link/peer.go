package link

import (
	"context"
	"fmt"
	"sync"

	"github.com/hashicorp/yamux"
)

// peer holds the sessions to one address. Each slot has its own lock, so that
// a slow dial holds up only those who need that slot.
type peer struct {
	slots []slot
}

// slot holds one session, or the dial that is to give one.
type slot struct {
	mu      sync.Mutex
	closed  bool
	session *yamux.Session
	// dialing is the dial under way, nil if there is none.
	dialing *dialing
}

// dialing is one dial that all who need its slot wait for. Its results may be
// read once done is closed.
type dialing struct {
	done    chan struct{}
	session *yamux.Session
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
}

// open returns the slot's session. Callers that find none share one dial and
// its error; each waits no longer than its own context.
func (s *slot) open(ctx context.Context, address string, cfg Config) (*yamux.Session, error) {
	session, shared := s.current(address, cfg)
	if session != nil {
		return session, nil
	}
	select {
	case <-ctx.Done():
		return nil, fmt.Errorf("await session: %w", ctx.Err())
	case <-shared.done:
		return shared.session, shared.err
	}
}

// current returns the session that stands or else the dial under way, which
// it starts if there is none.
func (s *slot) current(address string, cfg Config) (*yamux.Session, *dialing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session != nil && !s.session.IsClosed() {
		return s.session, nil
	}
	if s.dialing == nil {
		s.dialing = &dialing{done: make(chan struct{})}
		go s.dial(s.dialing, address, cfg)
	}
	return nil, s.dialing
}

// dial outlives the caller that started it, since others may wait for it; the
// dial timeout bounds it.
func (s *slot) dial(to *dialing, address string, cfg Config) {
	to.session, to.err = connect(address, cfg)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialing = nil
	s.session = to.session
	if s.closed && to.session != nil {
		_ = to.session.Close()
	}
	close(to.done)
}

func connect(address string, cfg Config) (*yamux.Session, error) {
	conn, err := dial(context.Background(), address, cfg)
	if err != nil {
		dialFailed.Inc()
		return nil, err
	}
	session, err := yamux.Client(&joinedConn{Conn: measure(conn, dialed)}, sessionConfig(cfg.PingTimeout))
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("start session: %w", err)
	}
	return session, nil
}
