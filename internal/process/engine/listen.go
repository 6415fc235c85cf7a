package engine

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

// headerTimeout bounds the reading of a request's headers.
const headerTimeout = 10 * time.Second

// Serve answers the connections of the listener until ctx ends, and closes it.
// After a crash it breaks all connections and keeps the port closed for the
// crash time, then listens at the same address again. Run steps the engine
// meanwhile.
func (e *Engine) Serve(ctx context.Context, listener net.Listener) error {
	address := listener.Addr()
	for {
		crashed := e.ended()
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
			return fmt.Errorf("listen after a crash: %w", err)
		}
	}
}

// serveUntil serves the listener until ctx ends or the engine has crashed.
func (e *Engine) serveUntil(ctx context.Context, crashed <-chan struct{}, listener net.Listener) error {
	server := &http.Server{Handler: e, ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return fmt.Errorf("serve engine: %w", err)
	case <-ctx.Done():
	case <-crashed:
	}
	if err := server.Close(); err != nil {
		return fmt.Errorf("close engine: %w", err)
	}
	if err := <-failed; !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve engine: %w", err)
	}
	return nil
}
