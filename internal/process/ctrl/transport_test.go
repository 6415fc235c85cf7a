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

// peerServer is a control process that counts the streams to it.
type peerServer struct{ opened, ended atomic.Int64 }

func (p *peerServer) ServeCall(_ context.Context, _ *wire.Call, stream *link.Stream) {
	p.opened.Add(1)
	defer p.ended.Add(1)
	for stream.Receive(new(wire.PeerMessage)) == nil {
		continue
	}
}

func startPeerServer(t *testing.T, vm ident.VMName) (*peerServer, group.Member) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	peer := new(peerServer)
	server := link.NewServer(peer)
	go func() { _ = server.Serve(context.Background(), listener) }()
	t.Cleanup(func() { _ = listener.Close(); _ = server.Close() })
	return peer, group.Member{VM: vm, Address: listener.Addr().String()}
}

func awaitCount(t *testing.T, count *atomic.Int64, want int64) {
	t.Helper()
	for started := time.Now(); count.Load() != want; time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(started) < 10*time.Second, "count is %d, want %d", count.Load(), want)
	}
}

// A peer that is removed from the member list gets no new streams until it is
// listed again.
func TestTransportDropsRemovedMembers(t *testing.T) {
	removed, removedMember := startPeerServer(t, "removed")
	kept, keptMember := startPeerServer(t, "kept")
	configured, configuredMember := startPeerServer(t, "configured")
	links := link.NewClient(link.Config{Clock: clock.System{}})
	defer links.Close()
	transport := ctrl.NewPeerTransport(ctrl.PeerTransportConfig{
		Self: "self", Members: []group.Member{removedMember, configuredMember}, Link: links, Clock: clock.System{},
	})
	go transport.Run(t.Context())
	transport.UpdateMembers(nil)
	transport.UpdateMembers([]group.Member{removedMember, keptMember})
	for _, peer := range []*peerServer{removed, kept, configured} {
		awaitCount(t, &peer.opened, 1)
	}
	transport.UpdateMembers([]group.Member{keptMember})
	awaitCount(t, &removed.ended, 1)
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, removed.opened.Load(), int64(1), "a removed process gets a new stream")
	assert.Equal(t, kept.ended.Load()+configured.ended.Load(), int64(0))
	transport.UpdateMembers([]group.Member{removedMember, keptMember})
	awaitCount(t, &removed.opened, 2)
}
