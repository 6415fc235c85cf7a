package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/process/ctrl"
)

// memberTimeout bounds a change of members, in which a newcomer catches up.
const memberTimeout = 5 * time.Minute

// changeMembers changes the control processes.
func (a *API) changeMembers(w http.ResponseWriter, req *http.Request, actor Actor) *Error {
	var change ctrl.MemberChange
	decoder := json.NewDecoder(http.MaxBytesReader(w, req.Body, int64(BodyLimit)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&change); err != nil {
		return problem(http.StatusBadRequest, CodeInvalid, "body: "+err.Error()+"; nothing was changed")
	}
	change.Verb = ctrl.MemberVerb(req.PathValue("verb"))
	change.Actor = actor.Name
	ctx, cancel := timeoutOf(req, memberTimeout)
	defer cancel()
	err := a.cfg.Control.ChangeMembers(ctx, change)
	var refusal *ctrl.MemberRefusedError
	if errors.As(err, &refusal) {
		return problem(http.StatusConflict, CodeRefused, refusal.Message)
	}
	if err != nil {
		return problem(http.StatusGatewayTimeout, CodeOutcomeUnknown,
			"the change of members may have been made in part; ask again with the same body to go on: "+err.Error())
	}
	writeJSON(w, http.StatusOK, change)
	return nil
}
