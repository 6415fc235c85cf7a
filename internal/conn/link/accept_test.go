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

// failingListener fails the first accepts as if the process had no file
// descriptor left.
type failingListener struct {
	net.Listener

	mu       sync.Mutex
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	failing := l.failures > 0
	l.failures--
	l.mu.Unlock()
	if failing {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// recordingClock records the accept backoffs and ends them at once. Longer
// waits are the idle checks and pass through.
type recordingClock struct {
	clock.System
	delays chan time.Duration
}

func (c *recordingClock) After(wait time.Duration) <-chan time.Time {
	if wait > time.Second {
		return c.System.After(wait)
	}
	c.delays <- wait
	return c.System.After(0)
}

func TestServeRetriesFailedAccepts(t *testing.T) {
	const failures = 10
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	clk := &recordingClock{delays: make(chan time.Duration, 1000)}
	server := link.NewServerWithClock(clk, echo{})
	served := make(chan error, 1)
	go func() {
		served <- server.Serve(context.Background(), &failingListener{Listener: listener, failures: failures})
	}()
	want := 5 * time.Millisecond
	for range failures {
		select {
		case delay := <-clk.delays:
			assert.Equal(t, delay, want)
		case err := <-served:
			t.Fatal("Serve returned: ", err)
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
