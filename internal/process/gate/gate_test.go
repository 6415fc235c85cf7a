package gate_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/gate"
	"cactusline.dev/cactusline/internal/version/route"
)

func eventsText(first, last int) string {
	text := ""
	for id := first; id <= last; id++ {
		text += fmt.Sprintf("id: %d\ndata: event %d\n\n", id, id)
	}
	return text
}

func respondOK(r *receivedRequest) { r.respond(http.StatusOK, "body of "+r.id(), "Stamp: s") }

func TestRequestAndResponseAreForwardedUnchanged(t *testing.T) {
	target := newFakeTarget(t, "t1", respondOK)
	h := newHarness(t, gate.Config{}, target)
	document := testDocument()
	document.Customers = []route.Customer{{Name: "firm", Keys: []string{"k"}}}
	h.putDocument(document)
	response, err := h.send(context.Background(), "/safe/a%2Fb?x=1&y=%20", "question", "Key", "k", "Customer", "forged", "Kept", "yes")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get("Stamp"), "s")
	got := target.requestAt(0)
	assert.Equal(t, got.request.RequestURI, "/safe/a%2Fb?x=1&y=%20")
	assert.Equal(t, got.body, "question")
	assert.Equal(t, got.request.Header.Get("Kept"), "yes")
	assert.Equal(t, got.request.Header.Get("Customer"), "firm")
	assert.Equal(t, got.request.Header.Get("Key"), "")
	assert.Equal(t, got.request.Header.Get("Target"), "t1")
}

func TestAdmissionByDocument(t *testing.T) {
	target := newFakeTarget(t, "t1", respondOK)
	h := newHarness(t, gate.Config{}, target)
	response, err := h.send(context.Background(), "/safe/a", "")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable, "no document yet")
	assert.Assert(t, response.Header.Get("Retry-After") != "")

	document := testDocument()
	document.Customers = []route.Customer{{Name: "firm", Keys: []string{"k"}}}
	document.Limits.MaxBody = 10
	h.putDocument(document)
	for _, c := range []struct {
		path, body, key string
		want            int
	}{
		{"/safe/a", "", "k", http.StatusOK},
		{"/safe/a", "", "other", http.StatusUnauthorized},
		{"/none/a", "", "k", http.StatusNotFound},
		{"/safe/a", "longer than ten", "k", http.StatusRequestEntityTooLarge},
	} {
		status, _, err := h.sendAndRead(c.path, c.body, "Key", c.key)
		assert.NilError(t, err)
		assert.Equal(t, status, c.want, "%s %s %s", c.path, c.body, c.key)
	}
	// The key is revoked: the next request on any connection is unauthorized.
	document.Customers[0].Keys = []string{"fresh"}
	h.putDocument(document)
	status, _, err := h.sendAndRead("/safe/a", "", "Key", "k")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusUnauthorized)
}

func TestOlderDocumentIsIgnored(t *testing.T) {
	h := newHarness(t, gate.Config{}, newFakeTarget(t, "t1", respondOK))
	h.putDocument(testDocument())
	h.putDocument(route.Document{Services: []route.Service{{Name: "s"}}})
	h.documentVersion -= 2
	h.putDocument(testDocument())
	status, _, err := h.sendAndRead("/safe/a", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotFound)
}

