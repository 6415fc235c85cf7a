package sizing

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"cactusline.dev/cactusline/internal/conn/health"
	"cactusline.dev/cactusline/internal/request/trail"
)

// The part of the page that is worked out stands between these lines.
const (
	begin = "<!-- measured: begin -->\n"
	end   = "<!-- measured: end -->\n"
)

const (
	// minSizes is the least number of sizes that a slope is taken from.
	minSizes = 3
	// newsBytes is the load news, refused hops and notes of one router each
	// second, and callBytes one call without its content; both stand in
	// docs/MEASUREMENTS.md.
	newsBytes = 2383
	callBytes = 474

	routerBound = 3000
)

// FewSizesError says that a metric was not measured at enough sizes.
type FewSizesError struct {
	Role   string
	Metric string
	Sizes  int
}

// Error names the metric.
func (e *FewSizesError) Error() string {
	return fmt.Sprintf("%s %s was measured at %d sizes, of at least %d", e.Role, e.Metric, e.Sizes, minSizes)
}

// UnmarkedError says that a page has no marked part.
type UnmarkedError struct{}

// Error names the marks.
func (e *UnmarkedError) Error() string {
	return fmt.Sprintf("the page has no part between %q and %q", strings.TrimSpace(begin), strings.TrimSpace(end))
}

// Rewrite returns the page with its marked part worked out anew. Its errors
// are a *FewSizesError and an *UnmarkedError.
func Rewrite(page string, output *Output) (string, error) {
	before, rest, found := strings.Cut(page, begin)
	if !found {
		return "", &UnmarkedError{}
	}
	_, after, found := strings.Cut(rest, end)
	if !found {
		return "", &UnmarkedError{}
	}
	rows, err := figureTable(output)
	if err != nil {
		return "", err
	}
	return before + begin + rows + routerTable(output) + end + after, nil
}

// figureTable returns the table of all figures.
func figureTable(output *Output) (string, error) {
	var out strings.Builder
	out.WriteString("| role and figure | benchmark, metric | measured, size: value | base | slope | R² | largest residual | at size | value | bound |\n")
	out.WriteString("|---|---|---|---:|---:|---:|---:|---:|---:|---|\n")
	for _, f := range figures {
		points := output.Points(f.role, f.metric)
		if len(points) < minSizes {
			return "", &FewSizesError{Role: f.role, Metric: f.metric, Sizes: len(points)}
		}
		out.WriteString(f.row(points))
	}
	return out.String(), nil
}

// row returns the figure's row of the table.
func (f figure) row(points []Point) string {
	sizes := make([]string, 0, len(points))
	for _, p := range points {
		sizes = append(sizes, fmt.Sprintf("%.0f: %s", p.Size, short(p.Value)))
	}
	l := FitLine(points)
	value := l.At(f.at)
	return fmt.Sprintf("| %s | %s %s | %s | %s | %s | %.2f | %s | %.0f | **%s** %s | %s |\n",
		f.what, f.role, f.metric, strings.Join(sizes, ", "),
		short(l.Base), short(l.Slope), l.Fit, short(l.Off), f.at, short(value), f.unit, verdict(value, f.bound))
}

// share is one part of a router's control bytes a second.
type share struct {
	part   string
	value  float64
	source string
}

// routerTable returns the table of a router's control bytes a second.
func routerTable(output *Output) string {
	watched := FitLine(output.Points("watch", "watcher-B/s")).At(PlanRouters)
	probe := FitLine(output.Points("probes", "again-B")).Slope
	probes := probe * health.DefaultProbeRate / health.DefaultProbeSize
	decisions := float64(trail.DefaultBytesPerSecond + callBytes)
	quiet := watched + probes + newsBytes
	rows := []share{
		{"watch of the records", watched, "measured"},
		{"probes, with their whole budget used", probes, fmt.Sprintf("measured: %s bytes a probe; budget: %d of %d bytes a second", short(probe), health.DefaultProbeRate, health.DefaultProbeSize)},
		{"load news, refused hops, notes of moved chats", newsBytes, "[MEASUREMENTS.md](MEASUREMENTS.md), letter1 steady, ours"},
		{"decisions worth explaining, with their whole budget used", decisions, fmt.Sprintf("arithmetic: budget of %d and a call of %d", trail.DefaultBytesPerSecond, callBytes)},
		{"sum without decisions", quiet, verdict(quiet, routerBound)},
		{"sum", quiet + decisions, verdict(quiet+decisions, routerBound)},
	}
	var out strings.Builder
	out.WriteString("\n| a router's control bytes | bytes a second | source, or bound |\n|---|---:|---|\n")
	for _, row := range rows {
		_, _ = fmt.Fprintf(&out, "| %s | %.0f | %s |\n", row.part, row.value, row.source)
	}
	return out.String()
}

func verdict(value, bound float64) string {
	switch {
	case bound == 0:
		return "none given"
	case value > bound:
		return fmt.Sprintf("**over** %s", short(bound))
	}
	return fmt.Sprintf("within %s", short(bound))
}

// short writes three significant digits without an exponent.
func short(v float64) string {
	if v == 0 {
		return "0"
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	return strconv.FormatFloat(v, 'f', digits, 64)
}
