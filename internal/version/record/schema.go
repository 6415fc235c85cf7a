package record

import (
	"encoding/json"
	"errors"
	"fmt"

	"cactusline.dev/cactusline/internal/version/ident"
)

// newestSchema is the schema version that this build writes for each kind. In
// a record of a newer schema version, only the fields known here are read.
var newestSchema = map[Kind]int{
	KindCustomer:  1,
	KindService:   1,
	KindModel:     1,
	KindRoute:     1,
	KindTarget:    2,
	KindDeparture: 1,
}

// targetV1 is schema version 1 of Target, which named one model and called
// the failure domain a zone.
type targetV1 struct {
	Header
	Name          ident.TargetName
	VM            ident.VMName
	Zone          ident.DomainName
	Region        ident.RegionName
	Address       string
	Model         ident.ModelName
	Service       ident.ServiceName
	Capacity      Capacity
	ChecksFencing bool
	Leaving       bool
}

// upgrade converts a target of schema version 1 to the newest schema version.
func (t *targetV1) upgrade() *Target {
	out := &Target{
		Header: t.Header, Name: t.Name, VM: t.VM, Domain: t.Zone, Region: t.Region,
		Address: t.Address, Service: t.Service, Capacity: t.Capacity,
		ChecksFencing: t.ChecksFencing, Leaving: t.Leaving,
	}
	if t.Model != "" {
		out.Models = []TargetModel{{Name: t.Model}}
	}
	return out
}

// decodeCommonFields decodes the fields that every record has.
func decodeCommonFields(fields map[string]json.RawMessage, header *Header, name *string) []Fault {
	var faults []Fault
	decodeField := func(field string, value any, required bool) {
		data, found := fields[field]
		if !found {
			if required {
				faults = append(faults, Fault{Field: field, Problem: "is missing"})
			}
			return
		}
		if err := json.Unmarshal(data, value); err != nil {
			faults = append(faults, Fault{Field: field, Problem: err.Error()})
		}
	}
	decodeField("Kind", &header.Kind, true)
	decodeField("Name", name, true)
	decodeField("SchemaVersion", &header.SchemaVersion, true)
	decodeField("Version", &header.Version, false)
	if len(faults) > 0 {
		return faults
	}
	if header.Kind == "" || *name == "" {
		faults = append(faults, Fault{Field: "Kind", Problem: "and Name must not be empty"})
	}
	if header.SchemaVersion < 1 {
		faults = append(faults, Fault{Field: "SchemaVersion", Problem: "must be at least 1"})
	}
	return faults
}

// typedRecord is implemented by the types of all kinds of records.
type typedRecord interface {
	validate() []Fault
}

// decodeValue decodes the known fields of a record into the newest schema
// version of its kind with unmarshal. It returns nil for an unknown kind.
func decodeValue(header Header, data []byte, unmarshal func([]byte, any) error) (typedRecord, error) {
	switch header.Kind {
	case KindCustomer:
		return decodeInto(data, &Customer{}, unmarshal)
	case KindService:
		return decodeInto(data, &Service{}, unmarshal)
	case KindModel:
		return decodeInto(data, &Model{}, unmarshal)
	case KindRoute:
		return decodeInto(data, &Route{}, unmarshal)
	case KindDeparture:
		return decodeInto(data, &Departure{}, unmarshal)
	case KindTarget:
		return decodeTarget(header, data, unmarshal)
	}
	return nil, nil
}

// decodeTarget decodes a target of any schema version.
func decodeTarget(header Header, data []byte, unmarshal func([]byte, any) error) (typedRecord, error) {
	if header.SchemaVersion > 1 {
		return decodeInto(data, &Target{}, unmarshal)
	}
	old := &targetV1{}
	if err := unmarshal(data, old); err != nil {
		return nil, fmt.Errorf("target of schema version 1: %w", err)
	}
	return old.upgrade(), nil
}

// decodeInto decodes the known fields of a record into value.
func decodeInto(data []byte, value typedRecord, unmarshal func([]byte, any) error) (typedRecord, error) {
	if err := unmarshal(data, value); err != nil {
		return nil, fmt.Errorf("decode fields: %w", err)
	}
	return value, nil
}

// faultOfDecodeError returns a fault for a decoding error, with the field at
// which decoding stopped if it is known.
func faultOfDecodeError(err error) Fault {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return Fault{Field: typeErr.Field, Problem: fmt.Sprintf("is a %s, want %s", typeErr.Value, typeErr.Type)}
	}
	return Fault{Problem: err.Error()}
}

// headerOf returns the header of a typed record, with its Kind set.
func headerOf(value any) (*Header, error) {
	var header *Header
	var kind Kind
	switch v := value.(type) {
	case *Customer:
		header, kind = &v.Header, KindCustomer
	case *Service:
		header, kind = &v.Header, KindService
	case *Model:
		header, kind = &v.Header, KindModel
	case *Route:
		header, kind = &v.Header, KindRoute
	case *Target:
		header, kind = &v.Header, KindTarget
	case *Departure:
		header, kind = &v.Header, KindDeparture
	default:
		return nil, fmt.Errorf("%T is no record", value)
	}
	header.Kind = kind
	return header, nil
}
