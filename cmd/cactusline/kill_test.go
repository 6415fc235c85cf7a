package main_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestKillsNeverTruncateAnswersSilently kills every engine, or every sidecar, during
// long answers, streamed and not. Each answer must be complete or end in a visible
// error.
func TestKillsNeverTruncateAnswersSilently(t *testing.T) {
	for _, c := range []struct {
		name      string
		processes func(f *fleet) []*process
	}{
		{"engines", func(f *fleet) []*process { return f.engines }},
		{"sidecars", func(f *fleet) []*process { return f.sidecars }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t, acceptanceConfig())
			var wg sync.WaitGroup
			var complete, truncated atomic.Int64
			for i := range 24 {
				wg.Go(func() {
					request := newChat(fmt.Sprintf("long question %d", i), longAnswer, i%2 == 0)
					r := newCaller(f.routerAddresses[i%2]).chat(t.Context(), request, nil)
					assert.Check(t, r.checkAnswer(request), "%v", r)
					if r.complete(request) {
						complete.Add(1)
						return
					}
					truncated.Add(1)
				})
			}
			time.Sleep(600 * time.Millisecond)
			for _, p := range c.processes(f) {
				p.kill()
				p.start()
			}
			wg.Wait()
			t.Logf("%d complete, %d ended in a visible error", complete.Load(), truncated.Load())
			assert.Assert(t, truncated.Load() > 0, "nothing was in flight")
		})
	}
}
