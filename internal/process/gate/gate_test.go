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

func events(from, to int) string {
	text := ""
	for id := from; id <= to; id++ {
		text += fmt.Sprintf("id: %d\ndata: event %d\n\n", id, id)
	}
	return text
}

func ok(r *run) { r.answer(http.StatusOK, "body of "+r.id(), "Stamp: s") }

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	target := newReplica(t, "t1", ok)
	r := newRig(t, gate.Config{}, target)
	document := routes()
	document.Customers = []route.Customer{{Name: "firm", Keys: []string{"k"}}}
	r.put(document)
	answer, err := r.call(context.Background(), "/safe/a%2Fb?x=1&y=%20", "question", "Key", "k", "Customer", "forged", "Kept", "yes")
	assert.NilError(t, err)
	defer func() { _ = answer.Body.Close() }()
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	assert.Equal(t, answer.Header.Get("Stamp"), "s")
	got := target.run(0)
	assert.Equal(t, got.request.RequestURI, "/safe/a%2Fb?x=1&y=%20")
	assert.Equal(t, got.body, "question")
	assert.Equal(t, got.request.Header.Get("Kept"), "yes")
	assert.Equal(t, got.request.Header.Get("Customer"), "firm")
	assert.Equal(t, got.request.Header.Get("Key"), "")
	assert.Equal(t, got.request.Header.Get("Target"), "t1")
}

func TestRefusalsByTheDocument(t *testing.T) {
	target := newReplica(t, "t1", ok)
	r := newRig(t, gate.Config{}, target)
	answer, err := r.call(context.Background(), "/safe/a", "")
	assert.NilError(t, err)
	defer func() { _ = answer.Body.Close() }()
	assert.Equal(t, answer.StatusCode, http.StatusServiceUnavailable, "no document yet")
	assert.Assert(t, answer.Header.Get("Retry-After") != "")

	document := routes()
	document.Customers = []route.Customer{{Name: "firm", Keys: []string{"k"}}}
	document.Limits.MaxBody = 10
	r.put(document)
	for _, c := range []struct {
		path, body, key string
		want            int
	}{
		{"/safe/a", "", "k", http.StatusOK},
		{"/safe/a", "", "other", http.StatusUnauthorized},
		{"/none/a", "", "k", http.StatusNotFound},
		{"/safe/a", "longer than ten", "k", http.StatusRequestEntityTooLarge},
	} {
		status, _, err := r.get(c.path, c.body, "Key", c.key)
		assert.NilError(t, err)
		assert.Equal(t, status, c.want, "%s %s %s", c.path, c.body, c.key)
	}
	// The key is taken away: the next request on any connection is refused.
	document.Customers[0].Keys = []string{"fresh"}
	r.put(document)
	status, _, err := r.get("/safe/a", "", "Key", "k")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusUnauthorized)
}

func TestOlderDocumentIsNeverTaken(t *testing.T) {
	r := newRig(t, gate.Config{}, newReplica(t, "t1", ok))
	r.put(routes())
	r.put(route.Document{Services: []route.Service{{Name: "s"}}})
	r.version -= 2
	r.put(routes())
	status, _, err := r.get("/safe/a", "")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotFound)
}

