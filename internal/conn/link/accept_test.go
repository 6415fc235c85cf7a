package link_test

import (
	"context"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
)

// scarce is a listener that runs out of file descriptors.
type scarce struct {
	net.Listener

	mu       sync.Mutex
	failures int
}

func (s *scarce) Accept() (net.Conn, error) {
	s.mu.Lock()
	failing := s.failures > 0
	s.failures--
	s.mu.Unlock()
	if failing {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return s.Listener.Accept()
}

// delays is a clock that notes the short waits asked of it and skips them.
type delays struct {
	clock.System
	asked chan time.Duration
}

func (d *delays) After(wait time.Duration) <-chan time.Time {
	if wait > time.Second {
		return d.System.After(wait)
	}
	d.asked <- wait
	return d.System.After(0)
}

func TestServeOutlastsAcceptsThatFail(t *testing.T) {
	const failures = 10
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	times := &delays{asked: make(chan time.Duration, 1000)}
	server := link.NewServerAt(times, echo{})
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(context.Background(), &scarce{Listener: listener, failures: failures})
	}()
	want := 5 * time.Millisecond
	for range failures {
		select {
		case delay := <-times.asked:
			assert.Equal(t, delay, want)
		case err := <-served:
			t.Fatal("Serve ended: ", err)
		}
		want = min(2*want, time.Second)
	}
	client := link.NewClient(link.Config{Clock: clock.System{}, Caller: "router-1"})
	reply := new(wire.ProbeReply)
	assert.NilError(t, client.Ask(t.Context(), listener.Addr().String(), new(wire.Call), reply))
	assert.Equal(t, reply.GetTarget(), "router-1")
	assert.NilError(t, client.Close())
	assert.NilError(t, listener.Close())
	assert.NilError(t, <-served)
	assert.NilError(t, server.Close())
}
