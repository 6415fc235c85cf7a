package side_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/permit"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// plainTarget is a target of a plain service, without models, and its sidecar.
type plainTarget struct {
	*fleet
	*runningSidecar
	server *httptest.Server
	links  *link.Client
}

// startPlainTarget serves handler at /work as the target t, and starts its
// sidecar. All other paths return an empty response.
func startPlainTarget(t *testing.T, handler http.HandlerFunc) *plainTarget {
	t.Helper()
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/work", handler)
	return startTargetServer(t, httptest.NewServer(mux))
}

// startTargetServer starts the sidecar of the target t, which server serves.
func startTargetServer(t *testing.T, server *httptest.Server) *plainTarget {
	t.Helper()
	p := &plainTarget{fleet: newFleet(t, permit.Limit{}), server: server}
	t.Cleanup(p.server.CloseClientConnections)
	address, err := url.Parse(p.server.URL)
	assert.NilError(t, err)
	listener := listen(t)
	p.runningSidecar = p.startSidecar("t", address, listener)
	target := targetRecord("t", listener.Addr().String())
	target.Service = "s"
	target.Capacity = record.Capacity{Requests: 1000, Tokens: 1_000_000}
	p.applyRecords(&record.Service{Name: "s"}, target)
	p.links = link.NewClient(link.Config{Clock: clock.System{}, Caller: "caller"})
	t.Cleanup(func() { _ = p.links.Close() })
	waitFor(t, waitTimeout, "the sidecar has the records", func() bool {
		return p.follower.Confirmed() && p.follower.Set().Revision() == p.state.Set().Revision()
	})
	return p
}

// submitAttempt submits an attempt of a request for /work.
func (p *plainTarget) submitAttempt(request *wire.Submit) *link.Stream {
	p.t.Helper()
	request.Request, request.Customer, request.Path, request.Final = "r", string(customer), "/work", true
	if request.GetMethod() == "" {
		request.Method = http.MethodPost
	}
	stream, err := p.links.Open(context.Background(), p.address, &wire.Call{
		Revision: uint64(p.state.Set().Revision()), Body: &wire.Call_Submit{Submit: request},
	})
	assert.NilError(p.t, err)
	return stream
}

// submitUntilRunning submits a request until an attempt of it runs, which running
// counts, and returns the result of that attempt. A sidecar may refuse an attempt, for
// instance while its target takes long to accept connections.
func (p *plainTarget) submitUntilRunning(fingerprint ident.Fingerprint, running *atomic.Int32) <-chan attemptResult {
	p.t.Helper()
	before := running.Load()
	for began := time.Now(); ; {
		result := make(chan attemptResult, 1)
		stream := p.submitAttempt(&wire.Submit{Attempt: fmt.Sprintf("a%d-%d", fingerprint, time.Since(began)), Fingerprint: uint64(fingerprint)})
		go func() { result <- receiveResult(stream) }()
		refused := false
		waitFor(p.t, waitTimeout, "the attempt runs or is refused", func() bool {
			refused = len(result) > 0
			return refused || running.Load() > before
		})
		if !refused {
			return result
		}
		assert.Assert(p.t, (<-result).refusal != nil, "neither running nor refused")
		assert.Assert(p.t, time.Since(began) < waitTimeout, "refused for %v", waitTimeout)
		time.Sleep(10 * time.Millisecond)
	}
}

// receiveResult returns the refusal or the end of an attempt, and neither if its stream
// breaks.
func receiveResult(stream *link.Stream) (result attemptResult) {
	for result.refusal == nil && result.end == nil {
		reply := new(wire.Reply)
		if stream.Receive(reply) != nil {
			return result
		}
		result.refusal, result.end = reply.GetRefusal(), reply.GetEnd()
	}
	return result
}

// readAnswer reads the whole answer of an attempt.
func (p *plainTarget) readAnswer(stream *link.Stream) (result attemptResult, status int32) {
	p.t.Helper()
	for result.refusal == nil && result.end == nil {
		reply := new(wire.Reply)
		assert.NilError(p.t, stream.Receive(reply))
		result.refusal, result.end = reply.GetRefusal(), reply.GetEnd()
		result.body = append(result.body, reply.GetData()...)
		status = max(status, reply.GetHead().GetStatus())
	}
	return result, status
}

