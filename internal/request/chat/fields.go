package chat

import (
	"encoding/json"
	"fmt"
	"maps"
)

// field pairs the name of a JSON field with its value: when reading, a
// pointer to where it goes.
type field struct {
	name  string
	value any
}

// takeAll reads the JSON object in data, moves the known fields to where they
// go and leaves the others in extra.
func takeAll(data []byte, extra *Fields, known []field) error {
	var fields Fields
	if err := json.Unmarshal(data, &fields); err != nil {
		return &DecodeError{Reason: "not a JSON object", Err: err}
	}
	for _, f := range known {
		raw, found := fields[f.name]
		if !found {
			continue
		}
		if err := json.Unmarshal(raw, f.value); err != nil {
			return &DecodeError{Field: f.name, Reason: "invalid", Err: err}
		}
		delete(fields, f.name)
	}
	*extra = nil
	if len(fields) > 0 {
		*extra = fields
	}
	return nil
}

// putAll writes one JSON object of the known fields and the others.
func putAll(extra Fields, known []field) ([]byte, error) {
	all := make(Fields, len(extra)+len(known))
	maps.Copy(all, extra)
	for _, f := range known {
		raw, err := json.Marshal(f.value)
		if err != nil {
			return nil, fmt.Errorf("write field %s: %w", f.name, err)
		}
		all[f.name] = raw
	}
	return json.Marshal(all)
}
