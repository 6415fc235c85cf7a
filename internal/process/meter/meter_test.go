package meter_test

import (
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/meter"
)

func TestMetricsAreServedWithLabels(t *testing.T) {
	m := meter.New(meter.Config{Labels: []meter.Label{{Name: "role", Value: "router"}}})
	for range 2 {
		m.Counter("requests_total", meter.Label{Name: "outcome", Value: `a"b`}).Inc()
	}
	m.Histogram("wait_seconds").Update(0.5)
	m.Gauge("in_flight", func() float64 { return 3 })
	rec := httptest.NewRecorder()
	m.Handler().ServeHTTP(rec, httptest.NewRequest("GET", "/metrics", nil))
	for _, want := range []string{
		`cactusline_requests_total{role="router",outcome="a\"b"} 2`,
		`cactusline_wait_seconds_count{role="router"} 1`,
		`cactusline_in_flight{role="router"} 3`,
	} {
		assert.Assert(t, strings.Contains(rec.Body.String(), want+"\n"), "%s", rec.Body.String())
	}
}
