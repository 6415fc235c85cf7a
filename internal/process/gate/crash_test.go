package gate_test

import (
	"bytes"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/gate"
)

// logBuffer collects log lines.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// lines returns the lines that contain text.
func (b *logBuffer) lines(text string) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []string
	for line := range strings.Lines(b.text.String()) {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found
}

// waitFor waits until condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for began := time.Now(); !condition(); time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < 5*time.Second, "%s: not within 5 s", what)
	}
}

func TestLogTellsCrashFromLostResponse(t *testing.T) {
	var lines logBuffer
	crashing := newFakeTarget(t, "crashing", nil)
	crashing.handler = func(*receivedRequest) { crashing.crash() }
	losing := newFakeTarget(t, "losing", func(r *receivedRequest) { r.reset() })
	h := newHarness(t, gate.Config{Logger: log.NewJSONLogger(log.NewSyncWriter(&lines))}, losing)
	h.putDocument(testDocument())
	for _, target := range []*fakeTarget{losing, crashing} {
		h.setTargets(target)
		status, _, err := h.sendAndRead("/once/a", "the same")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusBadGateway)
	}
	waitFor(t, "crash", func() bool { return len(lines.lines("TargetCrashed")) > 0 })
	assert.Equal(t, len(lines.lines("TargetCrashed")), 1)
	assert.Equal(t, len(lines.lines(`"Target":"crashing"`)) > 0, true)
	ends := lines.lines("RequestEnded")
	assert.Equal(t, len(ends), 2)
	fingerprint := ends[0][strings.Index(ends[0], `"Fingerprint":"`):][:31]
	assert.Assert(t, strings.Contains(ends[1], fingerprint), "%s in %s", fingerprint, ends[1])
	assert.Assert(t, strings.Contains(lines.lines("TargetCrashed")[0], fingerprint[15:]))
}
