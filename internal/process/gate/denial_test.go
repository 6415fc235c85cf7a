package gate_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/gate"
	"cactusline.dev/cactusline/internal/version/patch"
	"cactusline.dev/cactusline/internal/version/route"
)

// denialLapse is longer than a document may deny requests without a confirmation.
const denialLapse = 2200 * time.Millisecond

func newDenialHarness(t *testing.T) (*harness, route.Document) {
	t.Helper()
	target := newFakeTarget(t, "a", func(r *receivedRequest) { r.respond(http.StatusOK, "done") })
	h := newHarness(t, gate.Config{}, target)
	document := testDocument()
	document.Customers = []route.Customer{{Name: "c", Keys: []string{"k"}}}
	h.putDocument(document)
	return h, document
}

func (h *harness) checkStatus(path, key string, want int) {
	h.t.Helper()
	response, err := h.send(h.t.Context(), path, "", "Key", key)
	assert.NilError(h.t, err)
	_ = response.Body.Close()
	assert.Equal(h.t, response.StatusCode, want, "%s with key %q", path, key)
	assert.Equal(h.t, response.Header.Get("Retry-After") != "", want == http.StatusServiceUnavailable)
}

// Guards against a gate that denies what a newer document may allow.
func TestDocumentThatIsNotConfirmedDeniesNothing(t *testing.T) {
	t.Parallel()
	h, _ := newDenialHarness(t)
	h.checkStatus("/none/a", "k", http.StatusNotFound)
	h.checkStatus("/safe/a", "other", http.StatusUnauthorized)
	time.Sleep(denialLapse)
	h.checkStatus("/none/a", "k", http.StatusServiceUnavailable)
	h.checkStatus("/safe/a", "other", http.StatusServiceUnavailable)
	h.checkStatus("/safe/a", "k", http.StatusOK)
	h.confirm()
	h.checkStatus("/none/a", "k", http.StatusNotFound)
	h.checkStatus("/safe/a", "other", http.StatusUnauthorized)
}

// Guards against a confirmation of a document that the gate could not apply.
func TestDocumentThatDoesNotCompileIsNotConfirmed(t *testing.T) {
	t.Parallel()
	h, _ := newDenialHarness(t)
	h.checkStatus("/none/a", "k", http.StatusNotFound)
	body, err := patch.Diff(nil, []byte(`{"Version":9,"Routes":7}`))
	assert.NilError(t, err)
	time.Sleep(denialLapse)
	_ = h.follower.ApplyUpdate(&wire.Update{Echo: h.stamp(), Document: &wire.Document{Version: 9, Patch: body}})
	h.checkStatus("/none/a", "k", http.StatusServiceUnavailable)
	h.confirm()
	h.checkStatus("/none/a", "k", http.StatusServiceUnavailable)
}
