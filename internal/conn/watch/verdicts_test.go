package watch_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/version/record"
)

// TestStaleVerdictsAreDropped applies the verdicts of a control process that
// lags behind, as after a follower changes to it.
func TestStaleVerdictsAreDropped(t *testing.T) {
	var held []uint64
	follower := watch.NewFollower(watch.Config{
		Clock: clock.System{},
		OnUpdate: func(update *wire.Update, _ *record.Set) {
			if !update.GetVerdictsSet() {
				return
			}
			held = nil
			for _, v := range update.GetVerdicts() {
				held = append(held, v.GetFingerprint())
			}
		},
	})
	apply := func(index uint64, fingerprints ...uint64) {
		update := &wire.Update{VerdictsSet: true, VerdictsIndex: index}
		for _, fingerprint := range fingerprints {
			update.Verdicts = append(update.Verdicts, &wire.CrashVerdict{Fingerprint: fingerprint})
		}
		assert.NilError(t, follower.ApplyUpdate(update))
	}
	apply(90, 7, 8)
	apply(50, 9)
	assert.DeepEqual(t, held, []uint64{7, 8})
	assert.NilError(t, follower.ApplyUpdate(&wire.Update{}))
	assert.DeepEqual(t, held, []uint64{7, 8})
	apply(91, 8)
	assert.DeepEqual(t, held, []uint64{8})
}
