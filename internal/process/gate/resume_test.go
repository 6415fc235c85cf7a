package gate_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/gate"
)

// Guards against an answer that is no continuation in the middle of a caller's stream.
func TestStreamIsContinuedByNoOtherAnswer(t *testing.T) {
	for _, status := range []int{201, 202, 204, 206, 302, 304, 400, 404, 409, 410, 421, 429, 500, 503} {
		t.Run(fmt.Sprint(status), func(t *testing.T) {
			first := newFakeTarget(t, "t1", nil)
			second := newFakeTarget(t, "t2", func(r *receivedRequest) {
				if status == http.StatusNoContent || status == http.StatusNotModified {
					_, _ = fmt.Fprintf(r.conn, "HTTP/1.1 %d X\r\nId: %s\r\n\r\n", status, r.id())
					return
				}
				r.respond(status, "id: 3\ndata: of the error\n\n")
			})
			h := newHarness(t, gate.Config{UnearnedRetriesPerSecond: 100}, first)
			h.putDocument(testDocument())
			first.handler = func(r *receivedRequest) {
				h.setTargets(first, second)
				r.writeHead(http.StatusOK, -1)
				r.writeEvent(1)
				r.writeEvent(2)
				time.Sleep(20 * time.Millisecond)
				r.reset()
			}
			response, err := h.send(t.Context(), "/resume/", "q")
			assert.NilError(t, err)
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			assert.Assert(t, err != nil, "the stream ends as if complete: %q", body)
			assert.Equal(t, string(body), eventsText(1, 2))
			assert.Equal(t, second.count(), 1)
		})
	}
}
