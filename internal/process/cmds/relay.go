package cmds

import (
	"context"
	"fmt"
	"net"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/member"
)

// announceHandler answers announcements only.
type announceHandler struct {
	directory *member.Directory
}

// ServeCall implements link.Handler.
func (h announceHandler) ServeCall(_ context.Context, call *wire.Call, stream *link.Stream) {
	if query := call.GetQuery(); query != nil {
		_ = stream.Send(answerAnnounced(h.directory, query)) // the caller asks again
	}
}

// serveAnnounced answers announcements until ctx ends.
func serveAnnounced(ctx context.Context, listener net.Listener, directory *member.Directory) error {
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
