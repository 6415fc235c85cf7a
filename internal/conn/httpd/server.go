// Package httpd builds the HTTP servers of the fleet: bounds, graceful
// shutdown, health pages, request ids and one shape of errors.
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

// Clock is the time that a shutdown runs on.
type Clock interface {
	Sleep(ctx context.Context, d time.Duration) error
	After(d time.Duration) <-chan time.Time
}

// Config configures a Server.
type Config struct {
	// Handler answers all but the health pages.
	Handler http.Handler
	// TLS turns on TLS if set.
	TLS *tls.Config
	// HeaderTimeout bounds the reading of a request's headers.
	HeaderTimeout time.Duration
	// IdleTimeout bounds how long a connection waits for its next request.
	IdleTimeout time.Duration
	// HeaderLimit and BodyLimit bound a request.
	HeaderLimit ident.Bytes
	BodyLimit   ident.Bytes
	// DrainDelay is how long a stopping server still takes requests, so
	// that the balancer sees that it is not ready.
	DrainDelay time.Duration
	// DrainTimeout bounds how long a stopping server waits for requests in
	// flight. Zero sets no bound.
	DrainTimeout time.Duration
	// Ready returns why the process is not ready, or nil. It may be nil.
	Ready func() error
	// NewID draws the id of a request; random if nil.
	NewID func() ident.RequestID
	// Logger receives the steps of a shutdown.
	Logger log.Logger
	// Clock is the system's if nil.
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
		c.NewID = randomID
	}
	if c.Logger == nil {
		c.Logger = log.NewNopLogger()
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	return c
}

// Server is an HTTP server that stops without cutting a request in flight.
type Server struct {
	cfg      Config
	http     *http.Server
	stopping atomic.Bool
}

// errStopping is why a stopping server is not ready.
var errStopping = errors.New("stopping")

// New returns a server.
func New(cfg Config) *Server {
	cfg = cfg.withDefaults()
	s := &Server{cfg: cfg}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "ok") })
	mux.HandleFunc("GET /readyz", s.serveReady)
	if cfg.Handler != nil {
		mux.Handle("/", s.bounded(cfg.Handler))
	}
	s.http = &http.Server{
		Handler:           mux,
		TLSConfig:         cfg.TLS,
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    int(cfg.HeaderLimit),
	}
	return s
}

// bounded wraps a handler in the body limit and the request id, and ends the
// connections of a stopping server after their next answer.
func (s *Server) bounded(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := s.cfg.NewID()
		w.Header().Set(RequestHeader, string(id))
		if s.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		r.Body = http.MaxBytesReader(w, r.Body, int64(s.cfg.BodyLimit))
		next.ServeHTTP(w, r.WithContext(withID(r.Context(), id)))
	})
}

func (s *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
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

// Serve answers the connections of the listener until ctx ends, then shuts
// down: it turns not ready, waits for the balancer, closes the listener and
// waits for the requests in flight.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	failed := make(chan error, 1)
	go func() { failed <- s.serve(listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve http: %w", err)
	case <-ctx.Done():
	}
	return s.shutdown()
}

func (s *Server) serve(listener net.Listener) error {
	if s.cfg.TLS != nil {
		return s.http.ServeTLS(listener, "", "")
	}
	return s.http.Serve(listener)
}

func (s *Server) shutdown() error {
	s.stopping.Store(true)
	_ = level.Info(s.cfg.Logger).Log("Event", "not ready, waiting for the balancer", "Wait", s.cfg.DrainDelay)
	// The end of the caller's context began the shutdown and doesn't hasten it.
	if err := s.cfg.Clock.Sleep(context.Background(), s.cfg.DrainDelay); err != nil {
		return fmt.Errorf("wait for the balancer: %w", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	if s.cfg.DrainTimeout > 0 {
		go s.cancelAfter(ctx, cancel)
	}
	_ = level.Info(s.cfg.Logger).Log("Event", "listener closed, waiting for requests in flight")
	if err := s.http.Shutdown(ctx); err != nil {
		_ = level.Warn(s.cfg.Logger).Log("Event", "cutting requests in flight", "Wait", s.cfg.DrainTimeout)
		return fmt.Errorf("requests in flight were cut: %w", errors.Join(err, s.http.Close()))
	}
	return nil
}

func (s *Server) cancelAfter(ctx context.Context, cancel func()) {
	select {
	case <-ctx.Done():
	case <-s.cfg.Clock.After(s.cfg.DrainTimeout):
		cancel()
	}
}
