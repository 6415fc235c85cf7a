package gate_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/gate"
)

// rawConn is a connection of a caller that stays open until the process closes it.
type rawConn struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

func (h *harness) dial() *rawConn {
	conn, err := net.Dial("tcp", h.callerAddr)
	assert.NilError(h.t, err)
	h.t.Cleanup(func() { _ = conn.Close() })
	return &rawConn{t: h.t, conn: conn, reader: bufio.NewReader(conn)}
}

// answer is the head of a response.
type answer struct {
	status     int
	retryAfter string
	closes     bool
}

// exchange sends a request that states its timeout and returns the answer.
func (c *rawConn) exchange(path string, timeout time.Duration) (answer, error) {
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: h\r\nId: r%s\r\nWait: %s\r\nContent-Length: 0\r\n\r\n", path, path, timeout)
	assert.NilError(c.t, err)
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return answer{}, err
	}
	_ = response.Body.Close()
	return answer{status: response.StatusCode, retryAfter: response.Header.Get("Retry-After"), closes: response.Close}, nil
}

func documentWithTimeout(timeout time.Duration) func(h *harness) {
	document := testDocument()
	for i := range document.Routes {
		document.Routes[i].Timeout = timeout
	}
	return func(h *harness) { h.putDocument(document) }
}

// busyClock is the clock of a process that always wakes late.
type busyClock struct{ clock.System }

func (c busyClock) Sleep(ctx context.Context, d time.Duration) error {
	return c.System.Sleep(ctx, d+100*time.Millisecond)
}

// Guards against requests that come late in the grace period, run at a target and are
// cut without an answer when the process ends.
func TestLateRequestOfStoppingProcessIsNotRun(t *testing.T) {
	for _, path := range []string{"/once/a", "/safe/a", "/stream/a"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			defer close(release)
			target := newFakeTarget(t, "t1", func(r *receivedRequest) {
				if r.request.URL.Path == "/once/short" {
					respondOK(r)
					return
				}
				<-release
			})
			h := newHarness(t, gate.Config{GracePeriod: 3 * time.Second, Clock: busyClock{}}, target)
			documentWithTimeout(time.Minute)(h)
			late, inTime := h.dial(), h.dial()
			h.stop()
			time.Sleep(time.Second)
			got, err := late.exchange(path, 10*time.Second)
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusServiceUnavailable)
			assert.Assert(t, got.retryAfter != "")
			assert.Assert(t, got.closes)
			assert.Equal(t, target.count(), 0)

			// What ends in time is served.
			got, err = inTime.exchange("/once/short", 500*time.Millisecond)
			assert.NilError(t, err)
			assert.Equal(t, got.status, http.StatusOK)
		})
	}
}

// Guards against a process that always wakes late and takes requests up to the end of the
// grace period.
func TestBusyProcessStopsBeforeTheEndOfGrace(t *testing.T) {
	t.Parallel()
	h := newHarness(t, gate.Config{GracePeriod: 3 * time.Second, Clock: busyClock{}})
	started := time.Now()
	h.stop()
	assert.NilError(t, <-h.stopped)
	assert.Assert(t, time.Since(started) < 2*time.Second, "%s", time.Since(started))
}

// Guards against requests that are cut without an answer at the end of the grace period.
func TestRequestInFlightAtEndOfGraceIsAnswered(t *testing.T) {
	for path, want := range map[string]int{
		"/once/a": http.StatusGatewayTimeout, "/safe/a": http.StatusGatewayTimeout, "/stream/a": http.StatusGatewayTimeout,
	} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			started, release := make(chan struct{}), make(chan struct{})
			defer close(release)
			target := newFakeTarget(t, "t1", func(*receivedRequest) { close(started); <-release })
			h := newHarness(t, gate.Config{GracePeriod: 1500 * time.Millisecond}, target)
			documentWithTimeout(time.Minute)(h)
			conn := h.dial()
			go func() { <-started; h.stop() }()
			got, err := conn.exchange(path, 30*time.Second)
			assert.NilError(t, err)
			assert.Equal(t, got.status, want)
			assert.NilError(t, <-h.stopped)
		})
	}
}
