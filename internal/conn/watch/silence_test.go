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

// silentControl is a control process without a quorum: it sends the addresses
// of the control processes and then nothing.
type silentControl struct {
	controls []string
	watched  chan struct{}
}

func (c *silentControl) ServeCall(ctx context.Context, call *wire.Call, stream *link.Stream) {
	if call.GetWatch() == nil {
		return
	}
	c.watched <- struct{}{}
	_ = stream.Send(&wire.Update{Controls: c.controls})
	<-ctx.Done()
}

// Guards against a gate that returns to a silent control process each time it
// receives the list of control processes again.
func TestFollowerTriesEveryControlProcessWhenSilent(t *testing.T) {
	var servers []*silentControl
	var addresses []string
	for range 3 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		t.Cleanup(func() { _ = listener.Close() })
		handler := &silentControl{watched: make(chan struct{}, 16)}
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

// Guards against a gate that reuses connections from before a network cut. Such
// connections sent data again only seconds after the cut had healed.
func TestFollowerDropsSilentConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	handler := &silentControl{watched: make(chan struct{}, 16)}
	go func() {
		// The first connection is never read, as if behind a network cut.
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
		t.Fatal("the follower opened no new connection")
	}
}
