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

// settling is how long a run may take before its skew counts.
const settling = 2 * time.Second

var scenarios = []string{"steady", "surge", "churn", "views", "death"}

// stats gathers what a run shows.
type stats struct {
	prefix, warm      int
	skew              []float64
	means             float64
	over              int
	trace             []tracePoint
	admitted, overCap int
	refused, control  int
	turnedAway        [3]int
	waits, others     *hdrhistogram.Histogram
}

func newStats() stats {
	return stats{
		waits:  hdrhistogram.New(1, 100_000_000, 3),
		others: hdrhistogram.New(1, 100_000_000, 3),
	}
}

// count takes what a returning chat has found warm.
func (s *stats) count(m *sim, r *request, warm int) {
	if m.now > m.size.warmUp && r.tries == 0 {
		s.prefix += r.prefix
		s.warm += warm
	}
}

// wait takes the time to the first token. Those of customers that do not
// surge count apart while the surge lasts, in other scenarios as well.
func (s *stats) wait(m *sim, r *request, d time.Duration) {
	_ = s.waits.RecordValue(d.Microseconds())
	if !surges(r.customer) && r.at > m.size.length/2 && r.at < m.size.length*3/4 {
		_ = s.others.RecordValue(d.Microseconds())
	}
}

// turnAway counts a refusal as of cold work, at a full target, or on to where
// the chat is.
func (s *stats) turnAway(e *engine, r *request, d admit.Decision) {
	switch {
	case d.Reason == admit.Moved:
		s.turnedAway[2]++
	case e.cache.get(r.chat) > 0 && r.prefix > 0:
		s.turnedAway[1]++
	default:
		s.turnedAway[0]++
	}
}

func (s *stats) reuse() float64 { return float64(s.warm) / float64(max(s.prefix, 1)) }

func (s *stats) mean() float64 { return s.means / float64(len(s.skew)) }

// skewAt returns a quantile of the skew, which is sorted.
func (s *stats) skewAt(q float64) float64 { return s.skew[int(q*float64(len(s.skew)-1))] }

func (s *stats) report(b *testing.B, m *sim) {
	slices.Sort(s.skew)
	perRouter := float64(s.control) / float64(len(m.routers)) / m.size.length.Seconds()
	metrics := []struct {
		name  string
		value float64
	}{
		{"reuse", s.reuse()},
		{"skew-p50", s.skewAt(0.5)},
		{"skew-p99", s.skewAt(0.99)},
		{"skew-max", s.skewAt(1)},
		{"mean-load", s.mean()},
		{"over-cap", float64(s.overCap)},
		{"ctl-B/s", perRouter},
		{"refused", float64(s.refused) / float64(s.refused+s.admitted)},
		{"ttft-p50-ms", float64(s.waits.ValueAtQuantile(50)) / 1000},
		{"ttft-p95-ms", float64(s.waits.ValueAtQuantile(95)) / 1000},
		{"skew-over", float64(s.over) / float64(len(s.skew))},
		{"cold-refusals", float64(s.turnedAway[0]) / float64(s.admitted)},
		{"full-refusals", float64(s.turnedAway[1]) / float64(s.admitted)},
		{"moved-refusals", float64(s.turnedAway[2]) / float64(s.admitted)},
		{"others-ttft-p95-ms", float64(s.others.ValueAtQuantile(95)) / 1000},
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
					m.stats.report(b, m)
				})
			}
		}
	}
}

// ended holds the runs that tests have in common.
var ended = map[string]*sim{}

func runOnce(t *testing.T, name string, make func() *sim) *sim {
	t.Helper()
	if m, ok := ended[name]; ok {
		return m
	}
	m := make()
	m.run()
	slices.Sort(m.stats.skew)
	ended[name] = m
	return m
}

// eachRun runs ours in every scenario at the small sizes with a few seeds.
func eachRun(t *testing.T, check func(t *testing.T, m *sim)) {
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

// TestRandomisedBoundHolds holds the load bound at each admission against the
// true mean at that instant.
func TestRandomisedBoundHolds(t *testing.T) {
	eachRun(t, func(t *testing.T, m *sim) {
		assert.Check(t, m.stats.overCap == 0, "over the bound %d times of %d", m.stats.overCap, m.stats.admitted)
	})
}

// TestRandomisedFewRefused holds that the fleet does not starve behind the
// bound.
func TestRandomisedFewRefused(t *testing.T) {
	eachRun(t, func(t *testing.T, m *sim) {
		assert.Check(t, m.stats.refused*100 <= m.stats.admitted, "%d refused of %d", m.stats.refused, m.stats.admitted)
	})
}

// TestRandomisedSkewHolds holds the skew of the load over time against the
// mean of the run.
func TestRandomisedSkewHolds(t *testing.T) {
	eachRun(t, func(t *testing.T, m *sim) {
		limit := rank.DefaultLoadBound + 1/m.stats.mean()
		assert.Check(t, m.stats.skewAt(0.99) <= limit, "skew %.2f above %.2f", m.stats.skewAt(0.99), limit)
	})
}