// TestCrashReportHoldsAllInFlight guards against a crash report that lacks some
// of the requests in flight. A target crashes under many runs at once, with or
// without an earlier attempt whose connection was refused.
func TestCrashReportHoldsAllInFlight(t *testing.T) {
	for name, refusedFirst := range map[string]bool{"all at once": false, "connection refused first": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const count = 300
			var running atomic.Int32
			p := startPlainTarget(t, func(_ http.ResponseWriter, r *http.Request) {
				running.Add(1)
				<-r.Context().Done()
			})
			var answers []<-chan attemptResult
			var want []ident.Fingerprint
			for i := range count {
				fingerprint := ident.Fingerprint(i + 1)
				answers = append(answers, p.submitUntilRunning(fingerprint, &running))
				want = append(want, fingerprint)
			}
			assert.Equal(t, running.Load(), int32(count))
			assert.NilError(t, p.server.Listener.Close())
			if refusedFirst {
				p.readAnswer(p.submitAttempt(&wire.Submit{Attempt: "late", Fingerprint: count + 1}))
			}
			p.server.CloseClientConnections()
			for _, answer := range answers {
				result := <-answer
				assert.Assert(t, result.end.GetTargetCrashed(), "%v", result)
			}
			waitFor(t, waitTimeout, "control knows all requests that were in flight", func() bool {
				return slices.Equal(p.state.InFlightAtCrash("t"), want)
			})
		})
	}
}

// TestStopWaitsForSlowReader guards against a planned stop that cuts off an
// answer. The sidecar is stopped while a long answer is read slowly.
func TestStopWaitsForSlowReader(t *testing.T) {
	t.Parallel()
	want := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	p := startPlainTarget(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(want) })
	stream := p.submitAttempt(&wire.Submit{Attempt: "slow"})
	var got []byte
	for end := (*wire.End)(nil); end == nil; {
		reply := new(wire.Reply)
		assert.NilError(t, stream.Receive(reply), "after %d of %d bytes", len(got), len(want))
		if got == nil {
			p.stop()
		}
		got = append(got, reply.GetData()...)
		end = reply.GetEnd()
		time.Sleep(100 * time.Millisecond)
	}
	assert.Assert(t, bytes.Equal(got, want))
	waitFor(t, waitTimeout, "the sidecar stops", func() bool { return p.Context().Err() != nil })
}

// TestOlderRecordSetIsIgnored guards against a set of records that arrives after
// a newer one and undoes it.
func TestOlderRecordSetIsIgnored(t *testing.T) {
	t.Parallel()
	p := startPlainTarget(t, func(http.ResponseWriter, *http.Request) {})
	older := p.state.Set()
	target, _ := older.Target("t")
	leaving := *target
	leaving.Leaving = true
	p.applyRecords(&leaving)
	waitFor(t, waitTimeout, "the target leaves", func() bool { return p.Load().GetLeaving() })
	p.ApplyUpdate(new(wire.Update), older)
	assert.Assert(t, p.Load().GetLeaving())
}

// TestPushDoesNotRenewLease guards against a pushed update that makes a sidecar
// take its records as confirmed, although it cannot reach control.
func TestPushDoesNotRenewLease(t *testing.T) {
	t.Parallel()
	f := newFleet(t, permit.Limit{})
	closed := listen(t)
	assert.NilError(t, closed.Close())
	f.controlAddress = closed.Addr().String()
	sidecar := f.startSidecar("t", &url.URL{Scheme: "http", Host: f.controlAddress}, listen(t))
	call := &wire.Call{Body: &wire.Call_Push{Push: &wire.Update{Echo: int64(time.Hour)}}}
	assert.NilError(t, f.newCaller().links.Ask(context.Background(), sidecar.address, call, new(wire.PushReply)))
	assert.Assert(t, !sidecar.follower.Confirmed())
}

