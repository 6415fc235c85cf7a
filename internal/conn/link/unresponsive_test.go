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

// unread accepts a session and its streams and reads none of them. Once
// frozen is closed it doesn't read the connection either.
func unread(t *testing.T, frozen <-chan struct{}) (address string) {
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
			_, _ = yamux.Server(&freezing{Conn: conn, frozen: frozen}, cfg)
		}
	}()
	return listener.Addr().String()
}

// freezing is a connection that loses all that comes once frozen is closed.
type freezing struct {
	net.Conn
	frozen <-chan struct{}
}

func (f *freezing) Read(p []byte) (int, error) {
	n, err := f.Conn.Read(p)
	select {
	case <-f.frozen:
		select {}
	default:
		return n, err
	}
}

func longCall() *wire.Call {
	return &wire.Call{Body: &wire.Call_Command{Command: &wire.Command{Entry: make([]byte, 1<<20)}}}
}

// openWithin returns what Open returned, and fails if that took too long.
func openWithin(ctx context.Context, t *testing.T, limit time.Duration, cfg link.Config, address string) error {
	t.Helper()
	cfg.Clock = clock.System{}
	client := link.NewClient(cfg)
	t.Cleanup(func() { _ = client.Close() })
	opened := make(chan error, 1)
	go func() {
		_, err := client.Open(ctx, address, longCall())
		opened <- err
	}()
	select {
	case err := <-opened:
		return err
	case <-time.After(limit):
		t.Fatal("Open waits on")
		return nil
	}
}

func TestOpenEndsWithItsContext(t *testing.T) {
	address := unread(t, nil)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := openWithin(ctx, t, 5*time.Second, link.Config{}, address)
	assert.Assert(t, errors.Is(err, context.DeadlineExceeded), "%v", err)
}

func TestOpenGivesUpOnAPeerThatIsGone(t *testing.T) {
	frozen := make(chan struct{})
	address := unread(t, frozen)
	time.AfterFunc(50*time.Millisecond, func() { close(frozen) })
	cfg := link.Config{PatienceInterval: 100 * time.Millisecond, PingTimeout: 100 * time.Millisecond}
	err := openWithin(t.Context(), t, 5*time.Second, cfg, address)
	assert.Assert(t, err != nil)
}

// TestWaitersShareOneDial dials a listener that never ends the TLS handshake.
func TestWaitersShareOneDial(t *testing.T) {
	const waiters, timeout = 8, 500 * time.Millisecond
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	cfg := link.Config{Clock: clock.System{}, TLS: new(tls.Config), DialTimeout: timeout, SessionsPerPeer: 1}
	client := link.NewClient(cfg)
	defer client.Close()
	begun := time.Now()
	var wg sync.WaitGroup
	for range waiters {
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
		assert.Check(t, time.Since(begun) < timeout)
	})
	wg.Wait()
	assert.Assert(t, time.Since(begun) < 2*timeout, "%s", time.Since(begun))
}
