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

// stepsMetric is the rate that a run reached, which counts as its size.
const stepsMetric = "steps/s"

var sizeOf = regexp.MustCompile(`^Benchmark(?:Capacity/role=)?([A-Za-z0-9-]+)/[a-z]+=([0-9]+)(?:-[0-9]+)?$`)

// Output is what the benchmarks of capacity measured.
type Output struct {
	points map[string][]Point
}

// Points returns the measurements of a role's metric, sorted by size.
func (o *Output) Points(role, metric string) []Point {
	points := slices.Clone(o.points[role+" "+metric])
	slices.SortFunc(points, func(a, b Point) int { return cmp.Compare(a.Size, b.Size) })
	return points
}

// Read reads the output of go test -bench. Lines that are no measurement are
// passed over.
func Read(r io.Reader) (*Output, error) {
	output := &Output{points: make(map[string][]Point)}
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if err := output.add(strings.Fields(scanner.Text())); err != nil {
			return nil, fmt.Errorf("line %q: %w", scanner.Text(), err)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read output: %w", err)
	}
	return output, nil
}

// add takes the fields of one line: a name, the count of runs, then pairs of a
// value and its metric.
func (o *Output) add(fields []string) error {
	if len(fields) < 4 {
		return nil
	}
	name := sizeOf.FindStringSubmatch(fields[0])
	if name == nil {
		return nil
	}
	text := name[2]
	if at := slices.Index(fields, stepsMetric); at > 0 {
		text = fields[at-1]
	}
	size, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return fmt.Errorf("size: %w", err)
	}
	for i := 2; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			return fmt.Errorf("value of %s: %w", fields[i+1], err)
		}
		key := name[1] + " " + fields[i+1]
		o.points[key] = append(o.points[key], Point{Size: size, Value: value})
	}
	return nil
}
