package admin

import (
	"encoding/json"
	"net/http"

	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// Code says what kind of error an answer reports.
type Code string

// The codes of errors.
const (
	// CodeInvalidRecords: the records are at fault; Faults lists all of it.
	CodeInvalidRecords Code = "InvalidRecords"
	// CodeInvalid: the request itself is at fault.
	CodeInvalid Code = "Invalid"
	// CodeConflict: records moved on; Conflicts shows the winners.
	CodeConflict Code = "Conflict"
	// CodeChangeReused: the change id was used for another change.
	CodeChangeReused Code = "ChangeReused"
	CodeNotFound     Code = "NotFound"
	CodeTooLarge     Code = "TooLarge"
	CodeUnauthorized Code = "Unauthorized"
	CodeForbidden    Code = "Forbidden"
	// CodeNoQuorum: no quorum was reached; nothing was changed.
	CodeNoQuorum Code = "NoQuorum"
	// CodeOutcomeUnknown: the change may have been made or may still be; a
	// resend under the same change id tells.
	CodeOutcomeUnknown Code = "OutcomeUnknown"
	// CodeRefused: the members of control can't be changed so now.
	CodeRefused     Code = "Refused"
	CodeUnavailable Code = "Unavailable"
)

// Error is an error answer.
type Error struct {
	// Status is the HTTP status.
	Status  int `json:"-"`
	Code    Code
	Message string
	// Change is the id under which the change may be resent.
	Change    ident.ChangeID `json:",omitempty"`
	Conflicts []Conflict     `json:",omitempty"`
	Faults    []record.Fault `json:",omitempty"`
}

// Error returns the code and the message.
func (e *Error) Error() string { return string(e.Code) + ": " + e.Message }

// Conflict is one record that moved on from the version that was named.
type Conflict struct {
	Kind record.Kind
	Name string
	// Wanted is the version that was named.
	Wanted ident.Version
	// Winner is the record that stands, null if there is none.
	Winner json.RawMessage
}

// ErrorBody is the JSON of every error answer.
type ErrorBody struct {
	Error *Error
}

func problem(status int, code Code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message}
}

// refused words a command that the state did not allow.
func refused(result *cmdpb.Result) *Error {
	switch result.GetStatus() {
	case cmdpb.Status_STATUS_CONFLICT:
		e := problem(http.StatusConflict, CodeConflict,
			"records moved on from the versions named; nothing was changed")
		e.Conflicts = conflictsOf(result)
		return e
	case cmdpb.Status_STATUS_CHANGE_REUSED:
		return problem(http.StatusConflict, CodeChangeReused,
			"the change id was used for another change; nothing was changed")
	case cmdpb.Status_STATUS_NOT_FOUND:
		return problem(http.StatusNotFound, CodeNotFound, notFound(result))
	default:
		e := problem(http.StatusBadRequest, CodeInvalidRecords, "the change is at fault; nothing was changed")
		if result.GetDetail() != "" {
			e.Message = result.GetDetail() + "; nothing was changed"
		}
		for _, fault := range result.GetFaults() {
			e.Faults = append(e.Faults, record.Fault{
				Record:  fault.GetRecord(),
				Field:   fault.GetField(),
				Problem: fault.GetProblem(),
			})
		}
		return e
	}
}

func notFound(result *cmdpb.Result) string {
	if result.GetDetail() != "" {
		return result.GetDetail()
	}
	return "there is no such record"
}

func conflictsOf(result *cmdpb.Result) []Conflict {
	conflicts := make([]Conflict, 0, len(result.GetConflicts()))
	for _, c := range result.GetConflicts() {
		conflict := Conflict{
			Kind:   record.Kind(c.GetWanted().GetKind()),
			Name:   c.GetWanted().GetName(),
			Wanted: ident.Version(c.GetWanted().GetVersion()),
		}
		if len(c.GetWinner()) > 0 {
			conflict.Winner = c.GetWinner()
		}
		conflicts = append(conflicts, conflict)
	}
	return conflicts
}

func writeError(w http.ResponseWriter, e *Error) {
	writeJSON(w, e.Status, ErrorBody{Error: e})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
