package gate_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/gate"
	"cactusline.dev/cactusline/internal/request/origin"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/route"
)

// fakeOrigins is control as a source of origins.
type fakeOrigins struct {
	mu    sync.Mutex
	known map[origin.StreamKey]origin.Origin
	// possible are the versions of streams that are not known.
	possible []gate.SoftwareAge
	err      error
	asked    int
	onAsk    func()
}

func (f *fakeOrigins) AskOrigin(_ context.Context, question gate.OriginQuestion) (gate.OriginAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked++
	if f.onAsk != nil {
		f.onAsk()
	}
	began, found := f.known[question.Stream]
	return gate.OriginAnswer{Known: found, Origin: began, Possible: f.possible}, f.err
}

// setVersions lists targets of the service "s" with versions.
func (h *harness) setVersions(versions map[*fakeTarget]string) {
	h.rosterStep++
	roster := &wire.Roster{Source: "test", Step: h.rosterStep}
	for target, version := range versions {
		roster.Targets = append(roster.Targets, &wire.RosterTarget{
			Number: uint32(len(roster.Targets) + 1), Name: target.name, Service: "s", Address: target.address, Slots: 8, Version: version,
		})
	}
	assert.NilError(h.t, h.follower.ApplyUpdate(&wire.Update{Roster: roster}))
}

// streamFrom answers with the events from an ID to the fourth.
func streamFrom(first int) func(r *receivedRequest) {
	return func(r *receivedRequest) {
		r.writeHead(http.StatusOK, -1)
		for id := first; id <= 4; id++ {
			r.writeEvent(id)
		}
		r.endBody()
	}
}

func TestBrokenStreamResumesOnlyAtItsVersion(t *testing.T) {
	for _, c := range []struct {
		name, other string
		resumed     bool
	}{{"same version", "v1", true}, {"other version", "v2", false}} {
		t.Run(c.name, func(t *testing.T) {
			first := newFakeTarget(t, "t1", nil)
			second := newFakeTarget(t, "t2", streamFrom(2))
			h := newHarness(t, gate.Config{UnearnedRetriesPerSecond: 100})
			h.putDocument(testDocument())
			h.setVersions(map[*fakeTarget]string{first: "v1"})
			first.handler = func(r *receivedRequest) {
				h.setVersions(map[*fakeTarget]string{first: "v1", second: c.other})
				r.writeHead(http.StatusOK, -1)
				r.writeEvent(1)
				time.Sleep(20 * time.Millisecond)
				r.reset()
			}
			_, body, err := h.sendAndRead("/resume/", "q")
			if c.resumed {
				assert.NilError(t, err)
				assert.Equal(t, body, eventsText(1, 4))
				return
			}
			assert.Assert(t, err != nil, "the stream looks complete: %s", body)
			assert.Equal(t, second.count(), 0)
		})
	}
}

func TestFailureBeforeTheFirstEventMayChangeTheVersion(t *testing.T) {
	first := newFakeTarget(t, "t1", nil)
	second := newFakeTarget(t, "t2", streamFrom(1))
	h := newHarness(t, gate.Config{UnearnedRetriesPerSecond: 100})
	h.putDocument(testDocument())
	h.setVersions(map[*fakeTarget]string{first: "v1"})
	first.handler = func(r *receivedRequest) {
		h.setVersions(map[*fakeTarget]string{first: "v1", second: "v2"})
		r.reset()
	}
	_, body, err := h.sendAndRead("/resume/", "q")
	assert.NilError(t, err)
	assert.Equal(t, body, eventsText(1, 4))
}

// newVersionHarness returns a gate with a target of v1 and one of v2.
func newVersionHarness(t *testing.T, origins *fakeOrigins) (h *harness, v1, v2 *fakeTarget) {
	t.Helper()
	v1, v2 = newFakeTarget(t, "t1", streamFrom(2)), newFakeTarget(t, "t2", streamFrom(2))
	cfg := gate.Config{UnearnedRetriesPerSecond: 100}
	if origins != nil {
		cfg.Origins = origins
	}
	h = newHarness(t, cfg)
	h.putDocument(testDocument())
	h.setVersions(map[*fakeTarget]string{v1: "v1", v2: "v2"})
	return h, v1, v2
}

func TestStreamOfAnotherGateIsTakenUpAtItsVersion(t *testing.T) {
	origins := &fakeOrigins{known: map[origin.StreamKey]origin.Origin{origin.KeyOf("first"): {Service: "s", Version: "v2"}}}
	h, v1, v2 := newVersionHarness(t, origins)
	for range 10 {
		_, body, err := h.sendAndRead("/resume/", "q", "Resumes", "first", "After", "1")
		assert.NilError(t, err)
		assert.Equal(t, body, eventsText(2, 4))
	}
	assert.Assert(t, v1.count() == 0 && v2.count() == 10, "%d and %d", v1.count(), v2.count())
}

