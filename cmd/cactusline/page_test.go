package main_test

import (
	"bufio"
	"cmp"
	"fmt"
	"math"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/health"
	"cactusline.dev/cactusline/internal/request/trail"
)

// The page of capacity and the output that its tables are worked out from.
const (
	capacityPage   = "../../docs/CAPACITY.md"
	capacityOutput = "../../docs/capacity.txt"

	measuredBegin = "<!-- measured: begin -->\n"
	measuredEnd   = "<!-- measured: end -->\n"

	// writePage is the environment variable that makes TestCapacityPage write
	// the tables instead of comparing them.
	writePage = "CACTUSLINE_WRITE_CAPACITY"
)

// point is one measurement.
type point struct{ x, y float64 }

// line is a least-squares fit, y = base + slope·x.
type line struct {
	base, slope float64
	// fit is R², and off the largest distance of a point from the line.
	fit, off float64
}

func (l line) at(x float64) float64 { return l.base + l.slope*x }

func fitLine(points []point) line {
	var sumX, sumY, sumXX, sumXY float64
	n := float64(len(points))
	for _, p := range points {
		sumX += p.x
		sumY += p.y
		sumXX += p.x * p.x
		sumXY += p.x * p.y
	}
	var l line
	l.slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	l.base = (sumY - l.slope*sumX) / n
	var left, spread float64
	for _, p := range points {
		off := p.y - l.at(p.x)
		left += off * off
		spread += (p.y - sumY/n) * (p.y - sumY/n)
		l.off = max(l.off, math.Abs(off))
	}
	l.fit = 1
	if spread > 0 {
		l.fit = 1 - left/spread
	}
	return l
}

// figure is one row of the page: a metric and the size at which it is wanted.
type figure struct {
	role, metric string
	what, unit   string
	at           float64
	// bound is the letter's; 0 if it names none.
	bound float64
}

var figures = []figure{
	{"watch", "watcher-B/s", "router: watch of the records", "B/s", planRouters, 3000},
	{"watch", "watcher-%core", "router: watch of the records", "% core", planRouters, 3.5},
	{"probes", "fresh-B", "router: all targets probed once, fresh connections", "B", planTargets, 0},
	{"probes", "again-B", "router: all targets probed once, standing connections", "B", planTargets, 0},
	{"router", "router-%core", "router: idle process, all records", "% core", planTargets, 3.5},
	{"router", "router-MB", "router: idle process, all records", "MB resident", planTargets, 32},
	{"router", "router-peak-MB", "router: idle process, all records, peak", "MB resident", planTargets, 32},
	{"chats", "router-%core", "router: 64-token answers in flight", "% core", planInFlight, 0},
	{"chats", "router-MB", "router: 64-token answers in flight", "MB resident", planInFlight, 0},
	{"chats", "sidecar-%core", "sidecar: 64-token answers in flight", "% core", planAtTarget, 0},
	{"chats", "sidecar-MB", "sidecar: 64-token answers in flight", "MB resident", planAtTarget, 0},
	{"sums", "sidecar-B/s", "sidecar: watch and load reports", "B/s", planTargets, 3000},
	{"sums", "sidecar-%core", "sidecar: idle", "% core", planTargets, 3.5},
	{"watch", "control-%core", "control: feeds watchers", "% core", planRouters + planTargets, 0},
	{"watch", "control-added-MB", "control: feeds watchers", "MB resident", planRouters + planTargets, 0},
	{"sums", "control-%core", "control: sums loads and feeds sidecars", "% core", planTargets, 0},
	{"sums", "control-MB", "control: sums loads and feeds sidecars", "MB resident", planTargets, 0},
	{"commits", "leader-%core", "control leader: paid steps a second", "% core", planSteps, 0},
	{"commits", "follower-%core", "control follower: paid steps a second", "% core", planSteps, 0},
	{"force", "median-ms", "change in force, median", "ms", planRouters, 1000},
	{"force", "max-ms", "change in force, last watcher", "ms", planRouters, 3000},
	{"herd-1", "all-ready-ms", "all start at once, 1 control process", "ms", planRouters + planTargets, 0},
	{"herd-3", "all-ready-ms", "all start at once, 3 control processes", "ms", planRouters + planTargets, 0},
	{"herd-3", "busiest-control-cpu-ms", "the same, processor time of the busiest", "ms", planRouters + planTargets, 0},
	{"herd-3", "peak-control-MB", "the same, memory of the largest", "MB resident", planRouters + planTargets, 0},
	{"herd-3", "watcher-KB", "the same, bytes of each watcher", "KB", planRouters + planTargets, 0},
	{"failover", "gap-median-ms", "control process lost: time without news, median", "ms", planRouters + planTargets, 0},
	{"failover", "gap-max-ms", "control process lost: time without news, longest", "ms", planRouters + planTargets, 3000},
	{"Day", "heap-MB", "control: paid steps kept of a day", "MB heap", planDaySteps, 0},
	{"Day", "snapshot-MB", "control: snapshot after a day", "MB", planDaySteps, 0},
	{"Choose", "ns/op", "router: one choice among targets", "ns", planTargets, 0},
}

