package cmds

import (
	"context"
	"fmt"
	"net"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/member"
)

// announceHandler answers announcements, and tells those that would watch which
// control processes hold the log.
type announceHandler struct {
	directory *member.Discovery
}

// ServeCall implements link.Handler.
func (h announceHandler) ServeCall(_ context.Context, call *wire.Call, stream *link.Stream) {
	// Callers that get no answer ask again.
	if query := call.GetQuery(); query != nil {
		_ = stream.Send(answerAnnounced(h.directory, query))
	}
	if call.GetWatch() != nil {
		_ = stream.Send(&wire.Update{Controls: h.directory.ReplicaAddresses()})
	}
}

// serveAnnounced answers announcements until ctx ends.
func serveAnnounced(ctx context.Context, listener net.Listener, directory *member.Discovery) error {
	server := link.NewServer(announceHandler{directory: directory})
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	if err := server.Serve(ctx, listener); err != nil {
		return fmt.Errorf("serve calls: %w", err)
	}
	if err := server.Close(); err != nil {
		return fmt.Errorf("close calls: %w", err)
	}
	return nil
}