// Failures of a first target, and what each kind of request makes of them.
func TestFailuresOfTheFirstTarget(t *testing.T) {
	lost := func(r *run) { r.reset() }
	full := func(r *run) { r.answer(http.StatusServiceUnavailable, "", "Not-Run: yes") }
	wrong := func(r *run) { r.answer(http.StatusMisdirectedRequest, "", "Not-Run: yes") }
	failing := func(r *run) { r.answer(http.StatusInternalServerError, "it failed") }
	cut := func(r *run) { r.head(http.StatusOK, 100); r.reset() }
	foreign := func(r *run) {
		for range 9 {
			r.request.Header.Set("Id", "of another")
			r.answer(http.StatusOK, "not yours")
		}
	}
	cases := []struct {
		name   string
		first  func(r *run)
		path   string
		status int
		body   string
		sent   int
	}{
		{"lost, safe", lost, "/safe/", http.StatusOK, "good", 2},
		{"lost, once", lost, "/once/", http.StatusBadGateway, "", 1},
		{"lost, stream", lost, "/stream/", http.StatusBadGateway, "", 1},
		{"lost, resumable", lost, "/resume/", http.StatusOK, events(1, 3), 2},
		{"full, once", full, "/once/", http.StatusOK, "good", 2},
		{"full, stream", full, "/stream/", http.StatusOK, events(1, 3), 2},
		{"wrong instance, once", wrong, "/once/", http.StatusOK, "good", 2},
		{"failing, safe", failing, "/safe/", http.StatusOK, "good", 2},
		{"failing, once", failing, "/once/", http.StatusInternalServerError, "it failed", 1},
		{"cut, safe", cut, "/safe/", http.StatusOK, "good", 2},
		{"cut, once", cut, "/once/", http.StatusBadGateway, "", 1},
		{"foreign, safe", foreign, "/safe/", http.StatusOK, "good", 2},
		{"foreign, once", foreign, "/once/", http.StatusBadGateway, "", 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			bad := newReplica(t, "t1", c.first)
			good := newReplica(t, "t2", func(r *run) { r.answer(http.StatusOK, c.body) })
			r := newRig(t, gate.Config{MinRetriesPerSecond: 100}, bad)
			r.put(routes())
			// The second target is there only for what is sent again.
			bad.script = func(run *run) { r.list(bad, good); c.first(run) }
			status, body, err := r.get(c.path, "q")
			assert.NilError(t, err)
			assert.Equal(t, status, c.status, body)
			if c.body != "" {
				assert.Equal(t, body, c.body)
			}
			assert.Equal(t, bad.count()+good.count(), c.sent)
		})
	}
}

func TestRepeatsStayWithinTheBudget(t *testing.T) {
	bad := newReplica(t, "t1", func(r *run) { r.answer(http.StatusInternalServerError, "") })
	r := newRig(t, gate.Config{RetryRatio: 0.1, MinRetriesPerSecond: 0.1}, bad, newReplica(t, "t2", bad.script))
	r.put(routes())
	const requests = 60
	for i := range requests {
		_, _, err := r.get("/safe/", "", "Id", fmt.Sprint(i))
		assert.NilError(t, err)
	}
	other := bad.count()
	assert.Assert(t, other <= requests+requests/5, "%d arrivals", other)
}

func TestCallerThatLeavesEndsTheRun(t *testing.T) {
	target := newReplica(t, "t1", func(r *run) {
		r.head(http.StatusOK, -1)
		r.event(1)
		<-r.closed
	})
	r := newRig(t, gate.Config{}, target)
	r.put(routes())
	ctx, leave := context.WithCancel(context.Background())
	answer, err := r.call(ctx, "/stream/", "q")
	assert.NilError(t, err)
	defer func() { _ = answer.Body.Close() }()
	_, err = answer.Body.Read(make([]byte, 10))
	assert.NilError(t, err)
	leave()
	select {
	case <-target.run(0).closed:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the target still works for a caller that has left")
	}
}

func TestAnswerAtTheRoutesTimeout(t *testing.T) {
	target := newReplica(t, "t1", func(r *run) { <-r.closed })
	r := newRig(t, gate.Config{}, target)
	document := routes()
	for i := range document.Routes {
		document.Routes[i].Timeout = 200 * time.Millisecond
	}
	r.put(document)
	began := time.Now()
	status, _, err := r.get("/once/", "q", "Wait", "5s")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusGatewayTimeout)
	took := time.Since(began)
	assert.Assert(t, took >= 200*time.Millisecond && took < 600*time.Millisecond, "%v", took)
	wait, err := time.ParseDuration(target.run(0).request.Header.Get("Wait"))
	assert.NilError(t, err)
	assert.Assert(t, wait <= 200*time.Millisecond, "the target is told %v", wait)
}

func TestUnreachableTargetsAreARefusal(t *testing.T) {
	gone := &replica{name: "t1", addr: "127.0.0.1:1"}
	r := newRig(t, gate.Config{}, gone)
	r.put(routes())
	answer, err := r.call(context.Background(), "/once/", "q")
	assert.NilError(t, err)
	defer func() { _ = answer.Body.Close() }()
	assert.Equal(t, answer.StatusCode, http.StatusServiceUnavailable)
	assert.Assert(t, answer.Header.Get("Retry-After") != "")
}

