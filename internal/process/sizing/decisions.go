package sizing

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// The part of the page of measurements that the decisions' output fills.
const (
	decisionsBegin = "<!-- decisions: begin -->\n"
	decisionsEnd   = "<!-- decisions: end -->\n"
)

// column is one metric of a decision and how it is written.
type column struct {
	metric string
	format string
}

var columns = []column{
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

// Decision is one policy's result in one scenario at one size.
type Decision struct {
	Scenario string
	Size     string
	Policy   string
	metrics  map[string]float64
}

// Metric returns a metric by name, 0 if it was not measured.
func (d *Decision) Metric(name string) float64 { return d.metrics[name] }

var decisionName = regexp.MustCompile(`^BenchmarkDecision/scenario=(\w+)/size=([\w-]+)/policy=([a-z-]+?)(?:-[0-9]+)?$`)

// ReadDecisions reads the output of the decisions' benchmark, in its order.
// Lines that are no measurement are passed over.
func ReadDecisions(r io.Reader) ([]Decision, error) {
	var decisions []Decision
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		fields := strings.Fields(scanner.Text())
		if len(fields) < 4 {
			continue
		}
		name := decisionName.FindStringSubmatch(fields[0])
		if name == nil {
			continue
		}
		metrics, err := readMetrics(fields[2:])
		if err != nil {
			return nil, fmt.Errorf("%s: %w", fields[0], err)
		}
		decisions = append(decisions, Decision{Scenario: name[1], Size: name[2], Policy: name[3], metrics: metrics})
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read output: %w", err)
	}
	return decisions, nil
}

// readMetrics reads pairs of a value and its metric.
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

// RewriteDecisions returns the page with its tables of decisions worked out
// anew. Its error is an *UnmarkedError.
func RewriteDecisions(page string, decisions []Decision) (string, error) {
	before, rest, found := strings.Cut(page, decisionsBegin)
	if !found {
		return "", &UnmarkedError{}
	}
	_, after, found := strings.Cut(rest, decisionsEnd)
	if !found {
		return "", &UnmarkedError{}
	}
	return before + decisionsBegin + decisionTables(decisions) + decisionsEnd + after, nil
}

// decisionTables returns a table for each scenario and size, in the order of
// the output.
func decisionTables(decisions []Decision) string {
	var out strings.Builder
	title := ""
	for _, d := range decisions {
		if next := d.Scenario + ", " + d.Size; next != title {
			title = next
			_, _ = fmt.Fprintf(&out, "\n### %s\n\n%s", title, tableHead())
		}
		out.WriteString(d.row())
	}
	return out.String()
}

func tableHead() string {
	var names, rules strings.Builder
	for _, c := range columns {
		names.WriteString(" " + c.metric + " |")
		rules.WriteString("---:|")
	}
	return "| policy |" + names.String() + "\n|---|" + rules.String() + "\n"
}

// row returns the decision's row of its table.
func (d *Decision) row() string {
	var out strings.Builder
	out.WriteString("| " + d.Policy + " |")
	for _, c := range columns {
		_, _ = fmt.Fprintf(&out, " "+c.format+" |", d.Metric(c.metric))
	}
	out.WriteString("\n")
	return out.String()
}
