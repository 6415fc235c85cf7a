package admin

import (
	"encoding/json"
	"net/http"

	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// Code is the kind of an error.
type Code string

// The codes of error answers.
const (
	// CodeInvalidRecords means that the records are invalid; Faults lists every
	// fault.
	CodeInvalidRecords Code = "InvalidRecords"
	// CodeInvalid means that the request is invalid, apart from its records.
	CodeInvalid Code = "Invalid"
	// CodeConflict means that records have newer versions than the request
	// named; Conflicts has them.
	CodeConflict Code = "Conflict"
	// CodeChangeReused means that the change id was used for another change.
	CodeChangeReused Code = "ChangeReused"
	CodeNotFound     Code = "NotFound"
	CodeTooLarge     Code = "TooLarge"
	CodeUnauthorized Code = "Unauthorized"
	CodeForbidden    Code = "Forbidden"
	// CodeNoQuorum means that no quorum was reached; nothing was changed.
	CodeNoQuorum Code = "NoQuorum"
	// CodeOutcomeUnknown means that the change may have been committed or may
	// still be; resending it under the same change id returns its outcome.
	CodeOutcomeUnknown Code = "OutcomeUnknown"
	// CodeRefused means that the control group rejected the member change.
	CodeRefused     Code = "Refused"
	CodeUnavailable Code = "Unavailable"
)

// Error is the content of an error answer.
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

// Conflict is a record whose version differs from the one in the request.
type Conflict struct {
	Kind record.Kind
	Name string
	// Wanted is the version that the request named.
	Wanted ident.Version
	// Winner is the current record, null if there is none.
	Winner json.RawMessage
}

// ErrorBody is the JSON body of every error answer.
type ErrorBody struct {
	Error *Error
}

func newError(status int, code Code, message string) *Error {
	return &Error{Status: status, Code: code, Message: message}
}

// rejectionError returns the error for a command whose result is not
// STATUS_OK.
func rejectionError(result *cmdpb.Result) *Error {
	switch result.GetStatus() {
	case cmdpb.Status_STATUS_CONFLICT:
		e := newError(http.StatusConflict, CodeConflict,
			"records have other versions than those named; nothing was changed")
		e.Conflicts = conflictsIn(result)
		return e
	case cmdpb.Status_STATUS_CHANGE_REUSED:
		return newError(http.StatusConflict, CodeChangeReused,
			"the change id was used for another change; nothing was changed")
	case cmdpb.Status_STATUS_NOT_FOUND:
		return newError(http.StatusNotFound, CodeNotFound, notFoundMessage(result))
	default:
		e := newError(http.StatusBadRequest, CodeInvalidRecords, "the change is invalid; nothing was changed")
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

func notFoundMessage(result *cmdpb.Result) string {
	if result.GetDetail() != "" {
		return result.GetDetail()
	}
	return "no such record"
}

func conflictsIn(result *cmdpb.Result) []Conflict {
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
