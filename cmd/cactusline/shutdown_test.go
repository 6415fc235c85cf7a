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
	// longAnswer is the length of an answer that takes 1.5 s in the acceptance
	// fleet, at 3 ms per token.
	longAnswer = ident.Tokens(500)
	// leavingLimit is how soon a leaving target must stop receiving new requests.
	leavingLimit = 2 * time.Second
)

// TestGracefulStopInterruptsNothing stops processes of each role with SIGTERM during
// long answers and registrations. All answers must be complete.
func TestGracefulStopInterruptsNothing(t *testing.T) {
	for _, c := range []struct {
		name    string
		process func(f *fleet) *process
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
				wg.Go(func() { checkLongChat(t, newCaller(f.routerAddresses[i%2]), i) })
			}
			for i := range 8 {
				wg.Go(func() { checkSingleRegistration(t, newCaller(f.routerAddresses[i%2]), i) })
			}
			time.Sleep(50 * time.Millisecond)
			c.process(f).stop()
			wg.Wait()
		})
	}
}

// checkLongChat checks that a long streamed answer is complete. The chat is retried
// only if it was refused as not run.
func checkLongChat(t *testing.T, c *caller, i int) {
	request := newChat(fmt.Sprintf("long question %d", i), longAnswer, true)
	for range 10 {
		r := c.chat(t.Context(), request, nil)
		if r.status == http.StatusServiceUnavailable && r.outcome == outcomeNotRun {
			time.Sleep(r.retryAfter())
			continue
		}
		assert.Check(t, r.complete(request), "chat %d: %v", i, r)
		return
	}
	t.Errorf("chat %d was refused 10 times", i)
}

// checkSingleRegistration sends a registration once. The reply must say that it ran
// or, as its only target may be stopping, that it was not run.
func checkSingleRegistration(t *testing.T, c *caller, i int) {
	key := fmt.Sprintf("stop-%d", i)
	r := c.register(t.Context(), key, nil)
	if r.status == http.StatusServiceUnavailable && r.outcome == outcomeNotRun {
		return
	}
	assert.Check(t, r.status == http.StatusCreated && r.outcome == outcomeRan && r.entry.Runs == 1, "registration %d: %v", i, r)
}

// TestLeavingTargetGetsNoNewWork marks a target as leaving while one router is cut
// off from control and another is frozen, so that both act on outdated records.
// Once leavingLimit has passed, no router may start an attempt at that target,
// while other targets still get attempts.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	cfg := acceptanceConfig()
	cfg.routers = 3
	var relays []*relay
	cfg.controlAddress = func(process, control string) string {
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
		wg.Go(func() { sendChatsUntil(ctx, t, newCaller(f.routerAddresses[i%3]), i) })
	}
	time.Sleep(time.Second)
	for _, r := range relays {
		r.stall()
	}
	f.routers[2].freeze()
	target := f.targets[0]
	target.Version = 1
	target.Leaving = true
	f.submit(&target)
	leavingDeadline := time.Now().Add(leavingLimit)
	time.Sleep(leavingLimit)
	f.routers[2].thaw()
	time.Sleep(leavingLimit)
	cancel()
	wg.Wait()
	f.sidecars[0].stop()
	f.sidecars[1].stop()
	lateAttempts := attemptsAfter(t, f, "sidecar-engine-1", leavingDeadline)
	assert.Equal(t, lateAttempts, 0, "attempts at the target that left")
	assert.Assert(t, attemptsAfter(t, f, "sidecar-engine-1", time.Time{}) > 0)
	assert.Assert(t, attemptsAfter(t, f, "sidecar-engine-2", leavingDeadline) > 0)
}

// sendChatsUntil sends short chats until ctx ends.
func sendChatsUntil(ctx context.Context, t *testing.T, c *caller, worker int) {
	for n := 0; ctx.Err() == nil; n++ {
		request := newChat(fmt.Sprintf("caller %d question %d", worker, n), 5, false)
		r := c.chat(context.WithoutCancel(ctx), request, nil)
		assert.Check(t, r.checkAnswer(request), "%v", r)
		if r.status != http.StatusOK {
			time.Sleep(pollInterval)
		}
	}
}

// attemptsAfter counts the attempts that a sidecar started after a time, from its
// trace spans.
func attemptsAfter(t *testing.T, f *fleet, process string, since time.Time) int {
	t.Helper()
	count := 0
	for _, s := range readSpans(t, f.traceFile(process)) {
		if s.Name == "sidecar.attempt" && s.StartTime.After(since) {
			count++
		}
	}
	return count
}
