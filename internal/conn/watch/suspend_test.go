package watch_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
)

// Guards against a lease that outlives the suspension of its machine.
func TestLeaseEndsWhileMachineIsSuspended(t *testing.T) {
	fake := clock.NewFake(time.Unix(100, 0))
	follower := watch.NewFollower(watch.Config{Clock: fake, Lease: 3 * time.Second})
	fake.Advance(time.Second)
	confirm := func(stamp time.Duration) {
		assert.NilError(t, follower.ApplyUpdate(&wire.Update{Echo: int64(stamp)}))
	}
	confirm(time.Second)
	assert.Assert(t, follower.HasLease())
	fake.Suspend(time.Minute)
	assert.Assert(t, !follower.HasLease())
	confirm(time.Second + time.Millisecond)
	assert.Assert(t, !follower.HasLease(), "a confirmation from before the suspension gives a lease")
	confirm(time.Minute + time.Second)
	assert.Assert(t, follower.HasLease())
}
