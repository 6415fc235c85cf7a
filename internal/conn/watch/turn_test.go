package watch_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
)

// cutOff lists the control processes and is silent from then on, as one that
// has no quorum.
type cutOff struct {
	controls []string
	watched  chan struct{}
}

func (c *cutOff) ServeCall(ctx context.Context, call *wire.Call, stream *link.Stream) {
	if call.GetWatch() == nil {
		return
	}
	c.watched <- struct{}{}
	_ = stream.Send(&wire.Update{Controls: c.controls})
	<-ctx.Done()
}

// On the bench, dar-siraj hunt-126f-11 (seed 126f): a gate went back to the
// process that was cut off each time that its list of processes came anew.
func TestFollowerLeavesASilentProcessForAnother(t *testing.T) {
	var servers []*cutOff
	var addresses []string
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		handler := &cutOff{watched: make(chan struct{}, 16)}
		servers = append(servers, handler)
		addresses = append(addresses, listener.Addr().String())
		go func() { _ = link.NewServer(handler).Serve(t.Context(), listener) }()
	}
	for _, server := range servers {
		server.controls = addresses
	}
	links := link.NewClient(link.Config{Clock: clock.System{}})
	t.Cleanup(func() { _ = links.Close() })
	follower := watch.NewFollower(watch.Config{
		Addresses: addresses, Link: links, Clock: clock.System{}, Logger: log.NewNopLogger(),
		Process: "gate", FollowLeader: true, SilenceTimeout: 50 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go follower.Run(ctx)
	for i, server := range servers {
		select {
		case <-server.watched:
		case <-time.After(5 * time.Second):
			t.Fatalf("process %d was never watched", i)
		}
	}
}

// On the bench, kivi-bib hunt-1b25-3 (seed 1b25): a gate that had been cut off
// went on to use the connections from before the cut, which sent again only
// seconds after it had healed.
func TestFollowerDoesNotUseASilencedConnectionAgain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	handler := &cutOff{watched: make(chan struct{}, 16)}
	go func() {
		// The first connection is never read, as behind a cut.
		silenced, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = silenced.Close() }()
		_ = link.NewServer(handler).Serve(t.Context(), listener)
	}()
	links := link.NewClient(link.Config{Clock: clock.System{}, SessionsPerPeer: 1})
	t.Cleanup(func() { _ = links.Close() })
	follower := watch.NewFollower(watch.Config{
		Addresses: []string{listener.Addr().String()}, Link: links, Clock: clock.System{}, Logger: log.NewNopLogger(),
		Process: "gate", FollowLeader: true, SilenceTimeout: 50 * time.Millisecond,
	})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go follower.Run(ctx)
	select {
	case <-handler.watched:
	case <-time.After(3 * time.Second):
		t.Fatal("the connection was never made anew")
	}
}
