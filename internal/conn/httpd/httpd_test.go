package httpd_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/httpd"
	"cactusline.dev/cactusline/internal/process/clock"
)

// startServer starts a server. It returns the URL, a function that begins the
// shutdown, and a channel that receives the result of Serve.
func startServer(t *testing.T, cfg httpd.Config) (url string, stop func(), done chan error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	done = make(chan error, 1)
	go func() { done <- httpd.New(cfg).Serve(ctx, listener) }()
	return "http://" + listener.Addr().String(), cancel, done
}

func getStatus(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// waitForStatus waits until a GET returns the status want or, with want 0,
// until the GET fails.
func waitForStatus(t *testing.T, url string, want int) {
	for range 5000 {
		if getStatus(url) == want {
			return
		}
		_ = clock.System{}.Sleep(context.Background(), time.Millisecond)
	}
	t.Fatalf("%s did not return status %d", url, want)
}

func TestShutdownDrainsRequestsInFlight(t *testing.T) {
	for _, drainTimeout := range []time.Duration{0, time.Hour, 20 * time.Millisecond} {
		started, finish := make(chan struct{}), make(chan struct{})
		url, stop, done := startServer(t, httpd.Config{
			DrainDelay: 50 * time.Millisecond, DrainTimeout: drainTimeout,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/quick" {
					return
				}
				close(started)
				select {
				case <-finish:
				case <-r.Context().Done():
				}
				_, _ = io.WriteString(w, "complete")
			}),
		})
		got := make(chan string, 1)
		go func() {
			resp, err := http.Get(url)
			if err != nil {
				got <- "aborted"
				return
			}
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			got <- string(body)
		}()
		<-started
		assert.Equal(t, getStatus(url+"/readyz"), http.StatusOK)
		stop()
		waitForStatus(t, url+"/readyz", http.StatusServiceUnavailable)
		assert.Equal(t, getStatus(url+"/quick"), http.StatusOK)
		waitForStatus(t, url+"/healthz", 0)
		if drainTimeout == 20*time.Millisecond {
			assert.Equal(t, <-got, "aborted")
			assert.Assert(t, <-done != nil)
			continue
		}
		assert.Equal(t, len(got), 0)
		close(finish)
		assert.Equal(t, <-got, "complete")
		assert.NilError(t, <-done)
	}
}

func TestErrorResponseFormat(t *testing.T) {
	url, _, _ := startServer(t, httpd.Config{
		BodyLimit: 10,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if _, err := io.ReadAll(r.Body); err == nil {
				return
			}
			httpd.WriteError(w, r, httpd.Error{
				Status: http.StatusRequestEntityTooLarge, Code: "TooLarge", Message: "m",
				Outcome: httpd.OutcomeNotRun, RetryAfter: httpd.Delay(1500 * time.Millisecond),
			})
		}),
	})
	resp, err := http.Post(url, "", strings.NewReader(strings.Repeat("x", 11)))
	assert.NilError(t, err)
	defer resp.Body.Close()
	var raw struct{ Error map[string]string }
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&raw))
	id := resp.Header.Get(httpd.RequestHeader)
	assert.Assert(t, id != "")
	assert.DeepEqual(t, raw.Error, map[string]string{
		"Code": "TooLarge", "Message": "m", "Request": id, "Outcome": "not-run", "RetryAfter": "1.5s",
	})
	assert.Equal(t, resp.StatusCode, http.StatusRequestEntityTooLarge)
	assert.Equal(t, resp.Header.Get(httpd.OutcomeHeader), "not-run")
	assert.Equal(t, resp.Header.Get(httpd.RetryAfterHeader), "2")
}

func TestDelayRoundTripsThroughJSON(t *testing.T) {
	rec := httptest.NewRecorder()
	httpd.WriteError(rec, httptest.NewRequest("GET", "/", nil), httpd.Error{RetryAfter: httpd.Delay(time.Minute)})
	var body httpd.ErrorBody
	assert.NilError(t, json.Unmarshal(rec.Body.Bytes(), &body))
	assert.Equal(t, body.Error.RetryAfter, httpd.Delay(time.Minute))
	assert.Equal(t, body.Error.Outcome, httpd.OutcomeUnknown)
}
