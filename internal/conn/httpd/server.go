// Package httpd provides the HTTP servers of the fleet, with request limits,
// graceful shutdown, health endpoints, request IDs and a common error format.
package httpd

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/guard"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults of Config.
const (
	DefaultHeaderTimeout             = 10 * time.Second
	DefaultIdleTimeout               = 2 * time.Minute
	DefaultHeaderLimit   ident.Bytes = 64 << 10
	DefaultBodyLimit     ident.Bytes = 8 << 20
)

// Clock provides the timers of a shutdown.
type Clock interface {
	Sleep(ctx context.Context, d time.Duration) error
	After(d time.Duration) <-chan time.Time
}

// Config configures a Server.
type Config struct {
	// Handler serves all requests except the health endpoints.
	Handler http.Handler
	// TLS enables TLS if set.
	TLS *tls.Config
	// HeaderTimeout limits the time to read a request's headers.
	HeaderTimeout time.Duration
	// IdleTimeout limits how long an idle connection is kept.
	IdleTimeout time.Duration
	// HeaderLimit and BodyLimit limit the size of a request.
	HeaderLimit ident.Bytes
	BodyLimit   ident.Bytes
	// DrainDelay is how long the server accepts requests after it reports that
	// it is not ready, so that the load balancer stops sending them.
	DrainDelay time.Duration
	// DrainTimeout limits how long a shutdown waits for requests in flight.
	// Zero means no limit.
	DrainTimeout time.Duration
	// Ready returns nil if the process is ready, otherwise the reason why it is
	// not. If Ready is nil, the process is always ready.
	Ready func() error
	// NewID generates the request ID. The default is random.
	NewID func() ident.RequestID
	// Guard bounds what callers can take of memory and descriptors; nil for no bound.
	Guard *guard.Budget
	// Logger logs the steps of a shutdown.
	Logger log.Logger
	// Clock defaults to the system clock.
	Clock Clock
}

func (c Config) withDefaults() Config {
	if c.HeaderTimeout == 0 {
		c.HeaderTimeout = DefaultHeaderTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = DefaultIdleTimeout
	}
	if c.HeaderLimit == 0 {
		c.HeaderLimit = DefaultHeaderLimit
	}
	if c.BodyLimit == 0 {
		c.BodyLimit = DefaultBodyLimit
	}
	if c.NewID == nil {
		c.NewID = newRandomID
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	return c
}

// Server is an HTTP server that lets requests in flight complete when it shuts
// down, up to DrainTimeout.
type Server struct {
	cfg      Config
	http     *http.Server
	stopping atomic.Bool
}

// errStopping is the readiness error during a shutdown.
var errStopping = errors.New("stopping")

// New returns a Server.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{cfg: cfg}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", s.handleReady)
	if cfg.Handler != nil {
		mux.Handle("/", s.wrapHandler(cfg.Handler))
	}
	s.http = &http.Server{
		Handler:           mux,
		TLSConfig:         cfg.TLS,
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    int(cfg.HeaderLimit),
	}
	if cfg.Guard != nil {
		cfg.Guard.RegisterMetrics()
		s.http.Handler, s.http.ConnContext, s.http.ConnState = guard.Handler(mux), guard.ConnContext, guard.ConnState
		// A guard keeps one account for a connection, which the streams of HTTP/2 would share.
		s.http.Protocols = new(http.Protocols)
		s.http.Protocols.SetHTTP1(true)
	}
	return s
}

// wrapHandler wraps a handler to assign the request ID and limit the body.
// During a shutdown it also tells the client to close the connection after the
// response.
func (s *Server) wrapHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := s.cfg.NewID()
		w.Header().Set(RequestHeader, string(id))
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		r.Body = http.MaxBytesReader(w, r.Body, int64(s.cfg.BodyLimit))
		next.ServeHTTP(w, r.WithContext(withRequestID(r.Context(), id)))
	})
}

func (s *Server) handleReady(w http.ResponseWriter, _ *http.Request) {
	if err := s.ready(); err != nil {
		writeText(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	writeText(w, http.StatusOK, "ready")
}

func (s *Server) ready() error {
	if s.stopping.Load() {
		return errStopping
	}
	if s.cfg.Ready == nil {
		return nil
	}
	return s.cfg.Ready()
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain")
	w.WriteHeader(status)
	_, _ = w.Write([]byte(text + "\n"))
}

// Serve serves connections from the listener until ctx ends, then shuts down:
// it reports that it is not ready, waits for DrainDelay, closes the listener
// and waits for the requests in flight.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.serve(listener) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve http: %w", err)
	case <-ctx.Done():
	}
	return s.shutdown()
}

func (s *Server) serve(listener net.Listener) error {
	if s.cfg.Guard != nil {
		listener = s.cfg.Guard.Listener(listener)
	}
	if s.cfg.TLS != nil {
		return s.http.ServeTLS(listener, "", "")
	}
	return s.http.Serve(listener)
}

func (s *Server) shutdown() error {
	s.stopping.Store(true)
	_ = level.Info(s.cfg.Logger).Log("Event", "reporting not ready, waiting for the drain delay", "Wait", s.cfg.DrainDelay)
	// The caller's context has already ended, so the delay must not depend on
	// it.
	if err := s.cfg.Clock.Sleep(context.Background(), s.cfg.DrainDelay); err != nil {
		return fmt.Errorf("wait for the drain delay: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.cfg.DrainTimeout > 0 {
		go s.cancelAfterDrainTimeout(ctx, cancel)
	}
	_ = level.Info(s.cfg.Logger).Log("Event", "closing the listener, waiting for requests in flight")
	if err := s.http.Shutdown(ctx); err != nil {
		_ = level.Warn(s.cfg.Logger).Log("Event", "aborting requests in flight", "Wait", s.cfg.DrainTimeout)
		return fmt.Errorf("requests in flight were aborted: %w", errors.Join(err, s.http.Close()))
	}
	return nil
}

func (s *Server) cancelAfterDrainTimeout(ctx context.Context, cancel func()) {
	select {
	case <-ctx.Done():
	case <-s.cfg.Clock.After(s.cfg.DrainTimeout):
		cancel()
	}
}