func TestStreamOfThisGateNeedsNoQuestion(t *testing.T) {
	origins := &fakeOrigins{err: errors.New("no leader")}
	h, v1, v2 := newVersionHarness(t, origins)
	v1.handler, v2.handler = streamFrom(1), streamFrom(1)
	_, _, err := h.sendAndRead("/resume/", "q", "Id", "first")
	assert.NilError(t, err)
	began := v1
	if v2.count() > 0 {
		began = v2
	}
	v1.handler, v2.handler = streamFrom(2), streamFrom(2)
	for range 5 {
		status, _, err := h.sendAndRead("/resume/", "q", "Resumes", "first", "After", "1")
		assert.NilError(t, err)
		assert.Equal(t, status, http.StatusOK)
	}
	assert.Equal(t, began.count(), 6)
	assert.Equal(t, origins.asked, 0)
}

func TestStreamOfUnknownOriginIsRejected(t *testing.T) {
	for name, origins := range map[string]*fakeOrigins{
		"unknown to control": {}, "no control": {err: errors.New("no leader")}, "only gate": nil,
	} {
		t.Run(name, func(t *testing.T) {
			h, v1, v2 := newVersionHarness(t, origins)
			for _, header := range [][]string{{"Resumes", "first", "After", "1"}, {"After", "1"}, {"Resumes", "first"}} {
				status, body, err := h.sendAndRead("/resume/", "q", header...)
				assert.NilError(t, err)
				assert.Equal(t, status, http.StatusServiceUnavailable)
				assert.Equal(t, body, "{\"Error\":\"OriginUnknown\"}\n")
			}
			assert.Equal(t, v1.count()+v2.count(), 0)
		})
	}
}

