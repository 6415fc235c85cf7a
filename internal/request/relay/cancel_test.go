package relay_test

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/request/relay"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
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
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := link.NewServer(l)
	go func() { _ = server.Serve(context.Background(), inner) }()
	links := link.NewClient(link.Config{Clock: clock.System{}})
	defer func() {
		_ = links.Close()
		_ = inner.Close()
		_ = server.Close()
	}()
	d := &directory{addresses: map[ident.TargetName]string{"a": inner.Addr().String()}}
	cfg := relay.Config{Clock: clock.System{}, Tracer: trace.Off(), Links: links, Directory: d}
	for i := range 200 {
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-l.taken
			cancel()
		}()
		relay.Run(ctx, cfg, relay.Request{
			Tries:    tries.Config{Request: "gone", Deadline: clock.System{}.Now().Add(5 * time.Second)},
			Plan:     &plan{names: []ident.TargetName{"a"}},
			Submit:   &wire.Submit{Request: "gone"},
			Revision: func() ident.Revision { return 1 },
		}, &caller{})
		assert.Assert(t, <-l.after, "request %d: the stream broke without a Cancel", i)
	}
}
