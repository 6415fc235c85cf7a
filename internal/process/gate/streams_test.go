package gate_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/gate"
)

func TestStreamIsForwardedEventByEvent(t *testing.T) {
	release := make(chan struct{})
	target := newFakeTarget(t, "t1", func(r *receivedRequest) {
		r.writeHead(http.StatusOK, -1)
		r.writeEvent(1)
		<-release
		r.writeChunk("id: 2\nda")
		r.writeChunk("ta: event 2\n\n")
		r.endBody()
	})
	h := newHarness(t, gate.Config{}, target)
	h.putDocument(testDocument())
	response, err := h.send(context.Background(), "/stream/", "q")
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, 100)
	n, err := response.Body.Read(buffer)
	assert.NilError(t, err)
	assert.Equal(t, string(buffer[:n]), eventsText(1, 1), "the first event does not wait for the second")
	close(release)
	remaining := ""
	for err == nil {
		n, err = response.Body.Read(buffer)
		remaining += string(buffer[:n])
	}
	assert.ErrorContains(t, err, "EOF")
	assert.Equal(t, remaining, eventsText(2, 2))
}

func TestBrokenStreamNeverLooksComplete(t *testing.T) {
	for name, handler := range map[string]func(r *receivedRequest){
		"reset between events": func(r *receivedRequest) {
			r.writeHead(http.StatusOK, -1)
			r.writeEvent(1)
			time.Sleep(20 * time.Millisecond)
			r.reset()
		},
		"ended within an event": func(r *receivedRequest) {
			r.writeHead(http.StatusOK, -1)
			r.writeEvent(1)
			r.writeChunk("id: 2\nda")
			r.endBody()
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := newHarness(t, gate.Config{}, newFakeTarget(t, "t1", handler))
			h.putDocument(testDocument())
			_, body, err := h.sendAndRead("/stream/", "q")
			assert.Assert(t, err != nil)
			assert.Assert(t, body == "" || body == eventsText(1, 1), body)
		})
	}
}

func TestStreamResumesAtAnotherTarget(t *testing.T) {
	first := newFakeTarget(t, "t1", nil)
	second := newFakeTarget(t, "t2", func(r *receivedRequest) {
		r.writeHead(http.StatusOK, -1)
		// Event 2, which the caller already has, is sent again.
		for id := 2; id <= 4; id++ {
			r.writeEvent(id)
		}
		r.endBody()
	})
	h := newHarness(t, gate.Config{UnearnedRetriesPerSecond: 100}, first)
	h.putDocument(testDocument())
	first.handler = func(r *receivedRequest) {
		h.setTargets(first, second)
		r.writeHead(http.StatusOK, -1)
		r.writeEvent(1)
		r.writeEvent(2)
		r.writeChunk("id: 3\nda")
		time.Sleep(20 * time.Millisecond)
		r.reset()
	}
	status, body, err := h.sendAndRead("/resume/", "q")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, body, eventsText(1, 4))
	assert.Equal(t, second.requestAt(0).request.Header.Get("After"), "2")
}

func TestResumedStreamWithGapIsAborted(t *testing.T) {
	first := newFakeTarget(t, "t1", nil)
	second := newFakeTarget(t, "t2", func(r *receivedRequest) { r.writeHead(http.StatusOK, -1); r.writeEvent(3); r.endBody() })
	h := newHarness(t, gate.Config{UnearnedRetriesPerSecond: 100}, first)
	h.putDocument(testDocument())
	first.handler = func(r *receivedRequest) {
		h.setTargets(first, second)
		r.writeHead(http.StatusOK, -1)
		r.writeEvent(1)
		time.Sleep(20 * time.Millisecond)
		r.reset()
	}
	_, body, err := h.sendAndRead("/resume/", "q")
	assert.Assert(t, err != nil, body)
}
