package main_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestKilledProcessesEndNoAnswerShort kills every engine, or every sidecar, in
// the middle of long answers, streamed and not. Each answer is whole or ends in
// a visible error.
func TestKilledProcessesEndNoAnswerShort(t *testing.T) {
	for _, c := range []struct {
		name string
		kill func(f *fleet) []*process
	}{
		{"engines", func(f *fleet) []*process { return f.engines }},
		{"sidecars", func(f *fleet) []*process { return f.sidecars }},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t, acceptanceConfig())
			var wg sync.WaitGroup
			var whole, cut atomic.Int64
			for i := range 24 {
				wg.Go(func() {
					request := newChat(fmt.Sprintf("long question %d", i), longAnswer, i%2 == 0)
					r := newCaller(f.routerAddresses[i%2]).chat(t.Context(), request, nil)
					assert.Check(t, r.wrong(request), "%v", r)
					if r.whole(request) {
						whole.Add(1)
						return
					}
					cut.Add(1)
				})
			}
			time.Sleep(600 * time.Millisecond)
			for _, p := range c.kill(f) {
				p.kill()
				p.start()
			}
			wg.Wait()
			t.Logf("%d whole, %d ended in a visible error", whole.Load(), cut.Load())
			assert.Assert(t, cut.Load() > 0, "nothing was in flight")
		})
	}
}