func TestStreamThatIsBeingReportedIsAskedForTwice(t *testing.T) {
	origins := &fakeOrigins{known: map[origin.StreamKey]origin.Origin{}}
	origins.onAsk = func() {
		if origins.asked == 2 {
			origins.known[origin.KeyOf("first")] = origin.Origin{Service: "s", Version: "v1"}
		}
	}
	h, v1, _ := newVersionHarness(t, origins)
	status, _, err := h.sendAndRead("/resume/", "q", "Resumes", "first", "After", "1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, v1.count(), 1)
}

func TestStreamWhoseVersionIsGoneIsRejectedAtOnce(t *testing.T) {
	origins := &fakeOrigins{known: map[origin.StreamKey]origin.Origin{origin.KeyOf("first"): {Service: "s", Version: "v0"}}}
	h, v1, v2 := newVersionHarness(t, origins)
	began := time.Now()
	status, body, err := h.sendAndRead("/resume/", "q", "Resumes", "first", "After", "1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, "{\"Error\":\"VersionGone\"}\n")
	assert.Assert(t, time.Since(began) < 200*time.Millisecond)
	assert.Equal(t, v1.count()+v2.count(), 0)
}

func TestStreamOfAServiceThatTheRouteLeftIsRejected(t *testing.T) {
	origins := &fakeOrigins{known: map[origin.StreamKey]origin.Origin{origin.KeyOf("first"): {Service: "other", Version: "v1"}}}
	h, v1, v2 := newVersionHarness(t, origins)
	status, body, err := h.sendAndRead("/resume/", "q", "Resumes", "first", "After", "1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, body, "{\"Error\":\"OriginUnknown\"}\n", "the service may have targets")
	assert.Equal(t, v1.count()+v2.count(), 0)
}

// A service that has just had its first list may have had other versions before.
func TestOneVersionOfLateIsNoKnowledge(t *testing.T) {
	h, v1, _ := newVersionHarness(t, nil)
	h.setVersions(map[*fakeTarget]string{v1: "v1"})
	status, _, err := h.sendAndRead("/resume/", "q", "Resumes", "first", "After", "1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
}

// withTimeout returns testDocument with another timeout of its routes.
func withTimeout(timeout time.Duration) route.Document {
	document := testDocument()
	for i := range document.Routes {
		document.Routes[i].Timeout = timeout
	}
	return document
}

func TestOnlyVersionForAsLongAsStreamsLastIsTakenUp(t *testing.T) {
	v1 := newFakeTarget(t, "t1", streamFrom(2))
	h := newHarness(t, gate.Config{})
	h.putDocument(withTimeout(200 * time.Millisecond))
	h.setVersions(map[*fakeTarget]string{v1: "v1"})
	time.Sleep(450 * time.Millisecond)
	status, body, err := h.sendAndRead("/resume/", "q", "After", "1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, eventsText(2, 4))
}

// Guards against streams that began by a longer timeout than the document has now.
func TestShortenedTimeoutKeepsStreamsApartForAsLongAsBefore(t *testing.T) {
	v1 := newFakeTarget(t, "t1", streamFrom(2))
	origins := &fakeOrigins{possible: []gate.SoftwareAge{{Version: "v1"}, {Version: "v0", Absent: 600 * time.Millisecond}}}
	h := newHarness(t, gate.Config{Origins: origins})
	h.setVersions(map[*fakeTarget]string{v1: "v1"})
	statusAfter := func(document route.Document) int {
		h.putDocument(document)
		status, _, err := h.sendAndRead("/resume/", "q", "After", "1")
		assert.NilError(t, err)
		return status
	}
	assert.Equal(t, statusAfter(withTimeout(200*time.Millisecond)), http.StatusOK)
	assert.Equal(t, statusAfter(withTimeout(500*time.Millisecond)), http.StatusServiceUnavailable)
	assert.Equal(t, statusAfter(withTimeout(200*time.Millisecond)), http.StatusServiceUnavailable)
	time.Sleep(1050 * time.Millisecond)
	assert.Equal(t, statusAfter(withTimeout(200*time.Millisecond)), http.StatusOK)
}

// Soon after its start a gate does not know which timeouts its routes had before.
func TestStartedGateAllowsForTheLongestTimeout(t *testing.T) {
	v1 := newFakeTarget(t, "t1", streamFrom(2))
	origins := &fakeOrigins{possible: []gate.SoftwareAge{{Version: "v1"}, {Version: "v0", Absent: 500 * time.Millisecond}}}
	h := newHarness(t, gate.Config{Origins: origins})
	document := withTimeout(200 * time.Millisecond)
	document.Routes[2].Timeout = 400 * time.Millisecond // another route for streams
	h.putDocument(document)
	h.setVersions(map[*fakeTarget]string{v1: "v1"})
	status, _, err := h.sendAndRead("/resume/", "q", "After", "1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	time.Sleep(850 * time.Millisecond)
	status, _, err = h.sendAndRead("/resume/", "q", "After", "1")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
}

// Control names all versions that may have begun a stream; one alone is an answer.
func TestOnlyPossibleVersionIsTakenUp(t *testing.T) {
	longGone := gate.SoftwareAge{Version: "v0", Absent: time.Minute}
	for name, c := range map[string]struct {
		possible []gate.SoftwareAge
		err      error
		status   int
	}{
		"one":            {[]gate.SoftwareAge{{Version: "v1"}}, nil, http.StatusOK},
		"one and a gone": {[]gate.SoftwareAge{longGone, {Version: "v1"}}, nil, http.StatusOK},
		"two":            {[]gate.SoftwareAge{{Version: "v1"}, {Version: "v2"}}, nil, http.StatusServiceUnavailable},
		"one just gone":  {[]gate.SoftwareAge{{Version: "v1"}, {Version: "v0", Absent: 3900 * time.Millisecond}}, nil, http.StatusServiceUnavailable},
		"only gone":      {[]gate.SoftwareAge{longGone}, nil, http.StatusServiceUnavailable},
		"none":           {nil, nil, http.StatusServiceUnavailable},
		"no answer":      {[]gate.SoftwareAge{{Version: "v1"}}, errors.New("no leader"), http.StatusServiceUnavailable},
	} {
		for _, header := range [][]string{{"After", "1"}, {"Resumes", "first", "After", "1"}} {
			t.Run(name, func(t *testing.T) {
				v1 := newFakeTarget(t, "t1", streamFrom(2))
				h := newHarness(t, gate.Config{Origins: &fakeOrigins{possible: c.possible, err: c.err}})
				h.putDocument(testDocument())
				h.setVersions(map[*fakeTarget]string{v1: "v1"})
				status, _, err := h.sendAndRead("/resume/", "q", header...)
				assert.NilError(t, err)
				assert.Equal(t, status, c.status)
			})
		}
	}
}

func TestBegunStreamsAreReported(t *testing.T) {
	h, v1, v2 := newVersionHarness(t, nil)
	v1.handler, v2.handler = streamFrom(1), streamFrom(1)
	_, _, err := h.sendAndRead("/resume/", "q", "Id", "first")
	assert.NilError(t, err)
	_, _, err = h.sendAndRead("/stream/", "q", "Id", "cannot be resumed")
	assert.NilError(t, err)
	select {
	case <-h.gate.StreamsBegan():
	case <-time.After(time.Second):
		t.Fatal("no signal")
	}
	for _, all := range []bool{false, true} {
		reports := h.gate.StreamOrigins(all)
		assert.Equal(t, len(reports), 1, "all: %v", all)
		assert.DeepEqual(t, reports[0].GetStreams(), []uint64{uint64(origin.KeyOf(ident.RequestID("first")))})
	}
	assert.Equal(t, len(h.gate.StreamOrigins(false)), 0, "reported twice")
}
