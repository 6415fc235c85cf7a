package side_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/engine"
	"cactusline.dev/cactusline/internal/process/permit"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// TestModelLoadsKeepToSharedRate guards against many engines that fetch weights
// at once and so exceed the shared rate.
func TestModelLoadsKeepToSharedRate(t *testing.T) {
	t.Parallel()
	limit := permit.Limit{Rate: 4, Burst: 2}
	f := newFleet(t, limit)
	var (
		mu    sync.Mutex
		loads []time.Time
	)
	recordLoads := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/orders" {
				mu.Lock()
				loads = append(loads, time.Now())
				mu.Unlock()
			}
			next.ServeHTTP(w, r)
		})
	}
	const engines = 10
	values := []any{modelRecord("1")}
	for i := range engines {
		name := ident.TargetName(fmt.Sprintf("t%d", i))
		listener := listen(t)
		f.startSidecar(name, f.startEngine(engine.New(engine.Config{Models: []ident.ModelName{"m"}, CheckFencing: true}), recordLoads), listener)
		target := targetRecord(name, listener.Addr().String(), record.TargetModel{Name: "m", Version: "1"})
		target.ChecksFencing = true
		values = append(values, target)
	}
	f.applyRecords(values...)
	loadCount := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(loads)
	}
	waitFor(t, waitTimeout, "all engines have received a load order", func() bool { return loadCount() == engines })
	span := loads[engines-1].Sub(loads[0])
	// The allowance covers the varying delay between a grant and its order.
	minSpan := time.Duration(float64(engines-limit.Burst)/limit.Rate*float64(time.Second)) - 300*time.Millisecond
	assert.Assert(t, span > minSpan, "%d loads within %v, want more than %v", engines, span, minSpan)
}
