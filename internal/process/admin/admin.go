// Package admin is the administration API: operators submit, amend and retire
// records over HTTP with JSON, and read what the fleet does.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

const (
	// commandFormat is the format of the commands that this program writes.
	commandFormat = 1
	bodyLimit     = 16 << 20
	headerChange  = "Cactusline-Change"
)

// Control is what the API needs of the control process.
type Control interface {
	// Command proposes an encoded command and returns its encoded result.
	Command(ctx context.Context, entry []byte) ([]byte, error)
	// Set returns the records in force.
	Set() *record.Set
}

// Config makes an API.
type Config struct {
	Control Control
}

// API serves operators.
type API struct {
	cfg Config
}

// New returns an API.
func New(cfg Config) *API { return &API{cfg: cfg} }

// Handler returns the operators' interface.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/records", a.apply)
	mux.HandleFunc("GET /v1/records", a.list)
	return mux
}

// applied answers a change.
type applied struct {
	Revision ident.Revision
	Records  []appliedRecord
}

type appliedRecord struct {
	Kind    string
	Name    string
	Version ident.Version
}

// apply commits a file of records, all or none.
func (a *API) apply(w http.ResponseWriter, req *http.Request) {
	records, err := record.ReadFile("body", http.MaxBytesReader(w, req.Body, bodyLimit))
	if err != nil {
		writeError(w, http.StatusBadRequest, "InvalidRecords", err)
		return
	}
	body := new(cmdpb.ApplyRecords)
	for _, r := range records {
		body.Records = append(body.Records, r.JSON())
	}
	result, err := a.command(req.Context(), &cmdpb.Command{
		Change: req.Header.Get(headerChange),
		Body:   &cmdpb.Command_Apply{Apply: body},
	})
	if err != nil {
		writeError(w, http.StatusServiceUnavailable, "OutcomeUnknown", err)
		return
	}
	writeResult(w, result)
}

// command proposes a command and returns its result.
func (a *API) command(ctx context.Context, command *cmdpb.Command) (*cmdpb.Result, error) {
	command.Format = commandFormat
	command.Actor = "operator"
	entry, err := proto.Marshal(command)
	if err != nil {
		return nil, fmt.Errorf("encode command: %w", err)
	}
	reply, err := a.cfg.Control.Command(ctx, entry)
	if err != nil {
		return nil, fmt.Errorf("propose command: %w", err)
	}
	result := new(cmdpb.Result)
	if err := proto.Unmarshal(reply, result); err != nil {
		return nil, fmt.Errorf("decode result: %w", err)
	}
	return result, nil
}

// list answers with all records.
func (a *API) list(w http.ResponseWriter, req *http.Request) {
	writeJSON(w, http.StatusOK, a.cfg.Control.Set().List(record.Kind(req.URL.Query().Get("kind"))))
}

func writeResult(w http.ResponseWriter, result *cmdpb.Result) {
	switch result.GetStatus() {
	case cmdpb.Status_STATUS_OK:
		answer := applied{Revision: ident.Revision(result.GetRevision())}
		for _, r := range result.GetCommitted() {
			answer.Records = append(answer.Records, appliedRecord{
				Kind:    r.GetKind(),
				Name:    r.GetName(),
				Version: ident.Version(r.GetVersion()),
			})
		}
		writeJSON(w, http.StatusOK, answer)
	case cmdpb.Status_STATUS_CONFLICT, cmdpb.Status_STATUS_CHANGE_REUSED:
		writeError(w, http.StatusConflict, "Conflict", errors.New(result.String()))
	default:
		writeError(w, http.StatusBadRequest, "InvalidRecords", errors.New(result.String()))
	}
}

// errorBody is the JSON of every error answer.
type errorBody struct {
	Error errorDetail
}

type errorDetail struct {
	Code    string
	Message string
}

func writeError(w http.ResponseWriter, status int, code string, err error) {
	writeJSON(w, status, errorBody{Error: errorDetail{Code: code, Message: err.Error()}})
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
