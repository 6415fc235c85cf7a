package main_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/plain"
)

const (
	// endlessAnswerBytes is more than a router keeps of one answer.
	endlessAnswerBytes = 64 << 20
	endlessAnswerLimit = 15 * time.Second
	// targetReleaseLimit bounds the time for which a target still works on a request
	// that has ended.
	targetReleaseLimit = 3 * time.Second
)

// startEndlessService starts a fleet with a service whose answers to paths that end in
// /endless never end. The channel receives a value when the sidecar hangs up on one.
func startEndlessService(t *testing.T) (*caller, <-chan struct{}) {
	t.Helper()
	hungUp := make(chan struct{}, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasSuffix(r.URL.Path, "/endless") {
			return
		}
		chunk := []byte(strings.Repeat("x", 64<<10))
		for sent := 0; sent < endlessAnswerBytes; sent += len(chunk) {
			if _, err := w.Write(chunk); err != nil {
				break
			}
		}
		<-r.Context().Done()
		hungUp <- struct{}{}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(server.CloseClientConnections)
	f := startFleet(t, fleetConfig{controls: 1, routers: 1})
	f.addOrdersService(plain.Orders, server)
	c := newCaller(f.routerAddresses[0])
	await(t, startTimeout, "the router reaches the service", func() bool {
		return c.callService(t, http.MethodGet, "/services/orders/1", "", "").outcome == outcomeRan
	})
	c.client.Timeout = endlessAnswerLimit
	return c, hungUp
}

// TestEndlessAnswerEndsTheRequest guards against a router that keeps an answer without
// end until the request times out.
func TestEndlessAnswerEndsTheRequest(t *testing.T) {
	c, _ := startEndlessService(t)
	r := c.callService(t, http.MethodGet, "/services/orders/endless", "", "")
	assert.NilError(t, r.err)
	assert.Assert(t, r.status == http.StatusBadGateway && r.outcome != outcomeNotRun, "%v", r)
}

// TestTargetIsReleasedWhenTheRouterStopsReading guards against a sidecar that waits to
// send the rest of an answer to a router that reads no more.
func TestTargetIsReleasedWhenTheRouterStopsReading(t *testing.T) {
	c, hungUp := startEndlessService(t)
	c.callService(t, http.MethodGet, "/services/orders/endless", "", "")
	select {
	case <-hungUp:
	case <-time.After(targetReleaseLimit):
		t.Fatalf("the target still sends after %v", targetReleaseLimit)
	}
}
