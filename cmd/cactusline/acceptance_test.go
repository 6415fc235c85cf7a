package main_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/plain"
	"cactusline.dev/cactusline/internal/version/ident"
)

// acceptanceConfig returns the configuration of the acceptance fleet: three control
// processes, three slowed-down engines, one slowed-down service and two routers.
func acceptanceConfig() fleetConfig {
	return fleetConfig{
		controls:    3,
		engines:     3,
		routers:     2,
		engineArgs:  []string{"--step-time", "3ms"},
		serviceArgs: []string{"--delay", "150ms"},
	}
}

const (
	chatCount         = 200
	registrationCount = 50
	// hangUpAfter is the time after which a caller that disconnects early does so.
	// The service takes longer to answer.
	hangUpAfter = 60 * time.Millisecond
)

// TestChatsAndRegistrationsEndToEnd sends chats and registrations through every
// router concurrently. Each chat must get its own complete answer, each registration
// must run once, and the trace files must connect the spans of a request.
func TestChatsAndRegistrationsEndToEnd(t *testing.T) {
	f := startFleet(t, acceptanceConfig())
	var callers []*caller
	for _, address := range f.routerAddresses {
		callers = append(callers, newCaller(address))
	}
	var wg sync.WaitGroup
	var refused atomic.Int64
	for i := range chatCount {
		wg.Go(func() { refused.Add(int64(checkChat(t, callers[i%len(callers)], i))) })
	}
	for i := range registrationCount {
		wg.Go(func() { checkRegistration(t, callers, i) })
	}
	wg.Wait()
	t.Logf("%d chat requests refused as not run", refused.Load())
	checkEachRanOnce(t, f, registrationCount)
	for _, p := range f.processes() {
		p.stop()
	}
	spans := readSpans(t, f.traceFile("*"))
	checkTrace(t, spans, traceID(0), "router.request", "router.attempt", "sidecar.attempt")
	checkTrace(t, spans, traceID(chatCount), "router.request", "router.attempt", "sidecar.attempt", "control.command")
}

// checkChat sends one chat, streamed or not, and checks that its answer is complete
// and its own. While the chat is refused as not run, checkChat retries after the
// advised delay. It returns the number of refusals.
func checkChat(t *testing.T, c *caller, i int) (refused int) {
	random := rand.New(rand.NewPCG(1, uint64(i)))
	request := newChat(fmt.Sprintf("question %d", i), ident.Tokens(1+random.IntN(200)), i%2 == 0)
	deadline := time.Now().Add(callTimeout)
	for {
		r := c.chat(t.Context(), request, traceHeader(i))
		if r.status == http.StatusServiceUnavailable && r.outcome == outcomeNotRun && time.Now().Before(deadline) {
			refused++
			time.Sleep(r.retryAfter())
			continue
		}
		assert.Check(t, r.complete(request), "chat %d: %v", i, r)
		return refused
	}
}

// checkRegistration sends one registration through every router concurrently and
// once more afterwards. For half of the keys, a caller first sends it and hangs up
// before the answer. Every reply must hold the same single entry.
func checkRegistration(t *testing.T, callers []*caller, i int) {
	key := fmt.Sprintf("runner-%d", i)
	if i%2 == 0 {
		ctx, cancel := context.WithTimeout(t.Context(), hangUpAfter)
		_ = callers[i%len(callers)].register(ctx, key, traceHeader(chatCount+i))
		cancel()
	}
	replies := make([]*reply, len(callers))
	var wg sync.WaitGroup
	for n, c := range callers {
		wg.Go(func() { replies[n] = retryRegistration(t, c, key, traceHeader(chatCount+i)) })
	}
	wg.Wait()
	replies = append(replies, callers[i%len(callers)].register(t.Context(), key, nil))
	for _, r := range replies {
		assert.Check(t, r.err)
		assert.Check(t, r.status == http.StatusCreated && r.outcome == outcomeRan, "registration %d: %v", i, r)
		want := plain.Entry{Bib: replies[0].entry.Bib, Key: key, Runs: 1, Body: registrationBody(key)}
		assert.Check(t, r.entry == want, "registration %d: %v", i, r)
	}
}

