package relay_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/relay"
)

// cancelObserver is a sidecar that signals on received that it got an attempt, and
// then sends to canceled whether a Cancel followed (true) or the stream broke
// (false).
type cancelObserver struct {
	received chan struct{}
	canceled chan bool
}

func (observer *cancelObserver) ServeCall(_ context.Context, call *wire.Call, stream *link.Stream) {
	observer.received <- struct{}{}
	target := call.GetSubmit().GetTarget()
	observer.canceled <- stream.Receive(new(wire.Cancel)) == nil && target == "a"
}

// TestSidecarReceivesCancelWhenCallerLeaves guards against closing the stream
// before the Cancel has been sent on it. The two raced, so the test repeats the
// request.
func TestSidecarReceivesCancelWhenCallerLeaves(t *testing.T) {
	observer := &cancelObserver{received: make(chan struct{}, 1), canceled: make(chan bool, 1)}
	cfg := newConfig(t, observer, "a")
	for i := range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-observer.received
			cancel()
		}()
		relay.Run(ctx, cfg, newRequest("canceled", "a"), &recordingWriter{})
		assert.Assert(t, <-observer.canceled, "request %d: the stream broke without a Cancel", i)
	}
}
