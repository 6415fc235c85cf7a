package ctrl_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/version/ident"
)

// other is a control process that counts the streams to it.
type other struct{ begun, ended atomic.Int64 }

func (o *other) ServeCall(_ context.Context, _ *wire.Call, stream *link.Stream) {
	o.begun.Add(1)
	defer o.ended.Add(1)
	for stream.Receive(new(wire.PeerMessage)) == nil {
		continue
	}
}

func serveOther(t *testing.T, vm ident.VMName) (*other, group.Member) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	o := new(other)
	server := link.NewServer(o)
	go func() { _ = server.Serve(context.Background(), listener) }()
	t.Cleanup(func() { _ = listener.Close(); _ = server.Close() })
	return o, group.Member{VM: vm, Address: listener.Addr().String()}
}

func awaitCount(t *testing.T, count *atomic.Int64, want int64) {
	t.Helper()
	for begun := time.Now(); count.Load() != want; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(begun) < 10*time.Second, "%d of %d", count.Load(), want)
	}
}

// TestPeersDropWhoLeft also lists one of them again.
func TestPeersDropWhoLeft(t *testing.T) {
	left, leftMember := serveOther(t, "left")
	stays, staysMember := serveOther(t, "stays")
	configured, configuredMember := serveOther(t, "configured")
	links := link.NewClient(link.Config{Clock: clock.System{}})
	defer links.Close()
	peers := ctrl.NewPeerTransport(ctrl.PeerTransportConfig{
		Self: "self", Members: []group.Member{leftMember, configuredMember}, Link: links, Clock: clock.System{},
	})
	go peers.Run(t.Context())
	peers.UpdateMembers(nil)
	peers.UpdateMembers([]group.Member{leftMember, staysMember})
	for _, o := range []*other{left, stays, configured} {
		awaitCount(t, &o.begun, 1)
	}
	peers.UpdateMembers([]group.Member{staysMember})
	awaitCount(t, &left.ended, 1)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, left.begun.Load(), int64(1), "a process that left is called again")
	assert.Equal(t, stays.ended.Load()+configured.ended.Load(), int64(0))
	peers.UpdateMembers([]group.Member{leftMember, staysMember})
	awaitCount(t, &left.begun, 2)
}
