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

// router answers turns in five ways, one after the other.
type router struct {
	asked  atomic.Int64
	longer atomic.Int64
}

func (s *router) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request chat.Request
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(request.Messages) > 1 {
		s.longer.Add(1)
	}
	switch s.asked.Add(1) % 5 {
	case 0:
		events(w, testTokens)
		_, _ = io.WriteString(w, chat.DoneEvent)
	case 1:
		time.Sleep(testObjective + 100*time.Millisecond)
		events(w, testTokens)
		_, _ = io.WriteString(w, chat.DoneEvent)
	case 2:
		w.Header().Set("Cactusline-Outcome", "not-run")
		w.WriteHeader(http.StatusServiceUnavailable)
	case 3:
		w.Header().Set("Cactusline-Outcome", "unknown")
		w.WriteHeader(http.StatusServiceUnavailable)
	case 4:
		events(w, testTokens-1)
	}
}

func events(w io.Writer, count int) {
	for range count {
		_, _ = fmt.Fprint(w, chat.EventPrefix, "{}\n\n")
	}
}

// Each turn is counted once, by what its caller got; an answer without its last
// event has failed.
func TestTurnsAreCountedByTheirAnswers(t *testing.T) {
	answers := new(router)
	server := httptest.NewServer(answers)
	defer server.Close()
	report, err := load.Run(t.Context(), load.Config{
		URL: server.URL, Key: "k", Model: "m", Rate: 200, Duration: 500 * time.Millisecond, ChatCount: 4,
		MaxTokens: testTokens, FirstTokenObjective: testObjective, TokenGapObjective: testObjective, Timeout: 5 * time.Second,
		Seed: 1, Clock: clock.System{}, Client: server.Client(),
	})
	assert.NilError(t, err)
	asked := int(answers.asked.Load())
	assert.Assert(t, asked > 20, "%d turns", asked)
	assert.Equal(t, report.Count(load.Served), asked/5)
	assert.Equal(t, report.Count(load.Late), (asked+4)/5)
	assert.Equal(t, report.Count(load.Refused), (asked+3)/5)
	assert.Equal(t, report.Count(load.Failed), (asked+2)/5+(asked+1)/5)
	assert.Assert(t, answers.longer.Load() > 0, "no chat returned")
	var text bytes.Buffer
	assert.NilError(t, report.Print(&text))
	for _, want := range []string{"served", "refused", "stream not ended", "status 503, unknown", "first token"} {
		assert.Assert(t, strings.Contains(text.String(), want), "%q is missing in:\n%s", want, text.String())
	}
}

func TestLoadWithoutARateIsRefused(t *testing.T) {
	_, err := load.Run(t.Context(), load.Config{ChatCount: 1, Clock: clock.System{}})
	assert.ErrorContains(t, err, "rate")
}
