package sizing

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strconv"
	"strings"
)

// stepsMetric is the rate that a benchmark achieved. Where it is reported, it
// replaces the size in the name of the benchmark.
const stepsMetric = "steps/s"

// capacityBenchmark matches BenchmarkCapacity/role=ROLE/size=N and BenchmarkNAME/KEY=N,
// each with an optional GOMAXPROCS suffix. It captures the role or name, and N.
var capacityBenchmark = regexp.MustCompile(`^Benchmark(?:Capacity/role=)?([A-Za-z0-9-]+)/[a-z]+=([0-9]+)(?:-[0-9]+)?$`)

// Measurements holds the results of the capacity benchmarks by role and metric.
type Measurements struct {
	points map[string][]Point
}

// Points returns the values measured for a metric of a role, sorted by size.
func (m *Measurements) Points(role, metric string) []Point {
	points := slices.Clone(m.points[role+" "+metric])
	slices.SortFunc(points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	return points
}

// ReadCapacity parses the output of go test -bench. It skips lines that are not
// results of a capacity benchmark.
func ReadCapacity(r io.Reader) (*Measurements, error) {
	measurements := &Measurements{points: make(map[string][]Point)}
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if err := measurements.add(strings.Fields(scanner.Text())); err != nil {
			return nil, fmt.Errorf("line %q: %w", scanner.Text(), err)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read output: %w", err)
	}
	return measurements, nil
}

// add adds the fields of one line: the name of the benchmark, its number of
// iterations, then alternating values and metric names.
func (m *Measurements) add(fields []string) error {
	if len(fields) < 4 {
		return nil
	}
	name := capacityBenchmark.FindStringSubmatch(fields[0])
	if name == nil {
		return nil
	}
	sizeText := name[2]
	if stepsIndex := slices.Index(fields, stepsMetric); stepsIndex > 0 {
		sizeText = fields[stepsIndex-1]
	}
	size, err := strconv.ParseFloat(sizeText, 64)
	if err != nil {
		return fmt.Errorf("size: %w", err)
	}
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return fmt.Errorf("value of %s: %w", fields[i+1], err)
		}
		key := name[1] + " " + fields[i+1]
		m.points[key] = append(m.points[key], Point{Size: size, Value: value})
	}
	return nil
}
