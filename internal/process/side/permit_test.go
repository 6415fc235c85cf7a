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

// TestLoadsKeepToTheSharedRate has many engines ask for weights at once.
func TestLoadsKeepToTheSharedRate(t *testing.T) {
	t.Parallel()
	limit := permit.Limit{Rate: 4, Burst: 2}
	f := newFleet(t, limit)
	var (
		mu    sync.Mutex
		loads []time.Time
	)
	count := func(next http.Handler) http.Handler {
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
		f.startSidecar(name, f.startEngine(engine.New(engine.Config{Models: []ident.ModelName{"m"}, CheckFencing: true}), count), listener)
		target := targetOf(name, listener.Addr().String(), record.TargetModel{Name: "m", Version: "1"})
		target.ChecksFencing = true
		values = append(values, target)
	}
	f.submit(values...)
	done := func() int {
		mu.Lock()
		defer mu.Unlock()
		return len(loads)
	}
	await(t, orderWait, "all engines have been ordered", func() bool { return done() == engines })
	span := loads[engines-1].Sub(loads[0])
	// Grants reach engines with a delay that varies.
	least := time.Duration(float64(engines-limit.Burst)/limit.Rate*float64(time.Second)) - 300*time.Millisecond
	assert.Assert(t, span > least, "%d loads within %v, not %v", engines, span, least)
}
