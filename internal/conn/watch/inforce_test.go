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
	"cactusline.dev/cactusline/internal/version/record"
)

// reportRecorder is a control process that sends one update and records the
// revisions in force that are reported to it.
type reportRecorder struct {
	update  *wire.Update
	inForce chan uint64
}

func (r *reportRecorder) ServeCall(ctx context.Context, _ *wire.Call, stream *link.Stream) {
	if stream.Send(r.update) != nil {
		return
	}
	for ctx.Err() == nil {
		report := new(wire.Watch)
		if stream.Receive(report) != nil {
			return
		}
		r.inForce <- report.GetInForce()
	}
}

// TestInForceIsReportedAfterOnUpdateReturns blocks OnUpdate and checks that the
// revision is neither reported nor confirmed by a lease until it returns.
func TestInForceIsReportedAfterOnUpdateReturns(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	control := &reportRecorder{update: &wire.Update{Revision: 7, Echo: 1}, inForce: make(chan uint64, 1000)}
	server := link.NewServer(control)
	go func() { _ = server.Serve(context.Background(), listener) }()
	defer func() { _ = listener.Close(); _ = server.Close() }()
	links := link.NewClient(link.Config{Clock: clock.System{}})
	defer links.Close()
	entered, release := make(chan struct{}), make(chan struct{})
	follower := watch.NewFollower(watch.Config{
		Addresses: []string{listener.Addr().String()}, Link: links, Clock: clock.System{}, Logger: log.NewNopLogger(),
		Process: "router-1", Role: "router", ReportInterval: 2 * time.Millisecond, SilenceTimeout: time.Minute,
		OnUpdate: func(*wire.Update, *record.Set) { close(entered); <-release },
	})
	go follower.Run(t.Context())
	<-entered
	for range 10 {
		assert.Equal(t, <-control.inForce, uint64(0))
	}
	assert.Assert(t, !follower.HasLease())
	close(release)
	assert.NilError(t, follower.AwaitInForce(t.Context(), 7))
	for begun := time.Now(); <-control.inForce != 7; {
		assert.Assert(t, time.Since(begun) < 10*time.Second)
	}
}
