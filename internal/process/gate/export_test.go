package gate

import "context"

// AwaitPace is awaitPace.
func AwaitPace(ctx context.Context, clock Clock) { awaitPace(ctx, clock) }
