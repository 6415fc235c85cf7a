// Package record defines the records that operators submit: their types, their
// JSON form in each schema version and their validation. An immutable Set holds
// the records at one revision.
package record

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"cactusline.dev/cactusline/internal/version/exact"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Key identifies a record.
type Key struct {
	Kind Kind
	Name string
}

// String returns the key as KIND/NAME.
func (k Key) String() string {
	return string(k.Kind) + "/" + k.Name
}

// ParseKey parses a key of the form KIND/NAME. The name may contain slashes.
func ParseKey(text string) (Key, error) {
	kind, name, found := strings.Cut(text, "/")
	if !found || kind == "" || name == "" {
		return Key{}, fmt.Errorf("record key %q is not KIND/NAME", text)
	}
	return Key{Kind: Kind(kind), Name: name}, nil
}

// commonFields are the fields that every record has.
var commonFields = []string{"Kind", "Name", "SchemaVersion", "Version"}

// Record is one record: its JSON as submitted, unknown fields included, and the
// typed value of its known fields. A record is immutable.
type Record struct {
	key     Key
	header  Header
	content []byte
	value   typedRecord
}

// Parse decodes and validates a record in JSON as an operator submits it. It
// does not check the record against others; Set.Check does. If the record is
// invalid, it returns a *Faults that lists all faults.
func Parse(data []byte) (*Record, error) {
	r, faults := decode(data)
	if len(faults) == 0 {
		faults = r.valueFaults()
	}
	var fields map[string]json.RawMessage
	if err := exact.UnmarshalLikeStandard(data, &fields); err != nil && len(faults) == 0 {
		faults = []Fault{{Problem: err.Error()}}
	}
	if len(faults) > 0 {
		return nil, newFaults(r.key, faults)
	}
	return r, nil
}

// ParseCommitted decodes a record that was committed, perhaps by a newer build.
// Only the header must be valid: a record of an unknown kind, or whose fields
// have other types than in this build, is preserved with a nil value.
func ParseCommitted(data []byte) (*Record, error) {
	r, faults := decode(data)
	if len(faults) > 0 {
		return nil, newFaults(r.key, faults)
	}
	return r, nil
}

// decode decodes a record without validating its value.
func decode(data []byte) (*Record, []Fault) {
	r := &Record{}
	fields, err := decodeFields(data)
	if err != nil {
		return r, []Fault{{Problem: err.Error()}}
	}
	var name string
	faults := decodeCommonFields(fields, &r.header, &name)
	r.key = Key{Kind: r.header.Kind, Name: name}
	if fault, found := headerCaseFault(fields); found {
		faults = append(faults, fault)
	}
	if len(faults) > 0 {
		return r, faults
	}
	if r.content, err = encodeFields(fields); err != nil {
		return r, []Fault{{Problem: err.Error()}}
	}
	// A value that cannot be decoded stays nil; Parse reports the error.
	r.value, _ = decodeValue(r.header, r.content, json.Unmarshal)
	return r, nil
}

// valueFaults returns the faults of the kind and value of a submitted record.
func (r *Record) valueFaults() []Fault {
	if _, known := newestSchema[r.header.Kind]; !known {
		return []Fault{{Field: "Kind", Problem: fmt.Sprintf("%q is unknown", r.header.Kind)}}
	}
	value, err := decodeValue(r.header, r.content, json.Unmarshal)
	if err != nil {
		return []Fault{faultOfDecodeError(err)}
	}
	return append(r.nameFaults(value), value.validate()...)
}

// nameFaults returns a fault if a name in a record differs from that of a known field only in
// capitals, at any depth. Records that were committed are read without regard to that, and so
// must hold no such names.
func (r *Record) nameFaults(value typedRecord) []Fault {
	byLetter, err := decodeValue(r.header, r.content, exact.UnmarshalLikeStandard)
	if err != nil {
		return []Fault{{Problem: err.Error()}}
	}
	if !reflect.DeepEqual(byLetter, value) {
		return []Fault{{Problem: "has a name that differs from that of a known field only in capitals"}}
	}
	return nil
}

// New returns the record of a typed value, which must be a pointer to one of
// this package's record types. It sets Kind and SchemaVersion.
func New(value any) (*Record, error) {
	header, err := headerOf(value)
	if err != nil {
		return nil, err
	}
	header.SchemaVersion = newestSchema[header.Kind]
	data, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", header.Kind, err)
	}
	return Parse(data)
}

// Key returns the record's kind and name.
func (r *Record) Key() Key { return r.key }

// Header returns the record's kind, schema version and version.
func (r *Record) Header() Header { return r.header }

// Version returns the record's version.
func (r *Record) Version() ident.Version { return r.header.Version }

// JSON returns the record as compact JSON with sorted fields. The caller must
// not change it.
func (r *Record) JSON() []byte { return r.content }

// MarshalJSON returns the same as JSON.
func (r *Record) MarshalJSON() ([]byte, error) { return r.content, nil }

// Value returns the typed record in the newest schema version: a *Customer,
// *Service, *Model, *Route, *Target or *Departure, or nil if ParseCommitted
// could not decode it. The caller must not change it.
func (r *Record) Value() any {
	if r.value == nil {
		return nil
	}
	return r.value
}

// WithVersion returns the record with another version.
func (r *Record) WithVersion(version ident.Version) (*Record, error) {
	if version == r.header.Version {
		return r, nil
	}
	fields, err := decodeFields(r.content)
	if err != nil {
		return nil, err
	}
	fields["Version"] = json.RawMessage(fmt.Sprint(uint64(version)))
	data, err := encodeFields(fields)
	if err != nil {
		return nil, err
	}
	return ParseCommitted(data)
}

// SameContent reports whether two records are equal apart from their version.
func (r *Record) SameContent(other *Record) bool {
	same, err := other.WithVersion(r.header.Version)
	return err == nil && bytes.Equal(r.content, same.content)
}

// decodeFields splits a JSON object into its fields, without decoding the
// values of the fields.
func decodeFields(data []byte) (map[string]json.RawMessage, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, fmt.Errorf("record is no JSON object: %w", err)
	}
	if fields == nil {
		return nil, fmt.Errorf("record is null")
	}
	return fields, nil
}

// headerCaseFault returns a fault for the first field whose name differs from
// that of a common field only in case. JSON decoding would accept it as that
// field.
func headerCaseFault(fields map[string]json.RawMessage) (Fault, bool) {
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		for _, known := range commonFields {
			if name != known && strings.EqualFold(name, known) {
				return Fault{Field: name, Problem: "is written " + known}, true
			}
		}
	}
	return Fault{}, false
}

// encodeFields encodes fields as compact JSON sorted by name. It adds Version 0
// if there is no version.
func encodeFields(fields map[string]json.RawMessage) ([]byte, error) {
	if _, found := fields["Version"]; !found {
		fields["Version"] = json.RawMessage("0")
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return data, nil
}
