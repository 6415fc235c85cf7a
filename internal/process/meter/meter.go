// Package meter holds the metrics of one process and serves them in the text
// format of Prometheus.
package meter

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/VictoriaMetrics/metrics"
)

// Prefix precedes the name of each metric.
const Prefix = "cactusline_"

// Label is one dimension of a metric.
type Label struct {
	Name  string
	Value string
}

// Meter holds the metrics of one process. Its methods may be called from
// several goroutines at once; equal names and labels give the same metric.
type Meter struct {
	set    *metrics.Set
	labels []Label
}

// Config configures a Meter.
type Config struct {
	// Labels are on each metric, such as the role of the process.
	Labels []Label
}

// New returns a meter without metrics.
func New(cfg Config) *Meter {
	return &Meter{set: metrics.NewSet(), labels: cfg.Labels}
}

// Counter returns a count that only rises. Its name ends in _total.
func (m *Meter) Counter(name string, labels ...Label) *metrics.Counter {
	return m.set.GetOrCreateCounter(m.full(name, labels))
}

// Gauge adds a figure that is read when the metrics are served.
func (m *Meter) Gauge(name string, read func() float64, labels ...Label) {
	m.set.GetOrCreateGauge(m.full(name, labels), read)
}

// Histogram returns a distribution. Times are in seconds and their names end
// in _seconds.
func (m *Meter) Histogram(name string, labels ...Label) *metrics.Histogram {
	return m.set.GetOrCreateHistogram(m.full(name, labels))
}

// Handler serves the metrics, and those of the Go runtime and the process.
func (m *Meter) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		m.set.WritePrometheus(w)
		metrics.WriteProcessMetrics(w)
	})
}

func (m *Meter) full(name string, labels []Label) string {
	parts := make([]string, 0, len(m.labels)+len(labels))
	for _, l := range m.labels {
		parts = append(parts, fmt.Sprintf("%s=%q", l.Name, l.Value))
	}
	for _, l := range labels {
		parts = append(parts, fmt.Sprintf("%s=%q", l.Name, l.Value))
	}
	if len(parts) == 0 {
		return Prefix + name
	}
	return Prefix + name + "{" + strings.Join(parts, ",") + "}"
}
