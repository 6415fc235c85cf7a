package main_test

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	crashMarker = "crash the engine"
	// maxCrashes is the number of engine crashes allowed for one request content.
	// Two crashes of targets that also had other requests in flight make the
	// content suspect. Two more crashes of targets that ran it alone quarantine it,
	// or one more crash after it became suspect.
	maxCrashes = 4
	// refusalLimit is how soon a quarantined request must be refused.
	refusalLimit  = 200 * time.Millisecond
	crashAttempts = 12
)

// TestCrashingRequestIsQuarantined repeatedly sends a chat that crashes every engine
// that runs it, while other chats run. After at most maxCrashes crashes it must be
// refused permanently. Other chats must still be served afterwards.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	cfg := acceptanceConfig()
	cfg.engines = 6
	cfg.engineArgs = append(cfg.engineArgs, "--crash-marker", crashMarker, "--crash-time", "300ms")
	f := startFleet(t, cfg)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { sendChatsUntil(ctx, t, newCaller(f.routerAddresses[i%2]), i) })
	}
	c := newCaller(f.routerAddresses[0])
	request := newChat(crashMarker, 20, true)
	var last *reply
	for range crashAttempts {
		last = c.chat(t.Context(), request, nil)
		t.Logf("%v", last)
		assert.Check(t, !last.complete(request), "the crashing request was answered")
		time.Sleep(max(500*time.Millisecond, min(last.retryAfter(), 2*time.Second)))
	}
	cancel()
	wg.Wait()
	assert.Check(t, strings.Contains(last.text, "Quarantined"), "%v", last)
	assert.Check(t, last.status != http.StatusServiceUnavailable, "%v", last)
	assert.Check(t, last.outcome == outcomeNotRun, "%v", last)
	assert.Check(t, last.took < refusalLimit, "%v", last)
	crashes := f.countInSidecarLogs("target does not answer")
	assert.Check(t, crashes <= maxCrashes, "%d crashes", crashes)
	for i, address := range f.routerAddresses {
		other := newChat(fmt.Sprintf("other %d", i), 20, true)
		r := newCaller(address).chat(t.Context(), other, nil)
		assert.Check(t, r.complete(other), "%v", r)
	}
}

// countInSidecarLogs counts the occurrences of a text in the logs of all sidecars.
func (f *fleet) countInSidecarLogs(text string) int {
	f.t.Helper()
	count := 0
	for _, p := range f.sidecars {
		data, err := os.ReadFile(filepath.Join(f.folder, p.name+".log"))
		assert.NilError(f.t, err)
		count += strings.Count(string(data), text)
	}
	return count
}
