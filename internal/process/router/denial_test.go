package router_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/router"
	"cactusline.dev/cactusline/internal/process/trace"
)

// Guards against a router that denies what newer records may allow.
func TestRecordsWithoutLeaseDenyNothing(t *testing.T) {
	const lease = 200 * time.Millisecond
	began := time.Now()
	links := link.NewClient(link.Config{Clock: clock.System{}})
	defer links.Close()
	follower := watch.NewFollower(watch.Config{
		Addresses: []string{"127.0.0.1:1"}, Link: links, Clock: clock.System{}, Logger: log.NewNopLogger(), Lease: lease,
	})
	tracer, err := trace.New(t.Context(), trace.Config{Process: "r", Role: "router"})
	assert.NilError(t, err)
	r := router.New(router.Config{Process: "r", Clock: clock.System{}, Logger: log.NewNopLogger(), Tracer: tracer, Link: links, Follower: follower})
	confirm := func() {
		assert.NilError(t, follower.ApplyUpdate(&wire.Update{Echo: int64(time.Since(began))}))
	}
	handler := r.Handler()
	check := func(path string, want int) {
		t.Helper()
		request := httptest.NewRequest(http.MethodPost, path, nil)
		request.Header.Set("Authorization", "Bearer key")
		response := httptest.NewRecorder()
		handler.ServeHTTP(response, request)
		assert.Equal(t, response.Code, want, path)
		assert.Equal(t, response.Header().Get("Retry-After") != "", want == http.StatusServiceUnavailable)
	}
	for range 2 {
		confirm()
		check("/v1/chat/completions", http.StatusUnauthorized)
		check("/services/orders/a", http.StatusUnauthorized)
		time.Sleep(lease + 50*time.Millisecond)
		check("/v1/chat/completions", http.StatusServiceUnavailable)
		check("/services/orders/a", http.StatusServiceUnavailable)
	}
}
