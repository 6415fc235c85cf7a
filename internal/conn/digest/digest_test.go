package digest_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/version/ident"
)

var start = time.Unix(1000, 0)

func report(i, requests int, age time.Duration) digest.Report {
	return digest.Report{
		Target: ident.TargetName(fmt.Sprint("engine-", i)), Age: age,
		Load: digest.Load{Requests: requests, Tokens: ident.Tokens(100 * requests)},
	}
}

func TestSumKeepsNewestReportOfEachTarget(t *testing.T) {
	table := digest.NewTable(digest.Config{Pool: "chat", LeastLoadedCount: 1})
	table.Put(start, report(0, 4, 0))
	table.Put(start, report(1, 2, 0))
	table.Put(start, report(0, 8, 0))
	table.Put(start, report(0, 5, 10*time.Millisecond))
	sum := table.Sum(start)
	assert.DeepEqual(t, sum, digest.Digest{
		Pool: "chat", Targets: 2, Requests: 10, Tokens: 1000, At: start, Version: 1,
		LeastLoaded: []ident.TargetName{"engine-1"},
	})
	assert.Equal(t, sum.Mean(), 5.0)
}

func TestDigestTimeIsWeightedByLoad(t *testing.T) {
	table := digest.NewTable(digest.Config{})
	table.Put(start, report(0, 9, 100*time.Millisecond))
	table.Put(start, report(1, 1, 0))
	assert.Equal(t, table.Sum(start).At, start.Add(-90*time.Millisecond))
}

func TestExpiredAndLeavingTargetsAreExcluded(t *testing.T) {
	table := digest.NewTable(digest.Config{})
	for i := range 3 {
		table.Put(start, report(i, 4, 0))
	}
	later := start.Add(digest.DefaultExpiry + time.Millisecond)
	table.Put(later, report(1, 4, 0))
	leaving := report(2, 4, 0)
	leaving.Leaving = true
	table.Put(later, leaving)
	sum := table.Sum(later)
	assert.Equal(t, sum.Targets, 1)
	assert.Assert(t, sum.Newer(digest.Digest{}))
}
