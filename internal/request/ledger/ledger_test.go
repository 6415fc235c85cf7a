package ledger_test

import (
	"bytes"
	"errors"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/seeds"
	"cactusline.dev/cactusline/internal/request/ledger"
)

const simulationSteps = 600

// TestRandomisedKeysRunAtMostOnce applies random steps to a ledger, restores it
// from snapshots now and then, and checks that no key ever runs twice.
func TestRandomisedKeysRunAtMostOnce(t *testing.T) {
	seeds.Run(t, seeds.Range{First: 1, Last: 60}, func(t *testing.T, seed uint64) {
		l := ledger.New(ledger.Config{Shards: 4})
		sim := newSimulation(seed, l)
		for range simulationSteps {
			sim.step()
			assert.Assert(t, sim.maxRuns() <= 1)
			if sim.random.IntN(50) == 0 {
				sim.ledger = snapshotRoundTrip(t, sim.ledger)
			}
		}
	})
}

// TestWithoutProofKeysRunTwice shows that keys do run twice in the simulation if
// proofs are not checked, so that the test above can detect a missing check.
func TestWithoutProofKeysRunTwice(t *testing.T) {
	twice := 0
	for seed := range uint64(60) {
		l := ledger.New(ledger.Config{Shards: 4})
		l.AcceptAnyProof()
		sim := newSimulation(seed+1, l)
		for range simulationSteps {
			sim.step()
		}
		if sim.maxRuns() > 1 {
			twice++
		}
	}
	assert.Assert(t, twice > 0)
	t.Logf("%d of 60 seeds ran a key twice", twice)
}

// snapshotRoundTrip returns a ledger restored from a snapshot of l, and checks
// that a snapshot of the copy has the same bytes.
func snapshotRoundTrip(t testing.TB, l *ledger.Ledger) *ledger.Ledger {
	t.Helper()
	data, err := l.Snapshot()
	assert.NilError(t, err)
	next := ledger.New(ledger.Config{Shards: 4})
	assert.NilError(t, next.Restore(data))
	again, err := next.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(again, data))
	return next
}

func TestKeyStates(t *testing.T) {
	now := time.Unix(5000, 0)
	l := ledger.New(ledger.Config{})
	key := ledger.KeyOf("c", "k")
	claim := ledger.Claim{Key: key, Fingerprint: 7, Attempt: "a", Target: "t", Incarnation: 3}

	reply, err := l.Claim(now, claim)
	assert.NilError(t, err)
	assert.Assert(t, reply.Granted)
	reply, err = l.Claim(now, claim)
	assert.NilError(t, err)
	assert.Assert(t, reply.Granted, "a repeated claim")

	other := claim
	other.Attempt = "b"
	reply, err = l.Claim(now, other)
	assert.NilError(t, err)
	assert.Assert(t, !reply.Granted && reply.State == ledger.StateRunning && reply.RetryAfter > 0)
	assert.Equal(t, string(reply.Attempt)+string(reply.Target), "at")

	changed := other
	changed.Fingerprint = 8
	_, err = l.Claim(now, changed)
	var mismatch *ledger.FingerprintMismatchError
	assert.Assert(t, errors.As(err, &mismatch))

	answer := &ledger.Answer{Status: 201, Headers: []ledger.Header{{Name: "X", Value: "1"}}, Body: []byte("bib 17")}
	_, err = l.Settle(now, ledger.Settlement{Key: key, Attempt: "b", Answer: answer})
	var holder *ledger.NotHolderError
	assert.Assert(t, errors.As(err, &holder) && holder.Holder == "a")
	_, err = l.Settle(now, ledger.Settlement{Key: key, Attempt: "a", OutcomeUnknown: true})
	assert.NilError(t, err)
	_, err = l.Settle(now, ledger.Settlement{Key: key, Attempt: "a", Answer: answer})
	assert.NilError(t, err, "an unknown outcome may become known")
	_, err = l.Settle(now, ledger.Settlement{Key: key, Attempt: "a", Answer: &ledger.Answer{Status: 500}})
	assert.NilError(t, err)
	reply, err = l.Claim(now, other)
	assert.NilError(t, err)
	assert.DeepEqual(t, reply.Answer, answer)

	reply, err = l.Claim(now.Add(time.Hour), other)
	assert.NilError(t, err)
	assert.Equal(t, reply.State, ledger.StateExpired)
	l.Expire(now.Add(23 * time.Hour))
	assert.Equal(t, l.Lookup(key).State, ledger.StateExpired)
	l.Expire(now.Add(26 * time.Hour))
	assert.Equal(t, l.Lookup(key).State, ledger.StateFree)
}

