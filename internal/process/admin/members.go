package admin

import (
	"errors"
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/version/exact"
)

// memberChangeTimeout includes the time that a new member needs to catch up
// with the log.
const memberChangeTimeout = 5 * time.Minute

// changeMembers changes the members of the control group.
func (a *API) changeMembers(w http.ResponseWriter, req *http.Request, actor Actor) *Error {
	var change ctrl.MemberChange
	body, err := readBody(w, req)
	if err != nil {
		return bodyError(err)
	}
	if err := exact.UnmarshalKnown(body, &change); err != nil {
		return newError(http.StatusBadRequest, CodeInvalid, "decode body: "+err.Error()+"; nothing was changed")
	}
	change.Verb = ctrl.MemberVerb(req.PathValue("verb"))
	change.Actor = actor.Name
	ctx, cancel := withRequestTimeout(req, memberChangeTimeout)
	defer cancel()
	err = a.cfg.Control.ChangeMembers(ctx, change)
	var refusal *ctrl.MemberRefusedError
	if errors.As(err, &refusal) {
		return newError(http.StatusConflict, CodeRefused, refusal.Message)
	}
	var noLeader *ctrl.NoLeaderError
	if errors.As(err, &noLeader) {
		return newError(http.StatusServiceUnavailable, CodeNoQuorum, noLeader.Message+"; nothing was changed")
	}
	if err != nil {
		return newError(http.StatusGatewayTimeout, CodeOutcomeUnknown,
			"the member change may be partly made; resend the same request to complete it: "+err.Error())
	}
	writeJSON(w, http.StatusOK, change)
	return nil
}
