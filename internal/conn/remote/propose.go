package remote

import (
	"context"
	"fmt"

	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/store"
)

// Propose encodes a command, commits it and returns its decoded result. It
// continues the trace of the span in ctx. Errors are those of ProposeEntry.
func (c *Client) Propose(ctx context.Context, command *cmdpb.Command) (*cmdpb.Result, error) {
	entry, err := store.EncodeCommand(command)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	reply, err := c.ProposeEntry(ctx, entry, trace.Traceparent(ctx))
	if err != nil {
		return nil, fmt.Errorf("propose command: %w", err)
	}
	result, err := store.DecodeResult(reply)
	if err != nil {
		return nil, fmt.Errorf("decode result: %w", err)
	}
	return result, nil
}
