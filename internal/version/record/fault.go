package record

import (
	"fmt"
	"strings"
)

// Fault describes one error in a record.
type Fault struct {
	// File is the name of the file that the record came from, if any.
	File string `json:",omitempty"`
	// Record identifies the record by its key as KIND/NAME, by its position in
	// the file, counted from 1, or by both.
	Record string
	// Field is the path of the invalid field, empty if the fault concerns the
	// whole record.
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

// Faults is an error that lists all faults found in records.
type Faults struct {
	List []Fault
}

// Error returns the number of faults and then each fault on its own line.
func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.List)+1)
	lines = append(lines, fmt.Sprintf("%d faults in records", len(f.List)))
	for _, fault := range f.List {
		lines = append(lines, fault.String())
	}
	return strings.Join(lines, "\n")
}

// newFaults returns the faults as an error. Faults that name no record get the
// key.
func newFaults(key Key, list []Fault) *Faults {
	for i := range list {
		if list[i].Record == "" {
			list[i].Record = key.String()
		}
	}
	return &Faults{List: list}
}
