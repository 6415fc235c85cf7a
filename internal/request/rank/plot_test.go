package rank_test

import (
	"image/color"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gotest.tools/v3/assert"
)

// plotInterval is the time that one point of a plot covers.
const plotInterval = 2 * time.Second

// plottedPolicies are the policies that the plots compare.
var plottedPolicies = []struct {
	policy string
	color  color.Color
}{
	{"oracle", color.Gray{Y: 140}},
	{"bounded-rendezvous", color.RGBA{R: 200, G: 90, A: 255}},
	{"least-load", color.RGBA{B: 200, A: 255}},
	{"ours", color.RGBA{G: 140, A: 255}},
}

// TestPlotDecisions writes plots of reuse and skew over time under churn and surge
// to the directory in CACTUSLINE_PLOTS. It is skipped if that is not set.
func TestPlotDecisions(t *testing.T) {
	folder := os.Getenv("CACTUSLINE_PLOTS")
	if folder == "" {
		t.Skip("CACTUSLINE_PLOTS is not set")
	}
	for _, scenario := range []string{"churn", "surge"} {
		reuse, skew := newPlot(scenario, "share of returning prefix tokens found warm"), newPlot(scenario, "load, max over mean")
		for _, line := range plottedPolicies {
			p := policies[slices.IndexFunc(policies, func(p policy) bool { return p.name == line.policy })]
			m := newSim(sizes[0], scenario, p, seedFromEnv(), func(err error) { t.Fatal(err) })
			m.run()
			addLine(t, reuse, line.policy, line.color, m.stats.reusePer(plotInterval))
			addLine(t, skew, line.policy, line.color, m.stats.maxSkewPer(plotInterval))
		}
		assert.NilError(t, reuse.Save(18*vg.Centimeter, 9*vg.Centimeter, filepath.Join(folder, scenario+"-reuse.svg")))
		assert.NilError(t, skew.Save(18*vg.Centimeter, 9*vg.Centimeter, filepath.Join(folder, scenario+"-skew.svg")))
	}
}

func newPlot(scenario, label string) *plot.Plot {
	p := plot.New()
	p.Title.Text = scenario + " at the size of kivijarvi"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = label
	p.Legend.Top = true
	return p
}

func addLine(t *testing.T, p *plot.Plot, name string, c color.Color, points plotter.XYs) {
	t.Helper()
	line, err := plotter.NewLine(points)
	assert.NilError(t, err)
	line.Color = c
	p.Add(line)
	p.Legend.Add(name, line)
}

// tracePoint is a sample of a run: the skew at that time and the tokens counted
// up to then.
type tracePoint struct {
	at           time.Duration
	skew         float64
	prefix, warm int
}

// maxSkewPer returns the highest skew in each interval.
func (s *stats) maxSkewPer(interval time.Duration) plotter.XYs {
	var points plotter.XYs
	for _, p := range s.trace {
		x := p.at.Truncate(interval).Seconds()
		if n := len(points); n == 0 || points[n-1].X != x {
			points = append(points, plotter.XY{X: x})
		}
		last := &points[len(points)-1]
		last.Y = max(last.Y, p.skew)
	}
	return points
}

// reusePer returns the share of warm prefix tokens in each interval.
func (s *stats) reusePer(interval time.Duration) plotter.XYs {
	var points plotter.XYs
	var from tracePoint
	for _, p := range s.trace {
		if p.at-from.at < interval {
			continue
		}
		if prefix := p.prefix - from.prefix; prefix > 0 {
			points = append(points, plotter.XY{X: p.at.Seconds(), Y: float64(p.warm-from.warm) / float64(prefix)})
		}
		from = p
	}
	return points
}