// retryRegistration sends a registration while the reply has status 503, 502 or
// 409, for at most about callTimeout.
func retryRegistration(t *testing.T, c *caller, key string, header http.Header) *reply {
	deadline := time.Now().Add(callTimeout)
	for {
		r := c.register(t.Context(), key, header)
		if r.status != http.StatusServiceUnavailable && r.status != http.StatusBadGateway && r.status != http.StatusConflict {
			return r
		}
		if time.Now().After(deadline) {
			return r
		}
		t.Logf("retrying %s: %v", key, r)
		time.Sleep(r.retryAfter())
	}
}

// checkEachRanOnce checks that count registrations ran, each of them once.
func checkEachRanOnce(t *testing.T, f *fleet, count int) {
	t.Helper()
	runs := f.runCounts()
	assert.Check(t, len(runs) == count, "%d of %d registrations ran", len(runs), count)
	for key, n := range runs {
		assert.Check(t, n == 1, "%s ran %d times", key, n)
	}
}

// runCounts asks the service itself how often it ran each idempotency key.
func (f *fleet) runCounts() map[string]int {
	f.t.Helper()
	const batch = 128
	runs := make(map[string]int)
	for first := 1; ; first += batch {
		entries := make([]plain.Entry, batch)
		var wg sync.WaitGroup
		for i := range entries {
			wg.Go(func() { entries[i] = f.entry(first + i) })
		}
		wg.Wait()
		for _, entry := range entries {
			if entry.Bib == 0 {
				return runs
			}
			runs[entry.Key]++
		}
	}
}

// entry fetches one entry from the service. The bib of a missing entry is 0.
func (f *fleet) entry(bib int) plain.Entry {
	var entry plain.Entry
	resp, err := http.Get(fmt.Sprintf("http://%s/bibs/%d", f.serviceAddress, bib))
	if assert.Check(f.t, err) {
		assert.Check(f.t, json.NewDecoder(resp.Body).Decode(&entry))
		_ = resp.Body.Close()
	}
	return entry
}

// traceID returns the trace ID of request i.
func traceID(i int) string { return fmt.Sprintf("%032x", 0xabc000+i) }

func traceHeader(i int) http.Header {
	return http.Header{"Traceparent": []string{fmt.Sprintf("00-%s-%016x-01", traceID(i), i+1)}}
}

// span is the part of an exported span that the tests read.
type span struct {
	Name        string
	StartTime   time.Time
	SpanContext spanContext
	Parent      spanContext
}

type spanContext struct {
	TraceID string
	SpanID  string
}

// readSpans reads the trace files whose paths match the pattern.
func readSpans(t *testing.T, pattern string) []span {
	t.Helper()
	files, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	var spans []span
	for _, name := range files {
		file, err := os.Open(name)
		assert.NilError(t, err)
		lines := bufio.NewScanner(file)
		lines.Buffer(nil, 1<<20)
		for lines.Scan() {
			var s span
			assert.NilError(t, json.Unmarshal(lines.Bytes(), &s), "%s", name)
			spans = append(spans, s)
		}
		assert.NilError(t, lines.Err())
		_ = file.Close()
	}
	return spans
}

// checkTrace checks that a trace has a span of each name, and that the parent of
// each span is in the trace. Only router.request spans have a parent outside of it,
// the caller's span.
func checkTrace(t *testing.T, spans []span, trace string, names ...string) {
	t.Helper()
	found := make(map[string]int)
	ids := make(map[string]bool)
	for _, s := range spans {
		if s.SpanContext.TraceID == trace {
			found[s.Name]++
			ids[s.SpanContext.SpanID] = true
		}
	}
	for _, name := range names {
		assert.Check(t, found[name] > 0, "trace %s has no span %s: %v", trace, name, found)
	}
	for _, s := range spans {
		if s.SpanContext.TraceID == trace && s.Name != "router.request" {
			assert.Check(t, ids[s.Parent.SpanID], "the parent of span %s is not in trace %s", s.Name, trace)
		}
	}
}
