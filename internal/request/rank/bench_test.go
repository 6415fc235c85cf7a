package rank_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cactusline.dev/cactusline/internal/process/seeds"
	"cactusline.dev/cactusline/internal/request/admit"
	"cactusline.dev/cactusline/internal/request/rank"
)

// settleTime is the time at the start of a run in which skew is not sampled. It is
// shorter than warmUp, since loads settle before the caches are warm.
const settleTime = 2 * time.Second

// scenarios are the simulated conditions: in "surge" some customers send more for
// a while, in "churn" engines crash or leave, in "views" routers see different
// engines, and in "death" one request is a poison request.
var scenarios = []string{"steady", "surge", "churn", "views", "death"}

// stats holds the measurements of one run.
type stats struct {
	// prefixTokens is the sum of the prefixes of returning chats, warmTokens how
	// much of that was cached.
	prefixTokens, warmTokens int
	// skew holds samples of the maximum load divided by the mean load.
	skew    []float64
	meanSum float64
	// skewExceeded counts samples above the load bound plus one request.
	skewExceeded int
	trace        []tracePoint
	// admitted counts admissions, overBound those above the load bound.
	admitted, overBound int
	// refused counts requests that no target took, controlBytes the bytes of
	// control traffic on the routers' links.
	refused, controlBytes int
	// refusals counts refusals by sidecars: of cold work at index 0, of warm work
	// at 1, and of chats that had moved at 2.
	refusals [3]int
	// ttft holds all times to first token, othersTTFT those of customers that do
	// not surge.
	ttft, othersTTFT *hdrhistogram.Histogram
}

func newStats() stats {
	return stats{
		ttft:       hdrhistogram.New(1, 100_000_000, 3),
		othersTTFT: hdrhistogram.New(1, 100_000_000, 3),
	}
}

// countReuse counts the cached tokens of a returning chat's prefix.
func (s *stats) countReuse(m *sim, r *request, warm int) {
	if m.now > m.size.warmUp && r.tries == 0 {
		s.prefixTokens += r.prefix
		s.warmTokens += warm
	}
}

// recordTTFT records a time to first token. Those of customers that do not surge
// are also recorded separately during the time of the surge, in all scenarios.
func (s *stats) recordTTFT(m *sim, r *request, d time.Duration) {
	_ = s.ttft.RecordValue(d.Microseconds())
	if !surges(r.customer) && r.at > m.size.duration/2 && r.at < m.size.duration*3/4 {
		_ = s.othersTTFT.RecordValue(d.Microseconds())
	}
}

// countRefusal counts a refusal by its cause: the chat had moved, the target with
// a warm prefix was full, or the work was cold.
func (s *stats) countRefusal(e *engine, r *request, d admit.Decision) {
	switch {
	case d.Reason == admit.Moved:
		s.refusals[2]++
	case e.cache.get(r.chat) > 0 && r.prefix > 0:
		s.refusals[1]++
	default:
		s.refusals[0]++
	}
}

func (s *stats) reuse() float64 { return float64(s.warmTokens) / float64(max(s.prefixTokens, 1)) }

func (s *stats) mean() float64 { return s.meanSum / float64(len(s.skew)) }

// skewQuantile returns a quantile of the skew, which must be sorted.
func (s *stats) skewQuantile(q float64) float64 { return s.skew[int(q*float64(len(s.skew)-1))] }

