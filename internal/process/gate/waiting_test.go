package gate_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/pool"
	"cactusline.dev/cactusline/internal/process/gate"
)

// Guards against a request that waits for its connection while the target says that it
// leaves, and is then sent all the same.
func TestRequestThatWaitsForItsConnectionIsTurnedAway(t *testing.T) {
	t.Parallel()
	busy := newFakeTarget(t, "t1", nil)
	other := newFakeTarget(t, "t2", func(r *receivedRequest) { r.respond(http.StatusOK, "good") })
	accept := make(chan struct{})
	release := make(chan struct{})
	h := newHarness(t, gate.Config{LeavingGrace: 50 * time.Millisecond, Pool: pool.Config{DialTimeout: 3 * time.Second}}, busy)
	h.putDocument(testDocument())
	busy.handler = func(r *receivedRequest) {
		if r.id() == "first" {
			<-release
			r.respond(http.StatusOK, "good", "Leaving: 1")
			return
		}
		r.respond(http.StatusOK, "good")
	}
	first := make(chan error, 1)
	go func() {
		_, _, err := h.sendAndRead("/once/", "q", "Id", "first")
		first <- err
	}()
	for busy.count() == 0 {
		time.Sleep(time.Millisecond)
	}
	fillAcceptQueue(t, busy, accept)

	waiting := make(chan string, 1)
	go func() {
		_, body, _ := h.sendAndRead("/once/", "q", "Id", "waiting")
		waiting <- body
	}()
	time.Sleep(100 * time.Millisecond)
	h.setTargets(busy, other)
	close(release)
	assert.NilError(t, <-first)
	time.Sleep(100 * time.Millisecond)
	close(accept)
	assert.Equal(t, <-waiting, "good")
	assert.Equal(t, busy.count(), 1, "a request was sent to a target that leaves")
	assert.Equal(t, other.count(), 1)
}

// fillAcceptQueue makes the target accept no connection until accept is closed, and fills
// its queue, so that the system lets further dials wait.
func fillAcceptQueue(t *testing.T, target *fakeTarget, accept <-chan struct{}) {
	t.Helper()
	raw, err := target.listener.(*net.TCPListener).SyscallConn()
	assert.NilError(t, err)
	target.pauseAccept(t, accept)
	assert.NilError(t, raw.Control(func(fd uintptr) { err = unix.Listen(int(fd), 0) }))
	assert.NilError(t, err)
	for range 8 {
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		conn, err := new(net.Dialer).DialContext(ctx, "tcp", target.address)
		cancel()
		if err != nil {
			return
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the queue does not fill")
}
