package watch_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/version/record"
)

// TestVerdictsNeverGoBack turns to a control process that lags.
func TestVerdictsNeverGoBack(t *testing.T) {
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
	take := func(index uint64, fingerprints ...uint64) {
		update := &wire.Update{VerdictsSet: true, VerdictsIndex: index}
		for _, fingerprint := range fingerprints {
			update.Verdicts = append(update.Verdicts, &wire.CrashVerdict{Fingerprint: fingerprint})
		}
		assert.NilError(t, follower.ApplyUpdate(update))
	}
	take(90, 7, 8)
	take(50, 9)
	assert.DeepEqual(t, held, []uint64{7, 8})
	assert.NilError(t, follower.ApplyUpdate(&wire.Update{}))
	assert.DeepEqual(t, held, []uint64{7, 8})
	take(91, 8)
	assert.DeepEqual(t, held, []uint64{8})
}
