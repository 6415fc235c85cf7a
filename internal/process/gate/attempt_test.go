package gate_test

import (
	"encoding/json"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/go-kit/log"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/gate"
)

// newUnconnectableTarget returns a target at an address to which connections neither
// succeed nor fail, as the accept queue of its listener is full.
func newUnconnectableTarget(t *testing.T, name string) *fakeTarget {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, unix.Listen(fd, 0))
	socketName, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	bound, ok := socketName.(*unix.SockaddrInet4)
	assert.Assert(t, ok)
	address := (&net.TCPAddr{IP: bound.Addr[:], Port: bound.Port}).String()
	for {
		conn, err := net.DialTimeout("tcp", address, 100*time.Millisecond)
		if err != nil {
			return &fakeTarget{name: name, address: address}
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
}

// Guards against requests with short deadlines that eject the targets to which they
// had no time to connect.
func TestShortDeadlineEjectsNoTarget(t *testing.T) {
	for _, c := range []struct {
		wait     string
		ejection int
	}{{"20ms", 0}, {"300ms", 1}} {
		t.Run(c.wait, func(t *testing.T) {
			var lines logBuffer
			h := newHarness(t, gate.Config{Logger: log.NewJSONLogger(log.NewSyncWriter(&lines))}, newUnconnectableTarget(t, "t1"))
			h.putDocument(testDocument())
			status, _, err := h.sendAndRead("/once/", "q", "Wait", c.wait)
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusServiceUnavailable)
			assert.Equal(t, len(lines.lines("TargetEjected")), c.ejection)
		})
	}
}

func TestLogHasForwardedStatus(t *testing.T) {
	for _, status := range []int{http.StatusOK, http.StatusNotFound} {
		var lines logBuffer
		target := newFakeTarget(t, "t1", func(r *receivedRequest) { r.respond(status, "answer") })
		h := newHarness(t, gate.Config{Logger: log.NewJSONLogger(log.NewSyncWriter(&lines))}, target)
		h.putDocument(testDocument())
		got, _, err := h.sendAndRead("/safe/", "q")
		assert.NilError(t, err)
		assert.Equal(t, got, status)
		waitFor(t, "line", func() bool { return len(lines.lines("RequestEnded")) == 1 })
		var ended struct{ Status int }
		assert.NilError(t, json.Unmarshal([]byte(lines.lines("RequestEnded")[0]), &ended))
		assert.Equal(t, ended.Status, status)
	}
}
