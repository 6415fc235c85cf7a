// Package exact decodes JSON that other parties wrote. A field has its name to the letter, as
// a name in other capitals is another field, and a name that stands twice in one object is an
// error, since nothing says which one holds.
package exact

import (
	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

// Unmarshal decodes data into value. Text that is not UTF-8 is an error. Unknown fields are
// ignored.
func Unmarshal(data []byte, value any) error { return json.Unmarshal(data, value) }

// UnmarshalKnown is Unmarshal, but returns an error for an unknown field.
func UnmarshalKnown(data []byte, value any) error {
	return json.Unmarshal(data, value, json.RejectUnknownMembers(true))
}

// UnmarshalAccepted is Unmarshal for what an earlier release may have accepted: the last of
// several fields of one name holds, and invalid text is replaced.
func UnmarshalAccepted(data []byte, value any) error {
	return json.Unmarshal(data, value, jsontext.AllowDuplicateNames(true), jsontext.AllowInvalidUTF8(true))
}

// UnmarshalLikeStandard decodes like encoding/json in all but the names of fields.
func UnmarshalLikeStandard(data []byte, value any) error {
	return json.Unmarshal(data, value, jsonv1.DefaultOptionsV1(), json.MatchCaseInsensitiveNames(false), jsontext.AllowDuplicateNames(false))
}
