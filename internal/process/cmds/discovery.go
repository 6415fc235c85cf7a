package cmds

import (
	"context"
	"fmt"
	"net"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/member"
)

// discoveryHandler handles calls to a control process without a data directory. It
// answers discovery queries, and redirects watchers to the processes that hold the
// log.
type discoveryHandler struct {
	discovery *member.Discovery
}

// ServeCall implements link.Handler.
func (h discoveryHandler) ServeCall(_ context.Context, call *wire.Call, stream *link.Stream) {
	// A caller whose answer is lost asks again.
	if query := call.GetQuery(); query != nil {
		_ = stream.Send(answerDiscoveryQuery(h.discovery, query))
	}
	if call.GetWatch() != nil {
		_ = stream.Send(&wire.Update{Controls: h.discovery.ReplicaAddresses()})
	}
}

// serveDiscovery serves a discoveryHandler until ctx ends.
func serveDiscovery(ctx context.Context, listener net.Listener, discovery *member.Discovery) error {
	server := link.NewServer(discoveryHandler{discovery: discovery})
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	if err := server.Serve(ctx, listener); err != nil {
		return fmt.Errorf("serve calls: %w", err)
	}
	if err := server.Close(); err != nil {
		return fmt.Errorf("close server: %w", err)
	}
	return nil
}
