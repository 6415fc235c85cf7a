package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Explanation is what the control processes know about one request.
type Explanation struct {
	Request ident.RequestID
	// Decisions are the decision records that are still in memory.
	Decisions []json.RawMessage
	// Unreachable are the VMs of control processes that did not answer and may
	// have more decisions.
	Unreachable []ident.VMName `json:",omitempty"`
	// Audit has the audit entries of the request's ledger steps, oldest first.
	Audit []audit.Entry
}

// explain answers with the decisions and audit entries of a request.
func (a *API) explain(w http.ResponseWriter, req *http.Request, _ Actor) *Error {
	request := ident.RequestID(req.PathValue("id"))
	decisions := a.cfg.Control.Decisions(req.Context(), request)
	answer := Explanation{
		Request:     request,
		Decisions:   append([]json.RawMessage{}, decisions.Records...),
		Unreachable: decisions.Unreachable,
		Audit:       []audit.Entry{},
	}
	filter := requestFilter{request: request, attempts: make(map[string]bool)}
	apiErr := a.forEachEntry(0, func(entry audit.Entry) error {
		if filter.matches(&entry) {
			answer.Audit = append(answer.Audit, entry)
		}
		return nil
	})
	if apiErr != nil {
		return apiErr
	}
	if len(answer.Decisions) == 0 && len(answer.Audit) == 0 {
		return newError(http.StatusNotFound, CodeNotFound,
			"nothing is kept for request "+string(request)+"; the router logs have every decision")
	}
	writeJSON(w, http.StatusOK, answer)
	return nil
}

// requestFilter selects the audit entries of one request. The entries of its
// claims name the request; the entries of later steps name only the ledger key
// and the attempt, which the claims name too.
type requestFilter struct {
	request ident.RequestID
	// attempts holds the ledger key and name of each claimed attempt.
	attempts map[string]bool
}

// matches reports whether an entry belongs to the request.
func (f *requestFilter) matches(entry *audit.Entry) bool {
	attempt := entry.Subject + " " + attemptOf(entry.Detail)
	if entry.Request == string(f.request) {
		f.attempts[attempt] = true
		return true
	}
	return f.attempts[attempt] && entry.Kind != audit.KindClaim
}

// attemptOf returns the name of the attempt in a detail such as "attempt A ran".
func attemptOf(detail string) string {
	_, rest, _ := strings.Cut(detail, "attempt ")
	name, _, _ := strings.Cut(rest, " ")
	return strings.TrimSuffix(name, ":")
}

// audit answers with the audit entries above an index, as JSON lines.
func (a *API) audit(w http.ResponseWriter, req *http.Request, _ Actor) *Error {
	after := uint64(0)
	if text := req.URL.Query().Get("after"); text != "" {
		var err error
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return newError(http.StatusBadRequest, CodeInvalid, "after must be the index of an audit entry")
		}
	}
	if apiErr := a.awaitQuorum(req); apiErr != nil {
		return apiErr
	}
	encoder := json.NewEncoder(w)
	started := false
	apiErr := a.forEachEntry(after, func(entry audit.Entry) error {
		if !started {
			w.Header().Set("Content-Type", "application/jsonl")
		}
		started = true
		return encoder.Encode(&entry)
	})
	if apiErr != nil && started {
		// The status and valid lines are already sent. Aborting the connection
		// tells the client that the export is incomplete.
		panic(http.ErrAbortHandler)
	}
	if apiErr == nil && !started {
		w.Header().Set("Content-Type", "application/jsonl")
	}
	return apiErr
}

// forEachEntry exports new audit entries and calls visit for each entry above
// an index, oldest first.
func (a *API) forEachEntry(after uint64, visit func(audit.Entry) error) *Error {
	if a.cfg.State == nil || a.cfg.AuditFolder == nil {
		return newError(http.StatusNotImplemented, CodeUnavailable, "this process has no audit log")
	}
	// Evicted entries are not an error here: the control process fetches them from
	// other control processes later.
	var evicted *audit.EvictedError
	if err := a.cfg.State.ExportAudit(); err != nil && !errors.As(err, &evicted) {
		return newError(http.StatusInternalServerError, CodeUnavailable, "export audit log: "+err.Error())
	}
	if err := a.cfg.AuditFolder.Read(after, visit); err != nil {
		return newError(http.StatusInternalServerError, CodeUnavailable, "read audit log: "+err.Error())
	}
	return nil
}

// verdictName returns the name of a crash verdict.
func verdictName(verdict uint32) string {
	switch poison.Verdict(verdict) {
	case poison.VerdictWatched:
		return "watched"
	case poison.VerdictSuspect:
		return "suspect"
	case poison.VerdictQuarantined:
		return "quarantined"
	default:
		return "none"
	}
}
