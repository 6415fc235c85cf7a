package main_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// idleTime is long enough for every process to learn that the fleet is idle.
const idleTime = 2 * time.Second

// TestIdleFleetAcceptsSurge sends an idle fleet a third of the requests that its
// engines can run concurrently, which is 64 per engine by default. Requests must be
// allowed to wait in the queue until every process knows the new mean load, so that
// none is refused.
func TestIdleFleetAcceptsSurge(t *testing.T) {
	f := startFleet(t, fleetConfig{controls: 1, engines: 3, routers: 1, engineArgs: []string{"--step-time", "3ms"}})
	time.Sleep(idleTime)
	c := newCaller(f.routerAddresses[0])
	var complete atomic.Int64
	var wg sync.WaitGroup
	const count = 64
	for i := range count {
		wg.Go(func() {
			request := newChat(fmt.Sprintf("surge %d", i), 100, true)
			if c.chat(t.Context(), request, nil).complete(request) {
				complete.Add(1)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, complete.Load(), int64(count))
}
