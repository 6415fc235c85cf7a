package link_test

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
)

// listenWithoutReading accepts sessions and streams but does not read the
// streams. Once frozen is closed it does not read the connections either.
func listenWithoutReading(t *testing.T, frozen <-chan struct{}) (address string) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			cfg := yamux.DefaultConfig()
			cfg.EnableKeepAlive = false
			cfg.LogOutput = io.Discard
			_, _ = yamux.Server(&freezingConn{Conn: conn, frozen: frozen}, cfg)
		}
	}()
	return listener.Addr().String()
}

// freezingConn stops delivering received data once frozen is closed.
type freezingConn struct {
	net.Conn
	frozen <-chan struct{}
}

func (f *freezingConn) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	select {
	case <-f.frozen:
		select {}
	default:
		return n, err
	}
}

func newLongCall() *wire.Call {
	return &wire.Call{Body: &wire.Call_Command{Command: &wire.Command{Entry: make([]byte, 1<<20)}}}
}

// openWithTimeout returns the error of Open, and fails the test if Open takes
// longer than limit.
func openWithTimeout(ctx context.Context, t *testing.T, limit time.Duration, cfg link.Config, address string) error {
	t.Helper()
	cfg.Clock = clock.System{}
	client := link.NewClient(cfg)
	t.Cleanup(func() { _ = client.Close() })
	opened := make(chan error, 1)
	go func() {
		_, err := client.Open(ctx, address, newLongCall())
		opened <- err
	}()
	select {
	case err := <-opened:
		return err
	case <-time.After(limit):
		t.Fatal("Open did not return in time")
		return nil
	}
}

func TestOpenEndsWithItsContext(t *testing.T) {
	address := listenWithoutReading(t, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := openWithTimeout(ctx, t, 5*time.Second, link.Config{}, address)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
}

func TestOpenFailsWhenPeerStopsResponding(t *testing.T) {
	frozen := make(chan struct{})
	address := listenWithoutReading(t, frozen)
	time.AfterFunc(50*time.Millisecond, func() { close(frozen) })
	cfg := link.Config{PingInterval: 100 * time.Millisecond, PingTimeout: 100 * time.Millisecond}
	err := openWithTimeout(t.Context(), t, 5*time.Second, cfg, address)
	assert.Assert(t, err != nil)
}

// TestConcurrentOpensShareOneDial dials a listener that never completes the TLS
// handshake. The callers must share one dial, and a caller with a shorter
// deadline must return before it ends.
func TestConcurrentOpensShareOneDial(t *testing.T) {
	const callers, timeout = 8, 500 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	cfg := link.Config{Clock: clock.System{}, TLS: new(tls.Config), DialTimeout: timeout, SessionsPerPeer: 1}
	client := link.NewClient(cfg)
	defer client.Close()
	start := time.Now()
	var wg sync.WaitGroup
	for range callers {
		wg.Go(func() {
			_, err := client.Open(t.Context(), listener.Addr().String(), new(wire.Call))
			var dial *link.DialError
			assert.Check(t, errors.As(err, &dial), "%v", err)
		})
	}
	wg.Go(func() {
		ctx, cancel := context.WithTimeout(t.Context(), timeout/10)
		defer cancel()
		_, err := client.Open(ctx, listener.Addr().String(), new(wire.Call))
		assert.Check(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
		assert.Check(t, time.Since(start) < timeout)
	})
	wg.Wait()
	assert.Assert(t, time.Since(start) < 2*timeout, "%s", time.Since(start))
}