// Each case is a failure of the first target and the outcome for one kind of
// request.
func TestFailureOfFirstTarget(t *testing.T) {
	lost := func(r *receivedRequest) { r.reset() }
	overloaded := func(r *receivedRequest) { r.respond(http.StatusServiceUnavailable, "", "Not-Run: yes") }
	wrongInstance := func(r *receivedRequest) { r.respond(http.StatusMisdirectedRequest, "", "Not-Run: yes") }
	failing := func(r *receivedRequest) { r.respond(http.StatusInternalServerError, "it failed") }
	truncated := func(r *receivedRequest) { r.writeHead(http.StatusOK, 100); r.reset() }
	misdelivered := func(r *receivedRequest) {
		for range 9 {
			r.request.Header.Set("Id", "of another")
			r.respond(http.StatusOK, "not yours")
		}
	}
	cases := []struct {
		name     string
		handler  func(r *receivedRequest)
		path     string
		status   int
		body     string
		attempts int
	}{
		{"lost, safe", lost, "/safe/", http.StatusOK, "good", 2},
		{"lost, once", lost, "/once/", http.StatusBadGateway, "", 1},
		{"lost, stream", lost, "/stream/", http.StatusBadGateway, "", 1},
		{"lost, resumable", lost, "/resume/", http.StatusOK, eventsText(1, 3), 2},
		{"overloaded, once", overloaded, "/once/", http.StatusOK, "good", 2},
		{"overloaded, stream", overloaded, "/stream/", http.StatusOK, eventsText(1, 3), 2},
		{"wrong instance, once", wrongInstance, "/once/", http.StatusOK, "good", 2},
		{"failing, safe", failing, "/safe/", http.StatusOK, "good", 2},
		{"failing, once", failing, "/once/", http.StatusInternalServerError, "it failed", 1},
		{"truncated, safe", truncated, "/safe/", http.StatusOK, "good", 2},
		{"truncated, once", truncated, "/once/", http.StatusBadGateway, "", 1},
		{"response to another request, safe", misdelivered, "/safe/", http.StatusOK, "good", 2},
		{"response to another request, once", misdelivered, "/once/", http.StatusBadGateway, "", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bad := newFakeTarget(t, "t1", c.handler)
			good := newFakeTarget(t, "t2", func(r *receivedRequest) { r.respond(http.StatusOK, c.body) })
			h := newHarness(t, gate.Config{UnearnedRetriesPerSecond: 100}, bad)
			h.putDocument(testDocument())
			// The second target is listed only for the retry.
			bad.handler = func(r *receivedRequest) { h.setTargets(bad, good); c.handler(r) }
			status, body, err := h.sendAndRead(c.path, "q")
			assert.NilError(t, err)
			assert.Equal(t, status, c.status, body)
			if c.body != "" {
				assert.Equal(t, body, c.body)
			}
			assert.Equal(t, bad.count()+good.count(), c.attempts)
		})
	}
}

func TestRetriesStayWithinBudget(t *testing.T) {
	fail := func(r *receivedRequest) { r.respond(http.StatusInternalServerError, "") }
	targets := []*fakeTarget{newFakeTarget(t, "t1", fail), newFakeTarget(t, "t2", fail)}
	h := newHarness(t, gate.Config{RetryRatio: 0.1, UnearnedRetriesPerSecond: 0.1}, targets...)
	h.putDocument(testDocument())
	const requests = 60
	for i := range requests {
		_, _, err := h.sendAndRead("/safe/", "", "Id", fmt.Sprint(i))
		assert.NilError(t, err)
	}
	arrivals := targets[0].count() + targets[1].count()
	assert.Assert(t, arrivals > requests && arrivals <= requests+requests/5, "%d arrivals", arrivals)
}

func TestCallerDisconnectCancelsTargetRequest(t *testing.T) {
	target := newFakeTarget(t, "t1", func(r *receivedRequest) {
		r.writeHead(http.StatusOK, -1)
		r.writeEvent(1)
		<-r.closed
	})
	h := newHarness(t, gate.Config{}, target)
	h.putDocument(testDocument())
	ctx, disconnect := context.WithCancel(context.Background())
	response, err := h.send(ctx, "/stream/", "q")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = response.Body.Read(make([]byte, 10))
	assert.NilError(t, err)
	disconnect()
	select {
	case <-target.requestAt(0).closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the target still works for a caller that has disconnected")
	}
}

func TestRouteTimeout(t *testing.T) {
	target := newFakeTarget(t, "t1", func(r *receivedRequest) { <-r.closed })
	h := newHarness(t, gate.Config{}, target)
	document := testDocument()
	for i := range document.Routes {
		document.Routes[i].Timeout = 200 * time.Millisecond
	}
	h.putDocument(document)
	start := time.Now()
	status, _, err := h.sendAndRead("/once/", "q", "Wait", "5s")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusGatewayTimeout)
	elapsed := time.Since(start)
	assert.Assert(t, elapsed >= 200*time.Millisecond && elapsed < 600*time.Millisecond, "%v", elapsed)
	timeout, err := time.ParseDuration(target.requestAt(0).request.Header.Get("Wait"))
	assert.NilError(t, err)
	assert.Assert(t, timeout <= 200*time.Millisecond, "the target is told a timeout of %v", timeout)
}

func TestUnreachableTargetsRejectRequest(t *testing.T) {
	unreachable := &fakeTarget{name: "t1", address: "127.0.0.1:1"}
	h := newHarness(t, gate.Config{}, unreachable)
	h.putDocument(testDocument())
	response, err := h.send(context.Background(), "/once/", "q")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, response.Header.Get("Retry-After") != "")
}

