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
	// maxCrashes is the crashes that one content may cost: two targets each
	// with other requests in flight make it suspect, and two more alone, or
	// one after that, put it under quarantine.
	maxCrashes = 4
	// finalLimit is how soon a request under quarantine is answered.
	finalLimit = 200 * time.Millisecond
	crashSends = 12
)

// TestRequestOfDeathIsStopped sends a chat that crashes each engine that runs
// it again and again while other chats go on. It must be refused for good
// after few crashes; the others are answered in the end.
func TestRequestOfDeathIsStopped(t *testing.T) {
	cfg := acceptanceConfig()
	cfg.engines = 6
	cfg.engineArgs = append(cfg.engineArgs, "--crash-marker", crashMarker, "--crash-time", "300ms")
	f := startFleet(t, cfg)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() { chatUntil(ctx, t, newCaller(f.routerAddresses[i%2]), i) })
	}
	c := newCaller(f.routerAddresses[0])
	request := newChat(crashMarker, 20, true)
	var last *reply
	for range crashSends {
		last = c.chat(t.Context(), request, nil)
		t.Logf("%v", last)
		assert.Check(t, !last.whole(request), "the request of death was answered")
		time.Sleep(max(500*time.Millisecond, min(last.retryAfter(), 2*time.Second)))
	}
	cancel()
	wg.Wait()
	assert.Check(t, strings.Contains(last.text, "Quarantined"), "%v", last)
	assert.Check(t, last.status != http.StatusServiceUnavailable, "%v", last)
	assert.Check(t, last.outcome == outcomeNotRun, "%v", last)
	assert.Check(t, last.took < finalLimit, "%v", last)
	crashes := f.countLogged("target does not answer")
	assert.Check(t, crashes <= maxCrashes, "%d crashes", crashes)
	for i, address := range f.routerAddresses {
		other := newChat(fmt.Sprintf("other %d", i), 20, true)
		r := newCaller(address).chat(t.Context(), other, nil)
		assert.Check(t, r.whole(other), "%v", r)
	}
}

// countLogged counts the sidecars' log lines that hold a text.
func (f *fleet) countLogged(text string) int {
	f.t.Helper()
	count := 0
	for _, p := range f.sidecars {
		data, err := os.ReadFile(filepath.Join(f.folder, p.name+".log"))
		assert.NilError(f.t, err)
		count += strings.Count(string(data), text)
	}
	return count
}
