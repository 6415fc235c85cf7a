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

// serve starts a server and returns its URL, how to stop it, and its end.
func serve(t *testing.T, cfg httpd.Config) (url string, stop func(), done chan error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	done = make(chan error, 1)
	go func() { done <- httpd.New(cfg).Serve(ctx, listener) }()
	return "http://" + listener.Addr().String(), cancel, done
}

func status(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// until waits for a status, or for broken connections if that is 0.
func until(t *testing.T, url string, want int) {
	for range 5000 {
		if status(url) == want {
			return
		}
		_ = clock.System{}.Sleep(context.Background(), time.Millisecond)
	}
	t.Fatalf("%s never answered %d", url, want)
}

func TestShutdownCutsNothing(t *testing.T) {
	for _, bound := range []time.Duration{0, time.Hour, 20 * time.Millisecond} {
		started, finish := make(chan struct{}), make(chan struct{})
		url, stop, done := serve(t, httpd.Config{
			DrainDelay: 50 * time.Millisecond, DrainTimeout: bound,
			Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/quick" {
					return
				}
				close(started)
				select {
				case <-finish:
				case <-r.Context().Done():
				}
				_, _ = io.WriteString(w, "whole")
			}),
		})
		got := make(chan string, 1)
		go func() {
			resp, err := http.Get(url)
			if err != nil {
				got <- "cut"
				return
			}
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			got <- string(body)
		}()
		<-started
		assert.Equal(t, status(url+"/readyz"), http.StatusOK)
		stop()
		until(t, url+"/readyz", http.StatusServiceUnavailable)
		assert.Equal(t, status(url+"/quick"), http.StatusOK)
		until(t, url+"/healthz", 0)
		if bound == 20*time.Millisecond {
			assert.Equal(t, <-got, "cut")
			assert.Assert(t, <-done != nil)
			continue
		}
		assert.Equal(t, len(got), 0)
		close(finish)
		assert.Equal(t, <-got, "whole")
		assert.NilError(t, <-done)
	}
}

func TestErrorsHaveOneShape(t *testing.T) {
	url, _, _ := serve(t, httpd.Config{
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

func TestDelayReadsBack(t *testing.T) {
	rec := httptest.NewRecorder()
	httpd.WriteError(rec, httptest.NewRequest("GET", "/", nil), httpd.Error{RetryAfter: httpd.Delay(time.Minute)})
	var body httpd.ErrorBody
	assert.NilError(t, json.Unmarshal(rec.Body.Bytes(), &body))
	assert.Equal(t, body.Error.RetryAfter, httpd.Delay(time.Minute))
	assert.Equal(t, body.Error.Outcome, httpd.OutcomeUnknown)
}
