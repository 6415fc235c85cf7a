package side_test

import (
	"bytes"
	"context"
	"fmt"
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

// plainTarget is a target of a plain service with its sidecar.
type plainTarget struct {
	*fleet
	*node
	server *httptest.Server
	link   *link.Client
}

// startPlain serves handler as the target t. Requests for / are answered.
func startPlain(t *testing.T, handler http.HandlerFunc) *plainTarget {
	t.Helper()
	p := &plainTarget{fleet: newFleet(t, permit.Limit{})}
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("/work", handler)
	p.server = httptest.NewServer(mux)
	t.Cleanup(p.server.CloseClientConnections)
	address, err := url.Parse(p.server.URL)
	assert.NilError(t, err)
	listener := listen(t)
	p.node = p.startSidecar("t", address, listener)
	target := targetOf("t", listener.Addr().String())
	target.Service = "s"
	target.Capacity = record.Capacity{Requests: 1000, Tokens: 1_000_000}
	p.submit(&record.Service{Name: "s"}, target)
	p.link = link.NewClient(link.Config{Clock: clock.System{}, Caller: "caller"})
	t.Cleanup(func() { _ = p.link.Close() })
	await(t, orderWait, "the sidecar has the records", func() bool {
		return p.follower.Confirmed() && p.follower.Set().Revision() == p.state.Set().Revision()
	})
	return p
}

// open submits an attempt at /work.
func (p *plainTarget) open(submit *wire.Submit) *link.Stream {
	p.t.Helper()
	submit.Request, submit.Customer, submit.Path, submit.Final = "r", string(customer), "/work", true
	if submit.GetMethod() == "" {
		submit.Method = http.MethodPost
	}
	stream, err := p.link.Open(context.Background(), p.address, &wire.Call{
		Revision: uint64(p.state.Set().Revision()), Body: &wire.Call_Submit{Submit: submit},
	})
	assert.NilError(p.t, err)
	return stream
}

// read reads the whole answer of an attempt.
func (p *plainTarget) read(stream *link.Stream) (a outcome, status int32) {
	p.t.Helper()
	for a.refusal == nil && a.end == nil {
		reply := new(wire.Reply)
		assert.NilError(p.t, stream.Receive(reply))
		a.refusal, a.end = reply.GetRefusal(), reply.GetEnd()
		a.body = append(a.body, reply.GetData()...)
		status = max(status, reply.GetHead().GetStatus())
	}
	return a, status
}

// TestCrashReportHoldsAllInFlight has a target die under many runs, before or
// after another attempt was refused a connection.
func TestCrashReportHoldsAllInFlight(t *testing.T) {
	for name, refusedFirst := range map[string]bool{"all at once": false, "connection refused first": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const count = 300
			var running atomic.Int32
			p := startPlain(t, func(_ http.ResponseWriter, r *http.Request) {
				running.Add(1)
				<-r.Context().Done()
			})
			var streams []*link.Stream
			var want []ident.Fingerprint
			for i := range count {
				fingerprint := ident.Fingerprint(i + 1)
				streams = append(streams, p.open(&wire.Submit{Attempt: fmt.Sprintf("a%d", i), Fingerprint: uint64(fingerprint)}))
				want = append(want, fingerprint)
			}
			await(t, orderWait, "all run", func() bool { return running.Load() == count })
			assert.NilError(t, p.server.Listener.Close())
			if refusedFirst {
				p.read(p.open(&wire.Submit{Attempt: "late", Fingerprint: count + 1}))
			}
			p.server.CloseClientConnections()
			for _, stream := range streams {
				a, _ := p.read(stream)
				assert.Assert(t, a.end.GetTargetCrashed(), "%v", a)
			}
			await(t, orderWait, "control has heard of all that was in flight", func() bool {
				return slices.Equal(p.state.InFlightAtCrash("t"), want)
			})
		})
	}
}

// TestPlannedStopLetsSlowReadersFinish stops a sidecar while a long answer is
// read slowly.
func TestPlannedStopLetsSlowReadersFinish(t *testing.T) {
	t.Parallel()
	want := bytes.Repeat([]byte("0123456789abcdef"), 1<<16)
	p := startPlain(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(want) })
	stream := p.open(&wire.Submit{Attempt: "slow"})
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
	await(t, orderWait, "the sidecar ends", func() bool { return p.Context().Err() != nil })
}

// TestOlderSetChangesNothing has a set come late, after a newer one.
func TestOlderSetChangesNothing(t *testing.T) {
	t.Parallel()
	p := startPlain(t, func(http.ResponseWriter, *http.Request) {})
	older := p.state.Set()
	target, _ := older.Target("t")
	leaving := *target
	leaving.Leaving = true
	p.submit(&leaving)
	await(t, orderWait, "the target leaves", func() bool { return p.Load().GetLeaving() })
	p.ApplyUpdate(new(wire.Update), older)
	assert.Assert(t, p.Load().GetLeaving())
}

// TestPushMovesNoLease pushes to a sidecar that no quorum has confirmed.
func TestPushMovesNoLease(t *testing.T) {
	t.Parallel()
	f := newFleet(t, permit.Limit{})
	gone := listen(t)
	assert.NilError(t, gone.Close())
	f.control = gone.Addr().String()
	n := f.startSidecar("t", &url.URL{Scheme: "http", Host: f.control}, listen(t))
	call := &wire.Call{Body: &wire.Call_Push{Push: &wire.Update{Echo: int64(time.Hour)}}}
	assert.NilError(t, f.newCaller().link.Ask(context.Background(), n.address, call, new(wire.PushReply)))
	assert.Assert(t, !n.follower.Confirmed())
}

// TestRedirectIsTheAnswer has the target answer a POST with a redirect to
// itself.
func TestRedirectIsTheAnswer(t *testing.T) {
	t.Parallel()
	var asked atomic.Int32
	p := startPlain(t, func(w http.ResponseWriter, r *http.Request) {
		asked.Add(1)
		http.Redirect(w, r, "/work?again", http.StatusSeeOther)
	})
	a, status := p.read(p.open(&wire.Submit{Attempt: "a", Once: true, Incarnation: p.Load().GetIncarnation()}))
	assert.Equal(t, a.end.GetOutcome(), wire.Outcome_OUTCOME_RAN, "%v", a)
	assert.Equal(t, status, int32(http.StatusSeeOther))
	assert.Equal(t, asked.Load(), int32(1))
}

// TestStalledReaderHoldsNoPlace submits an attempt with a long answer and
// reads nothing of it.
func TestStalledReaderHoldsNoPlace(t *testing.T) {
	t.Parallel()
	var running atomic.Int32
	p := startPlain(t, func(w http.ResponseWriter, _ *http.Request) {
		running.Add(1)
		defer running.Add(-1)
		for {
			if _, err := w.Write(make([]byte, 1<<16)); err != nil {
				return
			}
		}
	})
	const timeout = time.Second
	begun := time.Now()
	stream := p.open(&wire.Submit{Attempt: "a", TimeoutMs: uint32(timeout.Milliseconds())})
	defer stream.Abort()
	await(t, orderWait, "it runs", func() bool { return running.Load() == 1 && p.Load().GetRequests() == 1 })
	await(t, orderWait, "its place is free", func() bool { return running.Load() == 0 && p.Load().GetRequests() == 0 })
	assert.Assert(t, time.Since(begun) >= timeout)
}
