package gate

import "context"

// AwaitTimelyWakeups exports awaitTimelyWakeups for tests.
func AwaitTimelyWakeups(ctx context.Context, clock Clock) { awaitTimelyWakeups(ctx, clock) }