// A graceful shutdown first fails the readiness check, then still accepts requests
// for DrainDelay, and lets the requests in flight end.
func TestGracefulShutdown(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	target := newFakeTarget(t, "t1", func(r *receivedRequest) {
		if strings.HasPrefix(r.request.RequestURI, "/stream/") {
			r.writeHead(http.StatusOK, -1)
			r.writeEvent(1)
			close(started)
			<-release
			r.writeEvent(2)
			r.endBody()
			return
		}
		respondOK(r)
	})
	h := newHarness(t, gate.Config{DrainDelay: 300 * time.Millisecond}, target)
	h.putDocument(testDocument())
	ready := func() int {
		response, err := http.Get("http://" + h.readinessAddr + "/ready")
		assert.NilError(t, err)
		_ = response.Body.Close()
		return response.StatusCode
	}
	assert.Equal(t, ready(), http.StatusOK)
	type result struct {
		body string
		err  error
	}
	results := make(chan result, 1)
	go func() {
		_, body, err := h.sendAndRead("/stream/", "q")
		results <- result{body, err}
	}()
	<-started
	h.stop()
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, ready(), http.StatusServiceUnavailable)
	response, err := h.send(context.Background(), "/safe/", "")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Assert(t, response.Close, "the connection is not kept alive")
	time.Sleep(400 * time.Millisecond)
	close(release)
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, eventsText(1, 2))
	assert.NilError(t, <-h.stopped)
}

func TestNewLimitsApplyToNewConnections(t *testing.T) {
	h := newHarness(t, gate.Config{}, newFakeTarget(t, "t1", respondOK))
	document := testDocument()
	document.Limits.MaxHeader = 1000
	h.putDocument(document)
	status, _, err := h.sendAndRead("/safe/", "", "Long", strings.Repeat("x", 20_000))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	document.Limits.MaxHeader = 40_000
	h.putDocument(document)
	status, _, err = h.sendAndRead("/safe/", "", "Long", strings.Repeat("x", 20_000))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// After the first byte timeout, a silent target is abandoned for another one, while
// a target that still responds to other requests is waited for.
func TestOnlySilentTargetsAreAbandoned(t *testing.T) {
	for name, silent := range map[string]bool{"silent": true, "busy": false} {
		t.Run(name, func(t *testing.T) {
			slow := newFakeTarget(t, "t1", nil)
			other := newFakeTarget(t, "t2", respondOK)
			h := newHarness(t, gate.Config{UnearnedRetriesPerSecond: 100}, slow)
			slow.handler = func(r *receivedRequest) {
				if r.id() == "concurrent" {
					r.writeHead(http.StatusOK, -1)
					for id := 1; id <= 40; id++ {
						r.writeEvent(id)
						time.Sleep(20 * time.Millisecond)
					}
					r.endBody()
					return
				}
				h.setTargets(slow, other)
				select {
				case <-r.closed:
				case <-time.After(700 * time.Millisecond):
					respondOK(r)
				}
			}
			document := testDocument()
			for i := range document.Routes {
				document.Routes[i].LatencyObjective = 100 * time.Millisecond
			}
			h.putDocument(document)
			if !silent {
				go func() { _, _, _ = h.sendAndRead("/stream/", "q", "Id", "concurrent") }()
				time.Sleep(50 * time.Millisecond)
			}
			status, _, err := h.sendAndRead("/safe/", "q")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, other.count() == 1, silent)
		})
	}
}

// A caller that does not read occupies neither the gate nor the target for longer
// than WriteTimeout.
func TestCallerThatDoesNotReadIsDisconnected(t *testing.T) {
	target := newFakeTarget(t, "t1", func(r *receivedRequest) {
		r.writeHead(http.StatusOK, -1)
		for id := 1; ; id++ {
			select {
			case <-r.closed:
				return
			default:
				r.writeChunk(fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 10_000)))
			}
		}
	})
	h := newHarness(t, gate.Config{WriteTimeout: 100 * time.Millisecond}, target)
	document := testDocument()
	for i := range document.Routes {
		document.Routes[i].Timeout = time.Minute
	}
	h.putDocument(document)
	response, err := h.send(context.Background(), "/stream/", "q")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	select {
	case <-target.requestAt(0).closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the target still works for a caller that does not read")
	}
}