func (s *stats) reportMetrics(b *testing.B, m *sim) {
	slices.Sort(s.skew)
	perRouter := float64(s.controlBytes) / float64(len(m.routers)) / m.size.duration.Seconds()
	metrics := []struct {
		name  string
		value float64
	}{
		{"reuse", s.reuse()},
		{"skew-p50", s.skewQuantile(0.5)},
		{"skew-p99", s.skewQuantile(0.99)},
		{"skew-max", s.skewQuantile(1)},
		{"mean-load", s.mean()},
		{"over-cap", float64(s.overBound)},
		{"ctl-B/s", perRouter},
		{"refused", float64(s.refused) / float64(s.refused+s.admitted)},
		{"ttft-p50-ms", float64(s.ttft.ValueAtQuantile(50)) / 1000},
		{"ttft-p95-ms", float64(s.ttft.ValueAtQuantile(95)) / 1000},
		{"skew-over", float64(s.skewExceeded) / float64(len(s.skew))},
		{"cold-refusals", float64(s.refusals[0]) / float64(s.admitted)},
		{"full-refusals", float64(s.refusals[1]) / float64(s.admitted)},
		{"moved-refusals", float64(s.refusals[2]) / float64(s.admitted)},
		{"others-ttft-p95-ms", float64(s.othersTTFT.ValueAtQuantile(95)) / 1000},
	}
	for _, metric := range metrics {
		b.ReportMetric(metric.value, metric.name)
	}
}

func seedFromEnv() uint64 {
	seed, err := strconv.ParseUint(os.Getenv("CACTUSLINE_TEST_SEED"), 10, 64)
	if err != nil {
		return 1
	}
	return seed
}

func BenchmarkDecision(b *testing.B) {
	for _, scenario := range scenarios {
		for _, s := range sizes {
			for _, p := range policies {
				b.Run(fmt.Sprintf("scenario=%s/size=%s/policy=%s", scenario, s.name, p.name), func(b *testing.B) {
					var m *sim
					for range b.N {
						m = newSim(s, scenario, p, seedFromEnv(), func(err error) { b.Fatal(err) })
						m.run()
					}
					m.stats.reportMetrics(b, m)
				})
			}
		}
	}
}

// finishedRuns caches runs that several tests use.
var finishedRuns = map[string]*sim{}

// runOnce returns the finished run with the given name, running it if needed.
func runOnce(t *testing.T, name string, make func() *sim) *sim {
	t.Helper()
	if m, ok := finishedRuns[name]; ok {
		return m
	}
	m := make()
	m.run()
	slices.Sort(m.stats.skew)
	finishedRuns[name] = m
	return m
}

// forEachRun calls check with the runs of the policy "ours" in every scenario, at
// the small sizes and with a few seeds.
func forEachRun(t *testing.T, check func(t *testing.T, m *sim)) {
	ours := policies[slices.IndexFunc(policies, func(p policy) bool { return p.name == "ours" })]
	seeds.Run(t, seeds.Range{First: 1, Last: 2}, func(t *testing.T, seed uint64) {
		for _, scenario := range scenarios {
			for _, s := range sizes[:2] {
				t.Run(scenario+"/"+s.name, func(t *testing.T) {
					m := runOnce(t, fmt.Sprint(scenario, s.name, seed), func() *sim {
						return newSim(s, scenario, ours, seed, func(err error) { t.Fatal(err) })
					})
					check(t, m)
				})
			}
		}
	})
}

// TestRandomisedBoundHolds checks that no admission raises a target's load above
// the load bound, by the true mean load at that instant.
func TestRandomisedBoundHolds(t *testing.T) {
	forEachRun(t, func(t *testing.T, m *sim) {
		assert.Check(t, m.stats.overBound == 0, "over the bound %d times of %d", m.stats.overBound, m.stats.admitted)
	})
}

// TestRandomisedFewRefused checks that at most 1% of the requests are refused, to
// guard against a load bound so strict that targets stay idle.
func TestRandomisedFewRefused(t *testing.T) {
	forEachRun(t, func(t *testing.T, m *sim) {
		assert.Check(t, m.stats.refused*100 <= m.stats.admitted, "%d refused of %d", m.stats.refused, m.stats.admitted)
	})
}

// TestRandomisedSkewHolds checks that the 99th percentile of the skew stays within
// the load bound plus one request, by the mean load of the run.
func TestRandomisedSkewHolds(t *testing.T) {
	forEachRun(t, func(t *testing.T, m *sim) {
		limit := rank.DefaultLoadBound + 1/m.stats.mean()
		assert.Check(t, m.stats.skewQuantile(0.99) <= limit, "skew %.2f above %.2f", m.stats.skewQuantile(0.99), limit)
	})
}
