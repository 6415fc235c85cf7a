package gate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/version/route"
)

const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
	// headerSlackBytes lets the request line and the fields that net/http adds
	// to its own bound stay out of the limit.
	headerSlackBytes = 4 << 10
	// deadCaller is how long a caller's machine may stay silent to probes.
	deadCaller = 5 * time.Second
)

// frontServer accepts callers. Connections keep the limits under which they
// were accepted; new limits hold for later ones.
type frontServer struct {
	clock Clock

	mu      sync.Mutex
	handler http.Handler
	listens net.Listener
	limits  route.Limits
	current *serving
	servers []*serving
	closed  bool
}

// serving is one http.Server and the connections that are handed to it.
type serving struct {
	server *http.Server
	conns  chan net.Conn
	done   chan struct{}
	once   sync.Once
	addr   net.Addr
}

// Accept implements net.Listener.
func (s *serving) Accept() (net.Conn, error) {
	select {
	case conn := <-s.conns:
		return conn, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *serving) Close() error {
	s.once.Do(func() { close(s.done) })
	return nil
}

// Addr implements net.Listener.
func (s *serving) Addr() net.Addr { return s.addr }

// serve accepts connections until the listener is closed.
func (f *frontServer) serve(listener net.Listener, handler http.Handler) {
	f.mu.Lock()
	f.handler, f.listens = handler, listener
	f.start()
	f.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			_ = f.clock.Sleep(context.Background(), acceptPause)
			continue
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetKeepAliveConfig(net.KeepAliveConfig{
				Enable: true, Idle: deadCaller / 2, Interval: deadCaller / 5, Count: 2,
			})
		}
		f.mu.Lock()
		current := f.current
		f.mu.Unlock()
		select {
		case current.conns <- conn:
		case <-current.done:
			_ = conn.Close()
		}
	}
}

// acceptPause follows an accept that failed, as when no descriptor is left.
const acceptPause = 10 * time.Millisecond

// start makes a server with the limits. The caller holds the lock.
func (f *frontServer) start() {
	headerTimeout, idleTimeout := f.limits.HeaderTimeout, f.limits.IdleTimeout
	if headerTimeout <= 0 {
		headerTimeout = defaultHeaderTimeout
	}
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	s := &serving{conns: make(chan net.Conn), done: make(chan struct{}), addr: f.listens.Addr()}
	s.server = &http.Server{
		Handler:           f.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	if f.limits.MaxHeader > 0 {
		s.server.MaxHeaderBytes = int(f.limits.MaxHeader) + headerSlackBytes
	}
	f.current = s
	f.servers = append(f.servers, s)
	go func() { _ = s.server.Serve(s) }()
}

// limit puts new limits in force for connections to come.
func (f *frontServer) limit(limits route.Limits) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed || limits == f.limits {
		return
	}
	f.limits = limits
	if f.listens != nil {
		f.start()
	}
}

// shutdown closes the listener and waits for the requests in flight.
func (f *frontServer) shutdown(ctx context.Context) error {
	f.mu.Lock()
	f.closed = true
	servers := f.servers
	if f.listens != nil {
		_ = f.listens.Close()
	}
	f.mu.Unlock()
	failures := make([]error, len(servers))
	var work sync.WaitGroup
	for i, s := range servers {
		work.Go(func() { failures[i] = s.server.Shutdown(ctx) })
	}
	work.Wait()
	return errors.Join(failures...)
}
