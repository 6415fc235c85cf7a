package admin

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"cactusline.dev/cactusline/internal/conn/guard"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// Records is the answer to a list request.
type Records struct {
	Revision ident.Revision
	Records  []*record.Record
}

// apply commits all records in the body, or none if any of them is rejected.
func (a *API) apply(w http.ResponseWriter, req *http.Request, actor Actor) *Error {
	text, err := readBody(w, req)
	if err != nil {
		return bodyError(err)
	}
	records, err := record.ReadFile("", bytes.NewReader(text))
	if err != nil {
		return bodyError(err)
	}
	body := new(cmdpb.ApplyRecords)
	for _, r := range records {
		body.Records = append(body.Records, r.JSON())
	}
	return a.change(w, req, actor, &cmdpb.Command{Body: &cmdpb.Command_Apply{Apply: body}})
}

// readBody reads the body of a request, which is charged to its connection.
func readBody(w http.ResponseWriter, req *http.Request) ([]byte, error) {
	body, err := guard.FromContext(req.Context()).ReadAll(http.MaxBytesReader(w, req.Body, int64(BodyLimit)), req.ContentLength)
	if err != nil {
		w.Header().Set("Connection", "close")
	}
	return body, err
}

// bodyError returns the error for a body without valid records.
func bodyError(err error) *Error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return newError(http.StatusRequestEntityTooLarge, CodeTooLarge,
			fmt.Sprintf("the body is larger than %d bytes; nothing was changed", BodyLimit))
	}
	if errors.Is(err, guard.ErrFull) || errors.Is(err, guard.ErrGaveWay) {
		return newError(http.StatusServiceUnavailable, CodeUnavailable, err.Error()+"; nothing was changed")
	}
	var faults *record.Faults
	if errors.As(err, &faults) {
		e := newError(http.StatusBadRequest, CodeInvalidRecords,
			fmt.Sprintf("%d faults in records; nothing was changed", len(faults.List)))
		e.Faults = faults.List
		return e
	}
	return newError(http.StatusBadRequest, CodeInvalid, err.Error()+"; nothing was changed")
}

// list answers with the records of one kind, or with all records.
func (a *API) list(w http.ResponseWriter, req *http.Request, _ Actor) *Error {
	if apiErr := a.awaitQuorum(req); apiErr != nil {
		return apiErr
	}
	set := a.cfg.Control.Set()
	answer := Records{
		Revision: set.Revision(),
		Records:  set.List(record.Kind(req.URL.Query().Get("kind"))),
	}
	if answer.Records == nil {
		answer.Records = []*record.Record{}
	}
	writeJSON(w, http.StatusOK, answer)
	return nil
}

// get answers with one record.
func (a *API) get(w http.ResponseWriter, req *http.Request, _ Actor) *Error {
	if apiErr := a.awaitQuorum(req); apiErr != nil {
		return apiErr
	}
	key := recordKey(req)
	r, ok := a.cfg.Control.Set().Get(key)
	if !ok {
		return newError(http.StatusNotFound, CodeNotFound, "no record "+key.String())
	}
	writeJSON(w, http.StatusOK, r)
	return nil
}

// retire removes a record if it has the given version.
func (a *API) retire(w http.ResponseWriter, req *http.Request, actor Actor) *Error {
	version, err := strconv.ParseUint(req.URL.Query().Get("version"), 10, 64)
	if err != nil {
		return newError(http.StatusBadRequest, CodeInvalid,
			"version must be the version of the record to retire; nothing was changed")
	}
	key := recordKey(req)
	return a.change(w, req, actor, &cmdpb.Command{Body: &cmdpb.Command_Retire{Retire: &cmdpb.RetireRecords{
		Records: []*cmdpb.RecordVersion{{Kind: string(key.Kind), Name: key.Name, Version: version}},
	}}})
}

func recordKey(req *http.Request) record.Key {
	return record.Key{Kind: record.Kind(req.PathValue("kind")), Name: req.PathValue("name")}
}

func (a *API) drainTarget(w http.ResponseWriter, req *http.Request, actor Actor) *Error {
	return a.drain(w, req, actor, &cmdpb.Drain{Target: req.PathValue("name")})
}

func (a *API) undrainTarget(w http.ResponseWriter, req *http.Request, actor Actor) *Error {
	return a.drain(w, req, actor, &cmdpb.Drain{Target: req.PathValue("name"), Cancel: true})
}

func (a *API) drainVM(w http.ResponseWriter, req *http.Request, actor Actor) *Error {
	return a.drain(w, req, actor, &cmdpb.Drain{Vm: req.PathValue("name")})
}

func (a *API) undrainVM(w http.ResponseWriter, req *http.Request, actor Actor) *Error {
	return a.drain(w, req, actor, &cmdpb.Drain{Vm: req.PathValue("name"), Cancel: true})
}

// drain starts or cancels the drain of a target or VM. The query parameter
// "reason" is stored with it.
func (a *API) drain(w http.ResponseWriter, req *http.Request, actor Actor, body *cmdpb.Drain) *Error {
	body.Reason = req.URL.Query().Get("reason")
	return a.change(w, req, actor, &cmdpb.Command{Body: &cmdpb.Command_Drain{Drain: body}})
}
