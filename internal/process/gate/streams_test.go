package gate_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/gate"
)

func TestStreamPassesEventByEvent(t *testing.T) {
	release := make(chan struct{})
	target := newReplica(t, "t1", func(r *run) {
		r.head(http.StatusOK, -1)
		r.event(1)
		<-release
		r.chunk("id: 2\nda")
		r.chunk("ta: event 2\n\n")
		r.end()
	})
	r := newRig(t, gate.Config{}, target)
	r.put(routes())
	answer, err := r.call(context.Background(), "/stream/", "q")
	assert.NilError(t, err)
	defer func() { _ = answer.Body.Close() }()
	buffer := make([]byte, 100)
	n, err := answer.Body.Read(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), events(1, 1), "the first event does not wait for the second")
	close(release)
	rest := ""
	for err == nil {
		n, err = answer.Body.Read(buffer)
		rest += string(buffer[:n])
	}
	assert.ErrorContains(t, err, "EOF")
	assert.Equal(t, rest, events(2, 2))
}

func TestBrokenStreamNeverLooksWhole(t *testing.T) {
	for name, script := range map[string]func(r *run){
		"reset between events": func(r *run) { r.head(http.StatusOK, -1); r.event(1); time.Sleep(20 * time.Millisecond); r.reset() },
		"ended within an event": func(r *run) {
			r.head(http.StatusOK, -1)
			r.event(1)
			r.chunk("id: 2\nda")
			r.end()
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t, gate.Config{}, newReplica(t, "t1", script))
			r.put(routes())
			_, body, err := r.get("/stream/", "q")
			assert.Assert(t, err != nil)
			assert.Assert(t, body == "" || body == events(1, 1), body)
		})
	}
}

func TestResumableStreamGoesOnAtAnotherTarget(t *testing.T) {
	first := newReplica(t, "t1", nil)
	second := newReplica(t, "t2", func(r *run) {
		r.head(http.StatusOK, -1)
		// The event that the caller has comes once more.
		for id := 2; id <= 4; id++ {
			r.event(id)
		}
		r.end()
	})
	r := newRig(t, gate.Config{MinRetriesPerSecond: 100}, first)
	r.put(routes())
	first.script = func(run *run) {
		r.list(first, second)
		run.head(http.StatusOK, -1)
		run.event(1)
		run.event(2)
		run.chunk("id: 3\nda")
		time.Sleep(20 * time.Millisecond)
		run.reset()
	}
	status, body, err := r.get("/resume/", "q")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, events(1, 4))
	assert.Equal(t, second.run(0).request.Header.Get("After"), "2")
}

func TestResumedStreamWithAGapIsBrokenOff(t *testing.T) {
	first := newReplica(t, "t1", nil)
	second := newReplica(t, "t2", func(r *run) { r.head(http.StatusOK, -1); r.event(3); r.end() })
	r := newRig(t, gate.Config{MinRetriesPerSecond: 100}, first)
	r.put(routes())
	first.script = func(run *run) {
		r.list(first, second)
		run.head(http.StatusOK, -1)
		run.event(1)
		time.Sleep(20 * time.Millisecond)
		run.reset()
	}
	_, body, err := r.get("/resume/", "q")
	assert.Assert(t, err != nil, body)
}
