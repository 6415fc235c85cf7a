package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// printed are the percentiles of a report.
var printed = []float64{50, 90, 95, 99}

// Print writes the report as text.
func (r *Report) Print(to io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	asked := 0
	for _, outcome := range Outcomes {
		asked += r.counts[outcome]
	}
	_, _ = fmt.Fprintf(table, "asked\t%d\n", asked)
	for _, outcome := range Outcomes {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%.2f%%\n", outcome, r.counts[outcome], 100*float64(r.counts[outcome])/float64(max(1, asked)))
	}
	for _, cause := range slices.Sorted(maps.Keys(r.causes)) {
		_, _ = fmt.Fprintf(table, "  %s\t%d\n", cause, r.causes[cause])
	}
	_, _ = fmt.Fprint(table, "\nms\tp50\tp90\tp95\tp99\tmax\n")
	r.row(table, "first token", r.first)
	r.row(table, "between tokens", r.gaps)
	r.row(table, "whole answer", r.total)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	return nil
}

// row writes the percentiles of one time.
func (r *Report) row(to io.Writer, name string, times *hdrhistogram.Histogram) {
	_, _ = fmt.Fprint(to, name)
	for _, percentile := range printed {
		_, _ = fmt.Fprintf(to, "\t%.1f", millis(times.ValueAtPercentile(percentile)))
	}
	_, _ = fmt.Fprintf(to, "\t%.1f\n", millis(times.Max()))
}

// millis converts microseconds.
func millis(micros int64) float64 {
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}
