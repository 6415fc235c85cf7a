package remote

import (
	"context"
	"fmt"

	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/store"
)

// Propose commits a command in this program's format and returns its result.
// The trace goes on from the span in ctx. Errors are those of Command.
func (c *Client) Propose(ctx context.Context, command *cmdpb.Command) (*cmdpb.Result, error) {
	entry, err := store.EncodeCommand(command)
	if err != nil {
		return nil, fmt.Errorf("encode: %w", err)
	}
	reply, err := c.ProposeEntry(ctx, entry, trace.Traceparent(ctx))
	if err != nil {
		return nil, fmt.Errorf("ask control: %w", err)
	}
	result, err := store.DecodeResult(reply)
	if err != nil {
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return result, nil
}
