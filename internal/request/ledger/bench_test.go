package ledger_test

import (
	"strconv"
	"testing"
	"time"

	"cactusline.dev/cactusline/internal/request/ledger"
	"cactusline.dev/cactusline/internal/version/ident"
)

// BenchmarkClaimAndSettle measures the claim and settlement of one request while
// the archive holds the keys of a day.
func BenchmarkClaimAndSettle(b *testing.B) {
	l := ledger.New(ledger.Config{})
	now := time.Unix(1_000_000, 0)
	answer := &ledger.Answer{Status: 200, Body: make([]byte, 300)}
	run := func(i int) {
		key := ledger.KeyOf("customer-17", strconv.Itoa(i))
		attempt := ident.AttemptID("attempt-" + strconv.Itoa(i))
		_, _ = l.Claim(now, ledger.Claim{Key: key, Attempt: attempt, Target: "ledger-1", Incarnation: 4})
		_, _ = l.Settle(now, ledger.Settlement{Key: key, Attempt: attempt, Answer: answer})
	}
	const day = 1_000_000
	for i := range day {
		now = now.Add(24 * time.Hour / day)
		run(i)
	}
	b.ResetTimer()
	for i := range b.N {
		now = now.Add(time.Second / 300)
		run(day + i)
	}
}
