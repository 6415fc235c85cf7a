package watch_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
)

// watchCounter counts the watches that it serves.
type watchCounter struct{ watches atomic.Int64 }

func (c *watchCounter) ServeCall(ctx context.Context, call *wire.Call, _ *link.Stream) {
	if call.GetWatch() != nil {
		c.watches.Add(1)
		<-ctx.Done()
	}
}

// TestFollowersSpreadOverControlProcesses checks that followers spread evenly
// over the control processes, and over the others when one fails.
func TestFollowersSpreadOverControlProcesses(t *testing.T) {
	const controls, followers = 3, 120
	counts := make([]*watchCounter, controls)
	servers := make([]*link.Server, controls)
	listeners := make([]net.Listener, controls)
	var addresses []string
	for i := range controls {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		counts[i], listeners[i] = new(watchCounter), listener
		servers[i] = link.NewServer(counts[i])
		go func() { _ = servers[i].Serve(context.Background(), listener) }()
		defer func() { _ = listener.Close(); _ = servers[i].Close() }()
		addresses = append(addresses, listener.Addr().String())
	}
	for i := range followers {
		links := link.NewClient(link.Config{Clock: clock.System{}})
		defer links.Close()
		follower := watch.NewFollower(watch.Config{
			Addresses: addresses, Link: links, Clock: clock.System{}, Logger: log.NewNopLogger(),
			Process: fmt.Sprint("router-", i), Role: "router", SilenceTimeout: time.Minute,
		})
		go follower.Run(t.Context())
	}
	waitForWatches(t, counts, followers)
	first := counts[0].watches.Load()
	second, third := counts[1].watches.Load(), counts[2].watches.Load()
	for i, count := range counts {
		assert.Assert(t, count.watches.Load() > followers/controls/2, "control %d has %d", i, count.watches.Load())
	}
	_ = listeners[0].Close()
	_ = servers[0].Close()
	waitForWatches(t, counts[1:], second+third+first)
	assert.Assert(t, counts[1].watches.Load()-second > first/4, "%d of %d", counts[1].watches.Load()-second, first)
	assert.Assert(t, counts[2].watches.Load()-third > first/4, "%d of %d", counts[2].watches.Load()-third, first)
}

func waitForWatches(t *testing.T, counts []*watchCounter, want int64) {
	t.Helper()
	for begun := time.Now(); ; time.Sleep(time.Millisecond) {
		var sum int64
		for _, count := range counts {
			sum += count.watches.Load()
		}
		if sum == want {
			return
		}
		assert.Assert(t, time.Since(begun) < 20*time.Second, "%d of %d watches", sum, want)
	}
}
