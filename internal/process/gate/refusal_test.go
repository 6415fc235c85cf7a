package gate_test

import (
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/gate"
)

// Guards against an earlier refusal that is taken for the answer to a later request with
// the same ID.
func TestRefusalThatIsWrittenOnceMoreIsNotBelieved(t *testing.T) {
	for _, path := range []string{"/once/", "/stream/", "/safe/"} {
		t.Run(path, func(t *testing.T) {
			var ran atomic.Int64
			handler := func(r *receivedRequest) {
				refused := r.request.Header.Get("Refused") != ""
				if !refused {
					// A connection that has carried the refusal delivers it once more.
					if r.request.Header.Get("Again") != "" && r.exchanges > 1 {
						r.respond(http.StatusServiceUnavailable, "", "Not-Run: yes")
					}
					ran.Add(1)
					r.respond(http.StatusOK, eventsText(1, 1))
					return
				}
				r.respond(http.StatusServiceUnavailable, "", "Not-Run: yes")
			}
			targets := []*fakeTarget{newFakeTarget(t, "t1", handler), newFakeTarget(t, "t2", handler)}
			h := newHarness(t, gate.Config{UnearnedRetriesPerSecond: 100}, targets...)
			h.putDocument(testDocument())
			status, _, err := h.sendAndRead(path, "q", "Id", "x", "Refused", "yes")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusServiceUnavailable)
			status, _, err = h.sendAndRead(path, "q", "Id", "x", "Again", "yes")
			assert.NilError(t, err)
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, ran.Load(), int64(1))
		})
	}
}
