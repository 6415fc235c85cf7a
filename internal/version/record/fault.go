package record

import (
	"fmt"
	"strings"
)

// Fault is one thing wrong with one record.
type Fault struct {
	// File is the file that the record came from, if any.
	File string `json:",omitempty"`
	// Record is the key as KIND/NAME, or the record's position in its file,
	// counted from 1.
	Record string
	// Field is the path of the field, empty for the whole record.
	Field   string `json:",omitempty"`
	Problem string
}

// String returns the fault on one line.
func (f Fault) String() string {
	var parts []string
	for _, part := range []string{f.File, f.Record, f.Field} {
		if part != "" {
			parts = append(parts, part)
		}
	}
	return strings.Join(append(parts, f.Problem), ": ")
}

// Faults is the error that lists everything wrong with a set of records.
type Faults struct {
	List []Fault
}

// Error returns all faults, one a line.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.List)+1)
	lines = append(lines, fmt.Sprintf("%d faults in records", len(f.List)))
	for _, fault := range f.List {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// newFaults names the record in each fault.
func newFaults(key Key, list []Fault) *Faults {
	for i := range list {
		if list[i].Record == "" {
			list[i].Record = key.String()
		}
	}
	return &Faults{List: list}
}
