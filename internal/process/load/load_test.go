package load_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/load"
	"cactusline.dev/cactusline/internal/request/chat"
)

const (
	testObjective = 300 * time.Millisecond
	testTokens    = 3
)

// fakeRouter cycles through five kinds of answers, in this order: late, not run,
// outcome unknown, a stream without its final event, complete.
type fakeRouter struct {
	requests  atomic.Int64
	multiTurn atomic.Int64
}

func (s *fakeRouter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request chat.Request
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(request.Messages) > 1 {
		s.multiTurn.Add(1)
	}
	switch s.requests.Add(1) % 5 {
	case 0:
		writeEvents(w, testTokens)
		_, _ = io.WriteString(w, chat.DoneEvent)
	case 1:
		time.Sleep(testObjective + 100*time.Millisecond)
		writeEvents(w, testTokens)
		_, _ = io.WriteString(w, chat.DoneEvent)
	case 2:
		w.Header().Set("Cactusline-Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	case 3:
		w.Header().Set("Cactusline-Outcome", "unknown")
		w.WriteHeader(http.StatusServiceUnavailable)
	case 4:
		writeEvents(w, testTokens-1)
	}
}

func writeEvents(w io.Writer, count int) {
	for range count {
		_, _ = fmt.Fprint(w, chat.EventPrefix, "{}\n\n")
	}
}

// Each turn must be counted once, under the outcome of its answer. A stream that
// ends without its final event counts as failed.
func TestTurnsAreCountedByOutcome(t *testing.T) {
	router := new(fakeRouter)
	server := httptest.NewServer(router)
	defer server.Close()
	report, err := load.Run(t.Context(), load.Config{
		URL: server.URL, Key: "k", Model: "m", Rate: 200, Duration: 500 * time.Millisecond, ChatCount: 4,
		MaxTokens: testTokens, FirstTokenObjective: testObjective, TokenGapObjective: testObjective, Timeout: 5 * time.Second,
		Seed: 1, Clock: clock.System{}, Client: server.Client(),
	})
	assert.NilError(t, err)
	requests := int(router.requests.Load())
	assert.Assert(t, requests > 20, "%d requests", requests)
	// The first kind gets the first request of each five, so that its count is
	// rounded up; the counts of the later kinds are rounded accordingly.
	var text bytes.Buffer
	assert.NilError(t, report.Print(&text))
	assert.Equal(t, report.Count(load.Served), requests/5, text.String())
	assert.Equal(t, report.Count(load.Late), (requests+4)/5, text.String())
	assert.Equal(t, report.Count(load.Refused), (requests+3)/5, text.String())
	assert.Equal(t, report.Count(load.Failed), (requests+2)/5+(requests+1)/5, text.String())
	assert.Assert(t, router.multiTurn.Load() > 0, "no chat had a second turn")
	for _, want := range []string{"served", "refused", "stream not ended", "status 503, unknown", "first token"} {
		assert.Assert(t, strings.Contains(text.String(), want), "%q is missing in:\n%s", want, text.String())
	}
}

func TestRunRejectsZeroRate(t *testing.T) {
	_, err := load.Run(t.Context(), load.Config{ChatCount: 1, Clock: clock.System{}})
	assert.ErrorContains(t, err, "rate")
}