// A stop lets what is in flight end, tells the balancer first and takes
// requests until it has listened.
func TestStopCutsNothing(t *testing.T) {
	begun, release := make(chan struct{}), make(chan struct{})
	target := newReplica(t, "t1", func(r *run) {
		if strings.HasPrefix(r.request.RequestURI, "/stream/") {
			r.head(http.StatusOK, -1)
			r.event(1)
			close(begun)
			<-release
			r.event(2)
			r.end()
			return
		}
		ok(r)
	})
	r := newRig(t, gate.Config{DrainDelay: 300 * time.Millisecond}, target)
	r.put(routes())
	ready := func() int {
		answer, err := http.Get("http://" + r.ready + "/ready")
		assert.NilError(t, err)
		_ = answer.Body.Close()
		return answer.StatusCode
	}
	assert.Equal(t, ready(), http.StatusOK)
	type result struct {
		body string
		err  error
	}
	results := make(chan result, 1)
	go func() {
		_, body, err := r.get("/stream/", "q")
		results <- result{body, err}
	}()
	<-begun
	r.stop()
	time.Sleep(50 * time.Millisecond)
	assert.Equal(t, ready(), http.StatusServiceUnavailable)
	answer, err := r.call(context.Background(), "/safe/", "")
	assert.NilError(t, err)
	defer func() { _ = answer.Body.Close() }()
	assert.Equal(t, answer.StatusCode, http.StatusOK)
	assert.Assert(t, answer.Close, "connections are not kept")
	time.Sleep(400 * time.Millisecond)
	close(release)
	got := <-results
	assert.NilError(t, got.err)
	assert.Equal(t, got.body, events(1, 2))
	assert.NilError(t, <-r.stopped)
}

func TestNewLimitsHoldForNewConnections(t *testing.T) {
	r := newRig(t, gate.Config{}, newReplica(t, "t1", ok))
	document := routes()
	document.Limits.MaxHeader = 1000
	r.put(document)
	status, _, err := r.get("/safe/", "", "Long", strings.Repeat("x", 20_000))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusRequestHeaderFieldsTooLarge)
	document.Limits.MaxHeader = 40_000
	r.put(document)
	status, _, err = r.get("/safe/", "", "Long", strings.Repeat("x", 20_000))
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// A target that works on other requests is waited for; one that is silent is
// left for another.
func TestOnlySilentTargetsAreGivenUp(t *testing.T) {
	for name, silent := range map[string]bool{"silent": true, "busy": false} {
		t.Run(name, func(t *testing.T) {
			slow := newReplica(t, "t1", nil)
			other := newReplica(t, "t2", ok)
			r := newRig(t, gate.Config{MinRetriesPerSecond: 100}, slow)
			slow.script = func(run *run) {
				if run.id() == "beside" {
					run.head(http.StatusOK, -1)
					for id := 1; id <= 40; id++ {
						run.event(id)
						time.Sleep(20 * time.Millisecond)
					}
					run.end()
					return
				}
				r.list(slow, other)
				select {
				case <-run.closed:
				case <-time.After(700 * time.Millisecond):
					ok(run)
				}
			}
			document := routes()
			for i := range document.Routes {
				document.Routes[i].Objective = 100 * time.Millisecond
			}
			r.put(document)
			if !silent {
				go func() { _, _, _ = r.get("/stream/", "q", "Id", "beside") }()
				time.Sleep(50 * time.Millisecond)
			}
			status, _, err := r.get("/safe/", "q")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, other.count() == 1, silent)
		})
	}
}

// A caller that does not read holds neither the gate nor the target for long.
func TestCallerThatDoesNotReadIsLeft(t *testing.T) {
	target := newReplica(t, "t1", func(r *run) {
		r.head(http.StatusOK, -1)
		for id := 1; ; id++ {
			select {
			case <-r.closed:
				return
			default:
				r.chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", id, strings.Repeat("x", 10_000)))
			}
		}
	})
	r := newRig(t, gate.Config{WriteTimeout: 100 * time.Millisecond}, target)
	document := routes()
	for i := range document.Routes {
		document.Routes[i].Timeout = time.Minute
	}
	r.put(document)
	answer, err := r.call(context.Background(), "/stream/", "q")
	assert.NilError(t, err)
	defer func() { _ = answer.Body.Close() }()
	select {
	case <-target.run(0).closed:
	case <-time.After(5 * time.Second):
		t.Fatal("the target still works for a caller that does not read")
	}
}
