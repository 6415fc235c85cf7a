package main_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// idleTime is enough for every process to have heard of the idle load.
const idleTime = 2 * time.Second

// TestSurgeOnAnIdleFleetIsTaken sends a third of what the engines can run at
// one time to a fleet that has been idle. The queue's patience must be enough
// for the mean load to be known everywhere.
func TestSurgeOnAnIdleFleetIsTaken(t *testing.T) {
	f := startFleet(t, fleetConfig{controls: 1, engines: 3, routers: 1, engineArgs: []string{"--step-time", "3ms"}})
	time.Sleep(idleTime)
	c := newCaller(f.routerAddresses[0])
	var taken atomic.Int64
	var wg sync.WaitGroup
	const count = 64
	for i := range count {
		wg.Go(func() {
			request := newChat(fmt.Sprintf("surge %d", i), 100, true)
			if c.chat(t.Context(), request, nil).whole(request) {
				taken.Add(1)
			}
		})
	}
	wg.Wait()
	assert.Equal(t, taken.Load(), int64(count))
}