const (
	// planInFlight is the answers in flight at one router, and planAtTarget
	// those at one target.
	planInFlight = 61
	planAtTarget = 36
	// planSteps is an assumption: 10 in 100 requests are paid steps.
	planSteps    = 300
	planDaySteps = 1_000_000
)

const stepsMetric = "steps/s"

var sizeOf = regexp.MustCompile(`^Benchmark(?:Capacity/role=)?([A-Za-z0-9-]+)/[a-z]+=([0-9]+)(?:-[0-9]+)?$`)

// readOutput returns the measurements by role and metric.
func readOutput(t *testing.T) map[string][]point {
	t.Helper()
	file, err := os.Open(capacityOutput)
	assert.NilError(t, err)
	defer file.Close()
	found := make(map[string][]point)
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 4 {
			continue
		}
		name := sizeOf.FindStringSubmatch(fields[0])
		if name == nil {
			continue
		}
		size, err := strconv.ParseFloat(name[2], 64)
		assert.NilError(t, err)
		if at := slices.Index(fields, stepsMetric); at > 0 {
			// The rate that was reached counts, not the one that was tried.
			size, err = strconv.ParseFloat(fields[at-1], 64)
			assert.NilError(t, err)
		}
		for i := 2; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			assert.NilError(t, err)
			key := name[1] + " " + fields[i+1]
			found[key] = append(found[key], point{x: size, y: value})
		}
	}
	return found
}

const (
	// newsBytes is the load news, refused hops and notes of one router each
	// second, and callBytes one call without its content; both stand in
	// docs/MEASUREMENTS.md.
	newsBytes = 2308
	callBytes = 474

	routerBound = 3000
)

// routerBytes returns the table of a router's control bytes a second.
func routerBytes(output map[string][]point) string {
	watched := fitLine(output["watch watcher-B/s"]).at(planRouters)
	probe := fitLine(output["probes again-B"]).slope
	probes := probe * health.DefaultProbeRate / health.DefaultProbeSize
	decisions := float64(trail.DefaultBudget + callBytes)
	rows := []struct {
		part   string
		value  float64
		source string
	}{
		{"watch of the records", watched, "measured"},
		{"probes, with their whole budget used", probes, fmt.Sprintf("measured: %s bytes a probe; budget: %d of %d bytes a second", short(probe), health.DefaultProbeRate, health.DefaultProbeSize)},
		{"load news, refused hops, notes of moved chats", newsBytes, "[MEASUREMENTS.md](MEASUREMENTS.md), letter1 steady, ours"},
		{"decisions worth explaining, with their whole budget used", decisions, fmt.Sprintf("arithmetic: budget of %d and a call of %d", trail.DefaultBudget, callBytes)},
		{"sum without decisions", watched + probes + newsBytes, verdict(watched+probes+newsBytes, routerBound)},
		{"sum", watched + probes + newsBytes + decisions, verdict(watched+probes+newsBytes+decisions, routerBound)},
	}
	var out strings.Builder
	out.WriteString("\n| a router's control bytes | bytes a second | source, or bound |\n|---|---:|---|\n")
	for _, row := range rows {
		_, _ = fmt.Fprintf(&out, "| %s | %.0f | %s |\n", row.part, row.value, row.source)
	}
	return out.String()
}

// tables returns the part of the page that follows from the output.
func tables(t *testing.T) string {
	t.Helper()
	output := readOutput(t)
	var out strings.Builder
	out.WriteString("| role and figure | benchmark, metric | measured, size: value | base | slope | R² | largest residual | at size | value | bound |\n")
	out.WriteString("|---|---|---|---:|---:|---:|---:|---:|---:|---|\n")
	for _, f := range figures {
		points := output[f.role+" "+f.metric]
		assert.Assert(t, len(points) >= 3, "%s %s has %d sizes", f.role, f.metric, len(points))
		slices.SortFunc(points, func(a, b point) int { return cmp.Compare(a.x, b.x) })
		var sizes []string
		for _, p := range points {
			sizes = append(sizes, fmt.Sprintf("%.0f: %s", p.x, short(p.y)))
		}
		l := fitLine(points)
		value := l.at(f.at)
		_, _ = fmt.Fprintf(&out, "| %s | %s %s | %s | %s | %s | %.2f | %s | %.0f | **%s** %s | %s |\n",
			f.what, f.role, f.metric, strings.Join(sizes, ", "),
			short(l.base), short(l.slope), l.fit, short(l.off), f.at, short(value), f.unit, verdict(value, f.bound))
	}
	return out.String() + routerBytes(output)
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

func TestCapacityPageFollowsFromTheOutput(t *testing.T) {
	page, err := os.ReadFile(capacityPage)
	assert.NilError(t, err)
	before, rest, found := strings.Cut(string(page), measuredBegin)
	assert.Assert(t, found)
	shown, after, found := strings.Cut(rest, measuredEnd)
	assert.Assert(t, found)
	wanted := tables(t)
	if os.Getenv(writePage) != "" {
		assert.NilError(t, os.WriteFile(capacityPage, []byte(before+measuredBegin+wanted+measuredEnd+after), 0o600))
		return
	}
	assert.Equal(t, shown, wanted, "run %s=1 go test -run CapacityPage ./cmd/cactusline", writePage)
}
