package engine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// headerTimeout limits the time to read a request's headers.
const headerTimeout = 10 * time.Second

// Serve serves connections from the listener until ctx ends, and closes it.
// After a crash, also one before the call, it closes all connections and the port
// for RestartDelay, then listens on the same address again. Run must run
// concurrently.
func (e *Engine) Serve(ctx context.Context, listener net.Listener) error {
	address := listener.Addr()
	for {
		crashed := e.crashSignal()
		if e.Down() {
			// The crash came before its signal was taken.
			closed := make(chan struct{})
			close(closed)
			crashed = closed
		}
		if err := e.serveUntil(ctx, crashed, listener); err != nil || ctx.Err() != nil {
			return err
		}
		if err := e.cfg.Clock.Sleep(ctx, e.cfg.RestartDelay); err != nil {
			return nil
		}
		var err error
		var config net.ListenConfig
		listener, err = config.Listen(ctx, address.Network(), address.String())
		if err != nil {
			return fmt.Errorf("listen after crash: %w", err)
		}
	}
}

// serveUntil serves the listener until ctx ends or the engine crashes.
func (e *Engine) serveUntil(ctx context.Context, crashed <-chan struct{}, listener net.Listener) error {
	server := &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout}
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return fmt.Errorf("serve engine: %w", err)
	case <-ctx.Done():
	case <-crashed:
	}
	if err := server.Close(); err != nil {
		return fmt.Errorf("close engine server: %w", err)
	}
	if err := <-serveErr; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve engine: %w", err)
	}
	return nil
}
