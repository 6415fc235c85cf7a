package sizing

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"cactusline.dev/cactusline/internal/conn/health"
	"cactusline.dev/cactusline/internal/request/trail"
)

// Markers around the generated tables of docs/CAPACITY.md.
const (
	capacityBegin = "<!-- measured: begin -->\n"
	capacityEnd   = "<!-- measured: end -->\n"
)

const (
	// minSizes is the minimum number of measured sizes for a line fit.
	minSizes = 3
	// loadUpdateBytesPerSecond is the traffic of one router for load updates,
	// refused forwarded requests and notifications of moved chats, from
	// docs/MEASUREMENTS.md.
	loadUpdateBytesPerSecond = 2383
	// callOverheadBytes is the size of one call without its payload, from
	// docs/MEASUREMENTS.md.
	callOverheadBytes = 474

	// maxControlBytesPerSecond is the limit for all control traffic of one router.
	maxControlBytesPerSecond = 3000
)

// TooFewSizesError reports that a metric was measured at fewer than minSizes
// sizes.
type TooFewSizesError struct {
	Role   string
	Metric string
	Sizes  int
}

// Error implements error.
func (e *TooFewSizesError) Error() string {
	return fmt.Sprintf("%s %s was measured at %d sizes, need at least %d", e.Role, e.Metric, e.Sizes, minSizes)
}

// MissingMarkerError reports that a page lacks the markers around its generated
// tables.
type MissingMarkerError struct{}

// Error implements error. It names the markers of the capacity tables.
func (e *MissingMarkerError) Error() string {
	return fmt.Sprintf("the page has no section between the markers %q and %q", strings.TrimSpace(capacityBegin), strings.TrimSpace(capacityEnd))
}

// RewriteCapacity returns the page with its capacity tables regenerated. Its error
// is a *TooFewSizesError or a *MissingMarkerError.
func RewriteCapacity(page string, measurements *Measurements) (string, error) {
	before, rest, found := strings.Cut(page, capacityBegin)
	if !found {
		return "", &MissingMarkerError{}
	}
	_, after, found := strings.Cut(rest, capacityEnd)
	if !found {
		return "", &MissingMarkerError{}
	}
	rows, err := capacityTable(measurements)
	if err != nil {
		return "", err
	}
	return before + capacityBegin + rows + routerTrafficTable(measurements) + capacityEnd + after, nil
}

// capacityTable returns the table with one row for each of capacityRows.
func capacityTable(measurements *Measurements) (string, error) {
	var out strings.Builder
	out.WriteString("| role and figure | benchmark, metric | measured, size: value | base | slope | R² | largest residual | at size | value | bound |\n")
	out.WriteString("|---|---|---|---:|---:|---:|---:|---:|---:|---|\n")
	for _, f := range capacityRows {
		points := measurements.Points(f.role, f.metric)
		if len(points) < minSizes {
			return "", &TooFewSizesError{Role: f.role, Metric: f.metric, Sizes: len(points)}
		}
		out.WriteString(f.tableRow(points))
	}
	return out.String(), nil
}

// tableRow returns the table row, extrapolated from the points.
func (f capacityRow) tableRow(points []Point) string {
	sizes := make([]string, 0, len(points))
	for _, p := range points {
		sizes = append(sizes, fmt.Sprintf("%.0f: %s", p.Size, formatSignificant(p.Value)))
	}
	l := FitLine(points)
	value := l.At(f.planSize)
	return fmt.Sprintf("| %s | %s %s | %s | %s | %s | %.2f | %s | %.0f | **%s** %s | %s |\n",
		f.label, f.role, f.metric, strings.Join(sizes, ", "),
		formatSignificant(l.Intercept), formatSignificant(l.Slope), l.RSquared, formatSignificant(l.MaxResidual), f.planSize, formatSignificant(value), f.unit, compareWithLimit(value, f.limit))
}

// trafficRow is one row of the traffic table: a part of the control traffic or a
// sum. Its note names the source of the value or compares a sum with the limit.
type trafficRow struct {
	name           string
	bytesPerSecond float64
	note           string
}

// routerTrafficTable returns the table of the control traffic of one router.
func routerTrafficTable(measurements *Measurements) string {
	// All rates are in bytes per second.
	watchRate := FitLine(measurements.Points("watch", "watcher-B/s")).At(PlanRouters)
	bytesPerProbe := FitLine(measurements.Points("probes", "again-B")).Slope
	probeRate := bytesPerProbe * health.DefaultProbeRate / health.DefaultProbeSize
	decisionRate := float64(trail.DefaultBytesPerSecond + callOverheadBytes)
	withoutDecisions := watchRate + probeRate + loadUpdateBytesPerSecond
	rows := []trafficRow{
		{"watch of the records", watchRate, "measured"},
		{"probes, with their whole budget used", probeRate, fmt.Sprintf("measured: %s bytes a probe; budget: %d of %d bytes a second", formatSignificant(bytesPerProbe), health.DefaultProbeRate, health.DefaultProbeSize)},
		{"load news, refused hops, notes of moved chats", loadUpdateBytesPerSecond, "[MEASUREMENTS.md](MEASUREMENTS.md), letter1 steady, ours"},
		{"decisions worth explaining, with their whole budget used", decisionRate, fmt.Sprintf("arithmetic: budget of %d and a call of %d", trail.DefaultBytesPerSecond, callOverheadBytes)},
		{"sum without decisions", withoutDecisions, compareWithLimit(withoutDecisions, maxControlBytesPerSecond)},
		{"sum", withoutDecisions + decisionRate, compareWithLimit(withoutDecisions+decisionRate, maxControlBytesPerSecond)},
	}
	var out strings.Builder
	out.WriteString("\n| a router's control bytes | bytes a second | source, or bound |\n|---|---:|---|\n")
	for _, row := range rows {
		_, _ = fmt.Fprintf(&out, "| %s | %.0f | %s |\n", row.name, row.bytesPerSecond, row.note)
	}
	return out.String()
}

// compareWithLimit describes whether the value is within the limit, where 0 means
// no limit.
func compareWithLimit(value, limit float64) string {
	switch {
	case limit == 0:
		return "none given"
	case value > limit:
		return fmt.Sprintf("**over** %s", formatSignificant(limit))
	}
	return fmt.Sprintf("within %s", formatSignificant(limit))
}

// formatSignificant formats v with at least three significant digits and without
// an exponent.
func formatSignificant(v float64) string {
	if v == 0 {
		return "0"
	}
	digits := max(0, 2-int(math.Floor(math.Log10(math.Abs(v)))))
	return strconv.FormatFloat(v, 'f', digits, 64)
}
