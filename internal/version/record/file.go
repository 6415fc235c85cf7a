package record

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// MaxFileSize is the maximum size of a file of records, in bytes.
const MaxFileSize = 64 << 20

// ReadFile reads a file of records, which is either a JSON array or a sequence
// of JSON objects. If any record is invalid, it returns no records and a
// *Faults that lists all faults, each with the file name.
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

// fileFault returns an error with one fault that concerns the whole file.
func fileFault(name, problem string) *Faults {
	return &Faults{List: []Fault{{File: name, Problem: problem}}}
}

// splitRecords splits a file into its records without decoding them.
func splitRecords(data []byte) ([]json.RawMessage, error) {
	trimmed := bytes.TrimLeft(data, " \t\r\n")
	if len(trimmed) > 0 && trimmed[0] == '[' {
		var values []json.RawMessage
		if err := json.Unmarshal(data, &values); err != nil {
			return nil, addLine(data, err)
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
			return nil, fmt.Errorf("record %d: %w", len(values)+1, addLine(data, err))
		}
		values = append(values, value)
	}
}

// addLine adds the line number to a JSON syntax error.
func addLine(data []byte, err error) error {
	var syntax *json.SyntaxError
	if !errors.As(err, &syntax) {
		return err
	}
	end := min(max(int(syntax.Offset), 0), len(data))
	line := bytes.Count(data[:end], []byte("\n")) + 1
	return fmt.Errorf("line %d: %w", line, err)
}

// parseAll parses every record and returns the valid ones and all faults.
func parseAll(values []json.RawMessage) ([]*Record, []Fault) {
	var faults []Fault
	records := make([]*Record, 0, len(values))
	firstPositions := make(map[Key]int, len(values))
	for i, value := range values {
		r, err := Parse(value)
		if err != nil {
			faults = append(faults, addPosition(err, i+1)...)
			continue
		}
		if earlier, found := firstPositions[r.Key()]; found {
			problem := fmt.Sprintf("stands twice, as records %d and %d", earlier, i+1)
			faults = append(faults, Fault{Record: r.Key().String(), Problem: problem})
			continue
		}
		firstPositions[r.Key()] = i + 1
		records = append(records, r)
	}
	return records, faults
}

// addPosition returns the faults in err with the record's position in the
// file added.
func addPosition(err error, position int) []Fault {
	var faults *Faults
	if !errors.As(err, &faults) {
		return []Fault{{Record: fmt.Sprintf("record %d", position), Problem: err.Error()}}
	}
	for i := range faults.List {
		fault := &faults.List[i]
		switch fault.Record {
		case "", "/": // the record has neither a kind nor a name
			fault.Record = fmt.Sprintf("record %d", position)
		default:
			fault.Record = fmt.Sprintf("record %d (%s)", position, fault.Record)
		}
	}
	return faults.List
}
