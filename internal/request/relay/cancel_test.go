package relay_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/relay"
)

// listener takes an attempt, tells that it has, and then what follows it: true
// for a Cancel, false for a broken stream.
type listener struct {
	taken chan struct{}
	after chan bool
}

func (l *listener) ServeCall(_ context.Context, call *wire.Call, stream *link.Stream) {
	l.taken <- struct{}{}
	target := call.GetSubmit().GetTarget()
	l.after <- stream.Receive(new(wire.Cancel)) == nil && target == "a"
}

// TestSidecarIsToldThatTheCallerHasGone repeats what was a race between the
// Cancel and the end of its own stream.
func TestSidecarIsToldThatTheCallerHasGone(t *testing.T) {
	l := &listener{taken: make(chan struct{}, 1), after: make(chan bool, 1)}
	cfg := configure(t, l, "a")
	for i := range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-l.taken
			cancel()
		}()
		relay.Run(ctx, cfg, ask("gone", "a"), &caller{})
		assert.Assert(t, <-l.after, "request %d: the stream broke without a Cancel", i)
	}
}
