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

// Explanation is what control knows of one request.
type Explanation struct {
	Request ident.RequestID
	// Decisions are the decision records that are still kept.
	Decisions []json.RawMessage
	// Unreachable are control processes that gave no answer and may keep more.
	Unreachable []ident.VMName `json:",omitempty"`
	// Audit are the entries of the request's paid steps, oldest first.
	Audit []audit.Entry
}

// explain answers with what is kept of a request.
func (a *API) explain(w http.ResponseWriter, req *http.Request, _ Actor) *Error {
	request := ident.RequestID(req.PathValue("id"))
	decisions := a.cfg.Control.Decisions(req.Context(), request)
	answer := Explanation{
		Request:     request,
		Decisions:   append([]json.RawMessage{}, decisions.Records...),
		Unreachable: decisions.Unreachable,
		Audit:       []audit.Entry{},
	}
	steps := paidSteps{request: request, attempts: make(map[string]bool)}
	failed := a.eachEntry(0, func(entry audit.Entry) error {
		if steps.concern(&entry) {
			answer.Audit = append(answer.Audit, entry)
		}
		return nil
	})
	if failed != nil {
		return failed
	}
	if len(answer.Decisions) == 0 && len(answer.Audit) == 0 {
		return problem(http.StatusNotFound, CodeNotFound,
			"nothing is kept of request "+string(request)+"; the logs of the routers hold every decision")
	}
	writeJSON(w, http.StatusOK, answer)
	return nil
}

// paidSteps finds the audit entries of one request. Its claims name it, and
// the later steps name the key and the attempt that the claims name.
type paidSteps struct {
	request ident.RequestID
	// attempts holds each attempt's key and name.
	attempts map[string]bool
}

// concern reports whether an entry is one of the request's.
func (p *paidSteps) concern(entry *audit.Entry) bool {
	attempt := entry.Subject + " " + attemptOf(entry.Detail)
	if entry.Request == string(p.request) {
		p.attempts[attempt] = true
		return true
	}
	return p.attempts[attempt] && entry.Kind != audit.KindClaim
}

// attemptOf returns the attempt that a detail such as "attempt A ran" names.
func attemptOf(detail string) string {
	_, rest, _ := strings.Cut(detail, "attempt ")
	name, _, _ := strings.Cut(rest, " ")
	return strings.TrimSuffix(name, ":")
}

// audit answers with the entries above an index, as JSON lines.
func (a *API) audit(w http.ResponseWriter, req *http.Request, _ Actor) *Error {
	after := uint64(0)
	if text := req.URL.Query().Get("after"); text != "" {
		var err error
		if after, err = strconv.ParseUint(text, 10, 64); err != nil {
			return problem(http.StatusBadRequest, CodeInvalid, "after must be the index of an entry")
		}
	}
	if failed := a.fresh(req); failed != nil {
		return failed
	}
	encoder := json.NewEncoder(w)
	started := false
	failed := a.eachEntry(after, func(entry audit.Entry) error {
		if !started {
			w.Header().Set("Content-Type", "application/jsonl")
		}
		started = true
		return encoder.Encode(&entry)
	})
	if failed != nil && started {
		// The lines that were sent verify; the client learns by the cut
		// connection that there are more.
		panic(http.ErrAbortHandler)
	}
	if failed == nil && !started {
		w.Header().Set("Content-Type", "application/jsonl")
	}
	return failed
}

// eachEntry reads the exported entries, those just made too.
func (a *API) eachEntry(after uint64, take func(audit.Entry) error) *Error {
	if a.cfg.State == nil || a.cfg.AuditFolder == nil {
		return problem(http.StatusNotImplemented, CodeUnavailable, "this process keeps no audit log")
	}
	var gap *audit.EvictedError
	if err := a.cfg.State.ExportAudit(); err != nil && !errors.As(err, &gap) {
		return problem(http.StatusInternalServerError, CodeUnavailable, "export audit log: "+err.Error())
	}
	if err := a.cfg.AuditFolder.Read(after, take); err != nil {
		return problem(http.StatusInternalServerError, CodeUnavailable, "read audit log: "+err.Error())
	}
	return nil
}

// verdictName names a verdict on a request that crashes targets.
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