func TestReleaseNeedsProof(t *testing.T) {
	now := time.Unix(5000, 0)
	key := ledger.KeyOf("c", "k")
	claim := ledger.Claim{Key: key, Attempt: "a", Target: "t", Incarnation: 3}
	for _, test := range []struct {
		name           string
		proof          ledger.Proof
		dispatched     bool
		outcomeUnknown bool
		wantReleased   bool
	}{
		{"no proof", ledger.Proof{Attempt: "a", Incarnation: 3}, false, false, false},
		{"tombstone", ledger.Proof{Kind: ledger.ProofTombstone, Attempt: "a", Incarnation: 3}, true, false, true},
		{"tombstone of a restarted sidecar", ledger.Proof{Kind: ledger.ProofTombstone, Attempt: "a", Incarnation: 4}, true, false, false},
		{"tombstone after unknown", ledger.Proof{Kind: ledger.ProofTombstone, Attempt: "a", Incarnation: 3}, true, true, true},
		{"refusal", ledger.Proof{Kind: ledger.ProofRefused, Attempt: "a", Incarnation: 3}, true, false, true},
		{"not sent", ledger.Proof{Kind: ledger.ProofNotSent, Attempt: "a"}, false, false, true},
		{"not sent but dispatched", ledger.Proof{Kind: ledger.ProofNotSent, Attempt: "a"}, true, false, false},
		{"not sent but unknown", ledger.Proof{Kind: ledger.ProofNotSent, Attempt: "a"}, false, true, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			l := ledger.New(ledger.Config{})
			_, err := l.Claim(now, claim)
			assert.NilError(t, err)
			if test.dispatched {
				_, err = l.Dispatch(now, key, "a")
				assert.NilError(t, err)
			}
			if test.outcomeUnknown {
				_, err = l.Settle(now, ledger.Settlement{Key: key, Attempt: "a", OutcomeUnknown: true})
				assert.NilError(t, err)
			}
			reply, err := l.Release(now, key, test.proof)
			var bad *ledger.ProofError
			assert.Equal(t, errors.As(err, &bad), !test.wantReleased)
			assert.Equal(t, reply.State == ledger.StateReleased, test.wantReleased)
		})
	}
}

// TestSettleOfReleasedAttemptIsContradiction covers an attempt that settles with
// an answer although it was released by a sidecar's refusal.
func TestSettleOfReleasedAttemptIsContradiction(t *testing.T) {
	now := time.Unix(5000, 0)
	l := ledger.New(ledger.Config{})
	key := ledger.KeyOf("c", "k")
	claim := ledger.Claim{Key: key, Attempt: "a", Target: "t", Incarnation: 3}
	_, err := l.Claim(now, claim)
	assert.NilError(t, err)
	_, err = l.Release(now, key, ledger.Proof{Kind: ledger.ProofRefused, Attempt: "a", Incarnation: 3})
	assert.NilError(t, err)
	_, err = l.Claim(now, claim)
	var reused *ledger.AttemptReusedError
	assert.Assert(t, errors.As(err, &reused))
	claim.Attempt = "b"
	_, err = l.Claim(now, claim)
	assert.NilError(t, err)
	_, err = l.Settle(now, ledger.Settlement{Key: key, Attempt: "a", Answer: &ledger.Answer{Status: 200}})
	var contradiction *ledger.ContradictionError
	assert.Assert(t, errors.As(err, &contradiction))
}

func TestRecordedAnswersAreBounded(t *testing.T) {
	now := time.Unix(5000, 0)
	l := ledger.New(ledger.Config{Shards: 1, MaxEndedBytes: 4 << 10, MaxAnswerBytes: 1 << 10})
	keys := []string{"1", "2", "3", "4", "5"}
	for _, name := range keys {
		key := ledger.KeyOf("c", name)
		_, err := l.Claim(now, ledger.Claim{Key: key, Attempt: "a"})
		assert.NilError(t, err)
		answer := &ledger.Answer{Status: 200, Body: make([]byte, 2<<10)}
		reply, err := l.Settle(now, ledger.Settlement{Key: key, Attempt: "a", Answer: answer})
		assert.NilError(t, err)
		assert.Assert(t, reply.Answer.Truncated)
		assert.Equal(t, len(reply.Answer.Body), 1<<10)
	}
	full, compacted := l.KeyCounts()
	assert.Equal(t, full, 3)
	assert.Equal(t, compacted, 2)
	assert.Equal(t, l.Lookup(ledger.KeyOf("c", "1")).State, ledger.StateExpired)
}

func FuzzRestore(f *testing.F) {
	l := ledger.New(ledger.Config{Shards: 2})
	_, _ = l.Claim(time.Unix(1, 0), ledger.Claim{Key: ledger.KeyOf("c", "k"), Attempt: "a"})
	data, err := l.Snapshot()
	assert.NilError(f, err)
	f.Add(data)
	f.Add([]byte{8, 1})
	f.Fuzz(func(_ *testing.T, data []byte) {
		l := ledger.New(ledger.Config{Shards: 2})
		if l.Restore(data) == nil {
			l.Expire(time.Unix(1<<40, 0))
		}
	})
}
