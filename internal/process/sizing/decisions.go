package sizing

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// Markers around the generated tables of docs/MEASUREMENTS.md.
const (
	decisionsBegin = "<!-- decisions: begin -->\n"
	decisionsEnd   = "<!-- decisions: end -->\n"
)

// column is one metric of the decision tables and its number format.
type column struct {
	metric string
	format string
}

var decisionColumns = []column{
	{"reuse", "%.3f"},
	{"skew-p50", "%.3f"},
	{"skew-p99", "%.3f"},
	{"skew-max", "%.3f"},
	{"skew-over", "%.4f"},
	{"mean-load", "%.1f"},
	{"over-cap", "%.0f"},
	{"ctl-B/s", "%.0f"},
	{"refused", "%.4f"},
	{"ttft-p50-ms", "%.0f"},
	{"ttft-p95-ms", "%.0f"},
	{"others-ttft-p95-ms", "%.0f"},
}

// PolicyResult holds the metrics of one routing policy in one scenario at one
// size.
type PolicyResult struct {
	Scenario string
	Size     string
	Policy   string
	metrics  map[string]float64
}

// Metric returns the value of the named metric, or 0 if it was not measured.
func (d *PolicyResult) Metric(name string) float64 { return d.metrics[name] }

var decisionBenchmark = regexp.MustCompile(`^BenchmarkDecision/scenario=(\w+)/size=([\w-]+)/policy=([a-z-]+?)(?:-[0-9]+)?$`)

// ReadPolicyResults parses the output of BenchmarkDecision and keeps its order. It
// skips lines that are not results of that benchmark.
func ReadPolicyResults(r io.Reader) ([]PolicyResult, error) {
	var results []PolicyResult
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 4 {
			continue
		}
		name := decisionBenchmark.FindStringSubmatch(fields[0])
		if name == nil {
			continue
		}
		metrics, err := readMetrics(fields[2:])
		if err != nil {
			return nil, fmt.Errorf("%s: %w", fields[0], err)
		}
		results = append(results, PolicyResult{Scenario: name[1], Size: name[2], Policy: name[3], metrics: metrics})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read output: %w", err)
	}
	return results, nil
}

// readMetrics parses alternating values and metric names.
func readMetrics(fields []string) (map[string]float64, error) {
	metrics := make(map[string]float64, len(fields)/2)
	for i := 0; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return nil, fmt.Errorf("value of %s: %w", fields[i+1], err)
		}
		metrics[fields[i+1]] = value
	}
	return metrics, nil
}

// RewriteDecisions returns the page with its decision tables regenerated. If the
// page lacks the markers, the error is a *MissingMarkerError.
func RewriteDecisions(page string, results []PolicyResult) (string, error) {
	before, rest, found := strings.Cut(page, decisionsBegin)
	if !found {
		return "", &MissingMarkerError{}
	}
	_, after, found := strings.Cut(rest, decisionsEnd)
	if !found {
		return "", &MissingMarkerError{}
	}
	return before + decisionsBegin + decisionTables(results) + decisionsEnd + after, nil
}

// decisionTables returns one table per scenario and size, in the order of the
// results.
func decisionTables(results []PolicyResult) string {
	var out strings.Builder
	title := ""
	for _, d := range results {
		if next := d.Scenario + ", " + d.Size; next != title {
			title = next
			_, _ = fmt.Fprintf(&out, "\n### %s\n\n%s", title, decisionTableHeader())
		}
		out.WriteString(d.tableRow())
	}
	return out.String()
}

func decisionTableHeader() string {
	var names, rules strings.Builder
	for _, c := range decisionColumns {
		names.WriteString(" " + c.metric + " |")
		rules.WriteString("---:|")
	}
	return "| policy |" + names.String() + "\n|---|" + rules.String() + "\n"
}

// tableRow returns the table row of the result.
func (d *PolicyResult) tableRow() string {
	var out strings.Builder
	out.WriteString("| " + d.Policy + " |")
	for _, c := range decisionColumns {
		_, _ = fmt.Fprintf(&out, " "+c.format+" |", d.Metric(c.metric))
	}
	out.WriteString("\n")
	return out.String()
}
