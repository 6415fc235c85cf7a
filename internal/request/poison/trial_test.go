package poison_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/ident"
)

func TestTrialsBeginOncePerInterval(t *testing.T) {
	var trials poison.Trials
	begin := func(now time.Time, fingerprint ident.Fingerprint, want bool) {
		t.Helper()
		next, ok := trials.Begin(now, fingerprint)
		assert.Equal(t, ok, want)
		if !ok {
			assert.Equal(t, next, at(0).Add(poison.TrialInterval))
		}
	}
	begin(at(0), 7, true)
	begin(at(1), 7, false)
	begin(at(1), 8, true)
	begin(at(0).Add(poison.TrialInterval-1), 7, false)
	begin(at(0).Add(poison.TrialInterval), 7, true)
}
