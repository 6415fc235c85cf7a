package admin

import (
	"fmt"
	"net/http"
	"strconv"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Verdicts is the answer to a list request for crash verdicts.
type Verdicts struct {
	Verdicts []CrashVerdict
}

// CrashVerdict is what is held of a request, or of a part of prompts, for crashes of
// targets.
type CrashVerdict struct {
	// Fingerprint identifies the request or the part, in hexadecimal.
	Fingerprint string
	// Part is the ID of the part in hexadecimal, empty for a request, and Depth its
	// position in prompts, from 1.
	Part    string `json:",omitempty"`
	Depth   int    `json:",omitempty"`
	Verdict string
	// Expires is when a quarantine ends; after that, one request at a time may run on
	// trial.
	Expires *time.Time `json:",omitempty"`
}

func newCrashVerdict(v *wire.CrashVerdict) CrashVerdict {
	verdict := CrashVerdict{
		Fingerprint: ident.Fingerprint(v.GetFingerprint()).String(),
		Verdict:     verdictName(v.GetVerdict()),
		Depth:       int(v.GetDepth()),
	}
	if v.GetDepth() > 0 {
		verdict.Part = ident.PartID(v.GetPart()).String()
	}
	if poison.Verdict(v.GetVerdict()) == poison.VerdictQuarantined {
		expires := time.Unix(0, v.GetExpires()).UTC()
		verdict.Expires = &expires
	}
	return verdict
}

// CoreHandler returns the HTTP handler of the endpoints that show and lift crash
// verdicts, show and order evacuations, and show the limits and software versions of
// targets and the status, for processes that hold no records.
func (a *API) CoreHandler() http.Handler {
	mux := http.NewServeMux()
	a.registerCore(mux)
	return mux
}

func (a *API) registerCore(mux *http.ServeMux) {
	mux.Handle("GET /v1/limits", a.authorize(RoleMonitor, a.listLimits))
	mux.Handle("GET /v1/software", a.authorize(RoleMonitor, a.listSoftware))
	mux.Handle("GET /v1/status", a.authorize(RoleMonitor, a.status))
	mux.Handle("GET /v1/evacuations", a.authorize(RoleMonitor, a.listEvacuations))
	mux.Handle("POST /v1/evacuations/{domain}", a.authorize(RoleOperator, a.evacuate))
	mux.Handle("DELETE /v1/evacuations/{domain}", a.authorize(RoleOperator, a.readmit))
	mux.Handle("GET /v1/verdicts", a.authorize(RoleMonitor, a.listVerdicts))
	mux.Handle("DELETE /v1/verdicts/{fingerprint}", a.authorize(RoleOperator, a.liftVerdict))
}

// listVerdicts answers with all crash verdicts in force.
func (a *API) listVerdicts(w http.ResponseWriter, req *http.Request, _ Actor) *Error {
	if a.cfg.State == nil {
		return newError(http.StatusNotImplemented, CodeUnavailable, "this process has no replicated state")
	}
	if apiErr := a.awaitQuorum(req); apiErr != nil {
		return apiErr
	}
	verdicts, _ := a.cfg.State.Verdicts()
	answer := Verdicts{Verdicts: []CrashVerdict{}}
	for _, v := range verdicts {
		answer.Verdicts = append(answer.Verdicts, newCrashVerdict(v))
	}
	writeJSON(w, http.StatusOK, answer)
	return nil
}

// liftVerdict forgets all crashes that are held against a request or part.
func (a *API) liftVerdict(w http.ResponseWriter, req *http.Request, actor Actor) *Error {
	text := req.PathValue("fingerprint")
	fingerprint, err := strconv.ParseUint(text, 16, 64)
	if err != nil {
		return newError(http.StatusBadRequest, CodeInvalid, fmt.Sprintf("%q is no fingerprint in hexadecimal; nothing was changed", text))
	}
	return a.change(w, req, actor, &cmdpb.Command{Body: &cmdpb.Command_Clear{Clear: &cmdpb.ClearQuarantine{Fingerprint: fingerprint}}})
}
