package gate

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/conn/guard"
	"cactusline.dev/cactusline/internal/version/route"
)

const (
	defaultHeaderTimeout = 5 * time.Second
	defaultIdleTimeout   = time.Minute
	// headerOverheadBytes is added to the limit on headers, since the bound of
	// net/http also counts the request line and fields that the limit does not.
	headerOverheadBytes = 4 << 10
	// callerSilenceLimit bounds the time without an answer from a caller's machine,
	// after which TCP keep-alive closes the connection.
	callerSilenceLimit = 5 * time.Second
)

// FDsPerRequest is the number of descriptors of a request: the connections to its caller
// and to a target.
const FDsPerRequest = 2

// callerServer accepts the connections of callers. New limits apply to connections
// accepted later, so each change of the limits starts another http.Server.
type callerServer struct {
	clock Clock
	guard *guard.Budget

	mu       sync.Mutex
	ctx      context.Context // of all requests
	handler  http.Handler
	listener net.Listener
	limits   route.Limits
	current  *serverWithLimits
	servers  []*serverWithLimits
	closed   bool
}

// serverWithLimits is an http.Server with fixed limits. It is also the listener of
// that server, whose Accept returns the connections that callerServer passes on.
type serverWithLimits struct {
	server    *http.Server
	conns     chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
	addr      net.Addr
}

// Accept implements net.Listener.
func (s *serverWithLimits) Accept() (net.Conn, error) {
	select {
	case conn := <-s.conns:
		return conn, nil
	case <-s.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (s *serverWithLimits) Close() error {
	s.closeOnce.Do(func() { close(s.done) })
	return nil
}

// Addr implements net.Listener.
func (s *serverWithLimits) Addr() net.Addr { return s.addr }

// serve accepts connections until the listener is closed and passes each to the
// current server. The contexts of all requests are derived from ctx.
func (cs *callerServer) serve(ctx context.Context, listener net.Listener, handler http.Handler) {
	cs.mu.Lock()
	cs.ctx, cs.handler, cs.listener = ctx, handler, listener
	cs.startServer()
	cs.mu.Unlock()
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			_ = cs.clock.Sleep(context.Background(), acceptRetryDelay)
			continue
		}
		if tcpConn, ok := conn.(*net.TCPConn); ok {
			_ = tcpConn.SetKeepAliveConfig(net.KeepAliveConfig{
				Enable: true, Idle: callerSilenceLimit / 2, Interval: callerSilenceLimit / 5, Count: 2,
			})
		}
		guarded := cs.guard.Guard(conn)
		if guarded == nil {
			continue
		}
		cs.mu.Lock()
		current := cs.current
		cs.mu.Unlock()
		select {
		case current.conns <- guarded:
		case <-current.done:
			_ = guarded.Close()
		}
	}
}

// acceptRetryDelay is the pause after an Accept that failed, for instance because
// no file descriptor is left.
const acceptRetryDelay = 10 * time.Millisecond

// startServer starts a server with the current limits. The caller must hold cs.mu.
func (cs *callerServer) startServer() {
	headerTimeout, idleTimeout := cs.limits.HeaderTimeout, cs.limits.IdleTimeout
	if headerTimeout <= 0 {
		headerTimeout = defaultHeaderTimeout
	}
	if idleTimeout <= 0 {
		idleTimeout = defaultIdleTimeout
	}
	s := &serverWithLimits{conns: make(chan net.Conn), done: make(chan struct{}), addr: cs.listener.Addr()}
	s.server = &http.Server{
		Handler:           cs.handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		BaseContext:       func(net.Listener) context.Context { return cs.ctx },
		ConnContext:       guard.ConnContext,
		ConnState:         guard.ConnState,
	}
	if cs.limits.MaxHeader > 0 {
		s.server.MaxHeaderBytes = int(cs.limits.MaxHeader) + headerOverheadBytes
	}
	cs.current = s
	cs.servers = append(cs.servers, s)
	go func() { _ = s.server.Serve(s) }()
}

// setLimits sets the limits for new connections.
func (cs *callerServer) setLimits(limits route.Limits) {
	cs.mu.Lock()
	defer cs.mu.Unlock()
	if cs.closed || limits == cs.limits {
		return
	}
	cs.limits = limits
	if cs.listener != nil {
		cs.startServer()
	}
}

// shutdown closes the listener and waits for the requests in flight until ctx ends.
func (cs *callerServer) shutdown(ctx context.Context) error {
	cs.mu.Lock()
	cs.closed = true
	servers := cs.servers
	if cs.listener != nil {
		_ = cs.listener.Close()
	}
	cs.mu.Unlock()
	errs := make([]error, len(servers))
	var wg sync.WaitGroup
	for i, s := range servers {
		wg.Go(func() {
			if errs[i] = s.server.Shutdown(ctx); errs[i] != nil {
				// Shutdown looks for connections in use at intervals of up to 500 ms. Another
				// call looks at once.
				errs[i] = s.server.Shutdown(ctx)
			}
		})
	}
	wg.Wait()
	return errors.Join(errs...)
}