// TestRedirectIsReturnedToCaller guards against a sidecar that follows a redirect
// and so runs a request twice. The target redirects a POST to itself.
func TestRedirectIsReturnedToCaller(t *testing.T) {
	t.Parallel()
	var requestCount atomic.Int32
	p := startPlainTarget(t, func(w http.ResponseWriter, r *http.Request) {
		requestCount.Add(1)
		http.Redirect(w, r, "/work?again", http.StatusSeeOther)
	})
	result, status := p.readAnswer(p.submitAttempt(&wire.Submit{Attempt: "a", Once: true, Incarnation: p.Load().GetIncarnation()}))
	assert.Equal(t, result.end.GetOutcome(), wire.Outcome_OUTCOME_RAN, "%v", result)
	assert.Equal(t, status, int32(http.StatusSeeOther))
	assert.Equal(t, requestCount.Load(), int32(1))
}

// TestStalledReaderFreesSlotAtDeadline guards against a router that reads nothing
// of a long answer and so holds the slot of the attempt for ever.
func TestStalledReaderFreesSlotAtDeadline(t *testing.T) {
	t.Parallel()
	var running atomic.Int32
	p := startPlainTarget(t, func(w http.ResponseWriter, _ *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		for {
			if _, err := w.Write(make([]byte, 1<<16)); err != nil {
				return
			}
		}
	})
	const timeout = time.Second
	started := time.Now()
	stream := p.submitAttempt(&wire.Submit{Attempt: "a", TimeoutMs: uint32(timeout.Milliseconds())})
	defer stream.Abort()
	waitFor(t, waitTimeout, "the attempt runs", func() bool { return running.Load() == 1 && p.Load().GetRequests() == 1 })
	waitFor(t, waitTimeout, "its slot is free", func() bool { return running.Load() == 0 && p.Load().GetRequests() == 0 })
	assert.Assert(t, time.Since(started) >= timeout)
}

// Guards against a crash that is taken for a whole answer, because the answer ends with
// its connection.
func TestCrashWithinAnswerUntilCloseIsReported(t *testing.T) {
	for name, crashes := range map[string]bool{"target crashes": true, "target lives on": false} {
		t.Run(name, func(t *testing.T) {
			var p *plainTarget
			p = startPlainTarget(t, func(w http.ResponseWriter, _ *http.Request) {
				conn, _, err := http.NewResponseController(w).Hijack()
				assert.Check(t, err)
				if crashes {
					assert.Check(t, p.server.Listener.Close())
				}
				_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhalf of")
				_ = conn.Close()
				if crashes {
					p.server.CloseClientConnections()
				}
			})
			result := receiveResult(p.submitAttempt(&wire.Submit{Attempt: "a", Fingerprint: 7}))
			assert.Equal(t, result.end.GetTargetCrashed(), crashes, "%v", result)
			assert.Equal(t, result.end.GetOutcome() == wire.Outcome_OUTCOME_RAN, !crashes, "%v", result)
			if crashes {
				waitFor(t, waitTimeout, "control knows the request", func() bool {
					return slices.Equal(p.state.InFlightAtCrash("t"), []ident.Fingerprint{7})
				})
			}
		})
	}
}

// Guards against an answer that the target sends a second time, late, when the connection
// is in use for another attempt.
func TestSecondCopyOfAnAnswerReachesNoOtherAttempt(t *testing.T) {
	p := startPlainTarget(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		conn, buffered, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		answer := func(text string) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		}
		answer(string(body))
		next, err := http.ReadRequest(buffered.Reader)
		if err != nil {
			return
		}
		own, _ := io.ReadAll(next.Body)
		answer(string(body))
		answer(string(own))
	})
	for i := range 4 {
		text := fmt.Sprint("request ", i)
		result, status := p.readAnswer(p.submitAttempt(&wire.Submit{Attempt: fmt.Sprint("a", i), Body: []byte(text)}))
		assert.Equal(t, status, int32(http.StatusOK))
		assert.Equal(t, string(result.body), text)
	}
}
