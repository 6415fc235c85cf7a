package chat

import (
	"encoding/json"
	"fmt"
	"maps"
)

// field is a JSON field. When decoding, value is a pointer to the destination.
type field struct {
	name  string
	value any
}

// unmarshalFields decodes the JSON object in data. It stores the known fields in
// their destinations and the others in extra.
func unmarshalFields(data []byte, extra *Fields, known []field) error {
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

// marshalFields encodes the known and the extra fields as one JSON object.
func marshalFields(extra Fields, known []field) ([]byte, error) {
	all := make(Fields, len(extra)+len(known))
	maps.Copy(all, extra)
	for _, f := range known {
		raw, err := json.Marshal(f.value)
		if err != nil {
			return nil, fmt.Errorf("encode field %s: %w", f.name, err)
		}
		all[f.name] = raw
	}
	return json.Marshal(all)
}
