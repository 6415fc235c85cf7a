package plain_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/plain"
)

// post creates an entry for key and returns it, or false if the connection
// broke.
func post(t *testing.T, url, key string) (plain.Entry, bool) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader("body "+key))
	assert.NilError(t, err)
	req.Header.Set(plain.IdempotencyKeyHeader, key)
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		return plain.Entry{}, false
	}
	defer resp.Body.Close()
	var entry plain.Entry
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&entry))
	return entry, true
}

func TestRunsAreCountedPerKey(t *testing.T) {
	service := plain.New(plain.Config{Kind: plain.Orders})
	server := httptest.NewServer(service)
	defer server.Close()
	for want := 1; want <= 2; want++ {
		got, ok := post(t, server.URL+"/deposits", "k")
		assert.Assert(t, ok)
		assert.Equal(t, got, plain.Entry{Bib: uint64(want), Key: "k", Runs: want, Body: "body k"})
	}
	resp, err := http.Get(server.URL + "/deposits/2")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var lookup plain.Entry
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&lookup))
	assert.Equal(t, lookup.Runs, 2)
	assert.Equal(t, service.Counters(), plain.Counters{Received: 3, Created: 2, Keys: 1, MostRuns: 2})
}

func TestConfiguredFaults(t *testing.T) {
	var fault atomic.Int64
	service := plain.New(plain.Config{Fault: func(*http.Request) plain.Fault { return plain.Fault(fault.Load()) }})
	server := httptest.NewServer(service)
	defer server.Close()
	for _, tt := range []struct {
		fault  plain.Fault
		key    string
		answer string
		runs   int
	}{
		{plain.FaultLostRequest, "a", "", 0},
		{plain.FaultLostAnswer, "a", "", 1},
		{plain.FaultNone, "b", "b", 1},
		{plain.FaultWrongAnswer, "c", "b", 1},
	} {
		fault.Store(int64(tt.fault))
		got, ok := post(t, server.URL+"/bibs", tt.key)
		assert.Equal(t, ok, tt.answer != "", "%+v", tt)
		assert.Equal(t, got.Key, tt.answer)
		assert.Equal(t, service.Runs(tt.key), tt.runs)
	}
}
