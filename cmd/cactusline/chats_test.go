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

// The acceptance fleet: three control processes, three engines and a service
// that take their time, two routers.
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
	chatCount = 200
	stepCount = 50
	// cutAfter is when a caller that loses its answer hangs up; the service
	// takes longer.
	cutAfter = 60 * time.Millisecond
)

func TestChatsAndPaidStepsThroughTheWholePath(t *testing.T) {
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
	for i := range stepCount {
		wg.Go(func() { checkStep(t, callers, i) })
	}
	wg.Wait()
	t.Logf("%d refusals of chats as not run", refused.Load())
	checkRuns(t, f, stepCount)
	for _, p := range f.all() {
		p.stop()
	}
	spans := readSpans(t, f.traceFile("*"))
	checkTrace(t, spans, traceID(0), "router.request", "router.attempt", "sidecar.attempt")
	checkTrace(t, spans, traceID(chatCount), "router.request", "router.attempt", "sidecar.attempt", "control.command")
}

// checkChat makes one chat, streamed or not, and wants its own whole answer.
// It comes back when it is refused as not run, as it is told to, and returns
// how often that was.
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
		assert.Check(t, r.whole(request), "chat %d: %v", i, r)
		return refused
	}
}

// checkStep sends one step through every router at once, a part of them from
// callers that hang up before the answer, and again afterwards. Whoever gets
// an answer gets the one entry that was made.
func checkStep(t *testing.T, callers []*caller, i int) {
	key := fmt.Sprintf("runner-%d", i)
	if i%2 == 0 {
		ctx, cancel := context.WithTimeout(t.Context(), cutAfter)
		_ = callers[i%len(callers)].step(ctx, key, traceHeader(chatCount+i))
		cancel()
	}
	replies := make([]*reply, len(callers))
	var wg sync.WaitGroup
	for n, c := range callers {
		wg.Go(func() { replies[n] = resendStep(t, c, key, traceHeader(chatCount+i)) })
	}
	wg.Wait()
	replies = append(replies, callers[i%len(callers)].step(t.Context(), key, nil))
	for _, r := range replies {
		assert.Check(t, r.err)
		assert.Check(t, r.status == http.StatusCreated && r.outcome == outcomeRan, "step %d: %v", i, r)
		want := plain.Entry{Bib: replies[0].entry.Bib, Key: key, Runs: 1, Body: stepBody(key)}
		assert.Check(t, r.entry == want, "step %d: %v", i, r)
	}
}

// resendStep sends a step until it is told that it ran.
func resendStep(t *testing.T, c *caller, key string, header http.Header) *reply {
	deadline := time.Now().Add(callTimeout)
	for {
		r := c.step(t.Context(), key, header)
		if r.status != http.StatusServiceUnavailable && r.status != http.StatusBadGateway && r.status != http.StatusConflict {
			return r
		}
		if time.Now().After(deadline) {
			return r
		}
		t.Logf("%s comes back: %v", key, r)
		time.Sleep(r.retryAfter())
	}
}

// checkRuns wants each of count steps to have run once.
func checkRuns(t *testing.T, f *fleet, count int) {
	t.Helper()
	runs := f.runs()
	assert.Check(t, len(runs) == count, "%d steps ran of %d", len(runs), count)
	for key, n := range runs {
		assert.Check(t, n == 1, "%s ran %d times", key, n)
	}
}

// runs asks the service itself how often it ran each key.
func (f *fleet) runs() map[string]int {
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

// entry asks the service for one entry. There is none if its number is zero.
func (f *fleet) entry(bib int) plain.Entry {
	var entry plain.Entry
	resp, err := http.Get(fmt.Sprintf("http://%s/bibs/%d", f.serviceAddress, bib))
	if assert.Check(f.t, err) {
		assert.Check(f.t, json.NewDecoder(resp.Body).Decode(&entry))
		_ = resp.Body.Close()
	}
	return entry
}

// traceID returns the trace of request i.
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

// readSpans reads the trace files that match a pattern.
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

// checkTrace wants a span of each name in a trace, each one's parent in the
// trace too, but for those that go on from the caller's.
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
			assert.Check(t, ids[s.Parent.SpanID], "span %s of trace %s has no parent there", s.Name, trace)
		}
	}
}
