package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxFileSize bounds a file of records.
const MaxFileSize = 64 << 20

// ReadFile reads a file of records: a JSON array of them, or one after the
// other. The name stands in the faults. Either all records are returned, or a
// *Faults that lists everything found wrong in any of them.
func ReadFile(name string, file io.Reader) ([]*Record, error) {
	data, err := io.ReadAll(io.LimitReader(file, MaxFileSize+1))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	if len(data) > MaxFileSize {
		return nil, fileFault(name, fmt.Sprintf("is larger than %d bytes", MaxFileSize))
	}
	values, err := splitRecords(data)
	if err != nil {
		return nil, fileFault(name, err.Error())
	}
	records, faults := parseAll(values)
	if len(faults) > 0 {
		for i := range faults {
			faults[i].File = name
		}
		return nil, &Faults{List: faults}
	}
	return records, nil
}

// fileFault returns the error for a fault of a whole file.
func fileFault(name, problem string) *Faults {
	return &Faults{List: []Fault{{File: name, Problem: problem}}}
}

// splitRecords cuts a file into its records, each still encoded.
func splitRecords(data []byte) ([]json.RawMessage, error) {
	trimmed := bytes.TrimLeft(data, " \t\r\n")
	if len(trimmed) > 0 && trimmed[0] == '[' {
		var values []json.RawMessage
		if err := json.Unmarshal(data, &values); err != nil {
			return nil, placeError(data, err)
		}
		return values, nil
	}
	var values []json.RawMessage
	decoder := json.NewDecoder(bytes.NewReader(data))
	for {
		var value json.RawMessage
		err := decoder.Decode(&value)
		if errors.Is(err, io.EOF) {
			return values, nil
		}
		if err != nil {
			return nil, fmt.Errorf("record %d: %w", len(values)+1, placeError(data, err))
		}
		values = append(values, value)
	}
}

// placeError adds the line to a syntax error.
func placeError(data []byte, err error) error {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err
	}
	end := min(max(int(syntax.Offset), 0), len(data))
	line := bytes.Count(data[:end], []byte("\n")) + 1
	return fmt.Errorf("line %d: %w", line, err)
}

// parseAll parses every record and collects the faults of all of them.
func parseAll(values []json.RawMessage) ([]*Record, []Fault) {
	var faults []Fault
	records := make([]*Record, 0, len(values))
	first := make(map[Key]int, len(values))
	for i, value := range values {
		r, err := Parse(value)
		if err != nil {
			faults = append(faults, positioned(err, i+1)...)
			continue
		}
		if earlier, found := first[r.Key()]; found {
			problem := fmt.Sprintf("stands twice, as records %d and %d", earlier, i+1)
			faults = append(faults, Fault{Record: r.Key().String(), Problem: problem})
			continue
		}
		first[r.Key()] = i + 1
		records = append(records, r)
	}
	return records, faults
}

// positioned names the record's place in the file in faults that could not
// name the record itself.
func positioned(err error, place int) []Fault {
	var faults *Faults
	if !errors.As(err, &faults) {
		return []Fault{{Record: fmt.Sprintf("record %d", place), Problem: err.Error()}}
	}
	for i := range faults.List {
		fault := &faults.List[i]
		switch fault.Record {
		case "", "/":
			fault.Record = fmt.Sprintf("record %d", place)
		default:
			fault.Record = fmt.Sprintf("record %d (%s)", place, fault.Record)
		}
	}
	return faults.List
}
