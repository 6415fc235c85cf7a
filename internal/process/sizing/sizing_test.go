package sizing_test

import (
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/sizing"
)

func TestCapacityPageIsUpToDate(t *testing.T) {
	file, err := os.Open("../../../docs/capacity.txt")
	assert.NilError(t, err)
	defer file.Close()
	measurements, err := sizing.ReadCapacity(file)
	assert.NilError(t, err)
	page, err := os.ReadFile("../../../docs/CAPACITY.md")
	assert.NilError(t, err)
	wanted, err := sizing.RewriteCapacity(string(page), measurements)
	assert.NilError(t, err)
	assert.Equal(t, string(page), wanted, "run: go run ./cmd/sizing capacity docs/capacity.txt docs/CAPACITY.md")
}

func TestDecisionTablesAreUpToDate(t *testing.T) {
	file, err := os.Open("../../../docs/decisions.txt")
	assert.NilError(t, err)
	defer file.Close()
	results, err := sizing.ReadPolicyResults(file)
	assert.NilError(t, err)
	page, err := os.ReadFile("../../../docs/MEASUREMENTS.md")
	assert.NilError(t, err)
	wanted, err := sizing.RewriteDecisions(string(page), results)
	assert.NilError(t, err)
	assert.Equal(t, string(page), wanted, "run: go run ./cmd/sizing decisions docs/decisions.txt docs/MEASUREMENTS.md")
}

func TestFitLine(t *testing.T) {
	l := sizing.FitLine([]sizing.Point{{Size: 1, Value: 5}, {Size: 2, Value: 7}, {Size: 4, Value: 11}})
	assert.Equal(t, l, sizing.Line{Intercept: 3, Slope: 2, RSquared: 1})
}

func TestReadCapacityRejectsMalformedValue(t *testing.T) {
	_, err := sizing.ReadCapacity(strings.NewReader("BenchmarkCapacity/role=watch/size=205 1 many watcher-B/s\n"))
	assert.ErrorContains(t, err, "value of watcher-B/s")
}
