package cmds_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/cmds"
)

// Guards against an operator's command that keeps a response without end in memory.
func TestCommandEndsAtEndlessResponse(t *testing.T) {
	const endlessBytes = 256 << 20
	var longest atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		chunk := bytes.Repeat([]byte("x"), 1<<20)
		for sent := int64(0); sent < endlessBytes; {
			n, err := w.Write(chunk)
			sent += int64(n)
			longest.Store(max(longest.Load(), sent))
			if err != nil {
				return
			}
		}
	}))
	defer server.Close()
	started := time.Now()
	out := run(t, "status", "--admin", server.URL, "--patience", "1s")
	assert.Assert(t, out.code != cmds.ExitOK)
	assert.Assert(t, strings.Contains(out.stderr, "longer than"), out.stderr)
	assert.Assert(t, time.Since(started) < 10*time.Second)
	assert.Assert(t, longest.Load() < endlessBytes/2, "%d bytes of a response were read", longest.Load())
}
