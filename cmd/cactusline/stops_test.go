package main_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// longAnswer takes 1.5 s at the acceptance fleet's step time.
	longAnswer = ident.Tokens(500)
	// leavingLimit is how soon a leaving target must get no new work.
	leavingLimit = 2 * time.Second
)

// TestPlannedStopsCutNothing ends processes of each role, as an operator
// does, in the middle of long answers and of steps. All of them end whole.
func TestPlannedStopsCutNothing(t *testing.T) {
	for _, c := range []struct {
		name string
		stop func(f *fleet) *process
	}{
		{"router", func(f *fleet) *process { return f.routers[0] }},
		{"engine's sidecar", func(f *fleet) *process { return f.sidecars[0] }},
		{"service's sidecar", func(f *fleet) *process { return f.sidecars[len(f.sidecars)-1] }},
		{"control", func(f *fleet) *process { return f.controls[0] }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t, acceptanceConfig())
			var wg sync.WaitGroup
			for i := range 12 {
				wg.Go(func() { checkChatOf(t, newCaller(f.routerAddresses[i%2]), i) })
			}
			for i := range 8 {
				wg.Go(func() { checkOnlyStep(t, newCaller(f.routerAddresses[i%2]), i) })
			}
			time.Sleep(50 * time.Millisecond)
			c.stop(f).stop()
			wg.Wait()
		})
	}
}

// checkChatOf wants one long streamed answer whole, without a resend unless
// it was refused as not run.
func checkChatOf(t *testing.T, c *caller, i int) {
	request := newChat(fmt.Sprintf("long question %d", i), longAnswer, true)
	for range 10 {
		r := c.chat(t.Context(), request, nil)
		if r.status == http.StatusServiceUnavailable && r.outcome == outcomeNotRun {
			time.Sleep(r.retryAfter())
			continue
		}
		assert.Check(t, r.whole(request), "chat %d: %v", i, r)
		return
	}
	t.Errorf("chat %d was refused ten times", i)
}

// checkOnlyStep sends a step once and wants to be told that it ran or, where
// its only target is stopping, that it did not.
func checkOnlyStep(t *testing.T, c *caller, i int) {
	key := fmt.Sprintf("stop-%d", i)
	r := c.step(t.Context(), key, nil)
	if r.status == http.StatusServiceUnavailable && r.outcome == outcomeNotRun {
		return
	}
	assert.Check(t, r.status == http.StatusCreated && r.outcome == outcomeRan && r.entry.Runs == 1, "step %d: %v", i, r)
}

// TestLeavingTargetGetsNoNewWork has a target leave while one router hears
// nothing from control and another one is frozen, so that both go on from the
// older records.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	cfg := acceptanceConfig()
	cfg.routers = 3
	var relays []*relay
	cfg.through = func(process, control string) string {
		if process != "router-2" {
			return control
		}
		relays = append(relays, startRelay(t, control, 1))
		return relays[len(relays)-1].address()
	}
	f := startFleet(t, cfg)
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i := range 9 {
		wg.Go(func() { chatUntil(ctx, t, newCaller(f.routerAddresses[i%3]), i) })
	}
	time.Sleep(time.Second)
	for _, r := range relays {
		r.silence()
	}
	f.routers[2].freeze()
	target := f.targets[0]
	target.Version = 1
	target.Leaving = true
	f.submit(&target)
	limit := time.Now().Add(leavingLimit)
	time.Sleep(leavingLimit)
	f.routers[2].thaw()
	time.Sleep(leavingLimit)
	cancel()
	wg.Wait()
	f.sidecars[0].stop()
	f.sidecars[1].stop()
	late := startedAfter(t, f, "sidecar-engine-1", limit)
	assert.Equal(t, late, 0, "attempts at the target that left")
	assert.Assert(t, startedAfter(t, f, "sidecar-engine-1", time.Time{}) > 0)
	assert.Assert(t, startedAfter(t, f, "sidecar-engine-2", limit) > 0)
}

// chatUntil makes short chats until ctx ends.
func chatUntil(ctx context.Context, t *testing.T, c *caller, worker int) {
	for n := 0; ctx.Err() == nil; n++ {
		request := newChat(fmt.Sprintf("caller %d question %d", worker, n), 5, false)
		r := c.chat(context.WithoutCancel(ctx), request, nil)
		assert.Check(t, r.wrong(request), "%v", r)
		if r.status != http.StatusOK {
			time.Sleep(pollInterval)
		}
	}
}

// startedAfter counts the attempts that a sidecar began after a time, by its
// own spans.
func startedAfter(t *testing.T, f *fleet, process string, since time.Time) int {
	t.Helper()
	count := 0
	for _, s := range readSpans(t, f.traceFile(process)) {
		if s.Name == "sidecar.attempt" && s.StartTime.After(since) {
			count++
		}
	}
	return count
}
