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

// percentiles are the percentiles that a report shows.
var percentiles = []float64{50, 90, 95, 99}

// Print writes the report as a text table.
func (r *Report) Print(to io.Writer) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	table := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	turns := 0
	for _, outcome := range Outcomes {
		turns += r.counts[outcome]
	}
	_, _ = fmt.Fprintf(table, "asked\t%d\n", turns)
	for _, outcome := range Outcomes {
		_, _ = fmt.Fprintf(table, "%s\t%d\t%.2f%%\n", outcome, r.counts[outcome], 100*float64(r.counts[outcome])/float64(max(1, turns)))
	}
	for _, cause := range slices.Sorted(maps.Keys(r.causes)) {
		_, _ = fmt.Fprintf(table, "  %s\t%d\n", cause, r.causes[cause])
	}
	_, _ = fmt.Fprint(table, "\nms\tp50\tp90\tp95\tp99\tmax\n")
	r.printRow(table, "first token", r.firstToken)
	r.printRow(table, "between tokens", r.tokenGaps)
	r.printRow(table, "whole answer", r.total)
	if err := table.Flush(); err != nil {
		return fmt.Errorf("print report: %w", err)
	}
	return nil
}

// printRow writes the percentiles and the maximum of one histogram.
func (r *Report) printRow(to io.Writer, name string, latencies *hdrhistogram.Histogram) {
	_, _ = fmt.Fprint(to, name)
	for _, percentile := range percentiles {
		_, _ = fmt.Fprintf(to, "\t%.1f", millis(latencies.ValueAtPercentile(percentile)))
	}
	_, _ = fmt.Fprintf(to, "\t%.1f\n", millis(latencies.Max()))
}

// millis converts microseconds to milliseconds.
func millis(micros int64) float64 {
	return float64(micros) / float64(time.Millisecond/time.Microsecond)
}
