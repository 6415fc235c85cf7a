package admin

import (
	"net/http"

	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Limits is the answer to a list request for the rates that targets accept.
type Limits struct {
	// Limits are sorted by target.
	Limits []ctrl.TargetLimit
	// Unreachable are the VMs of control processes that did not answer. Without the
	// leader, the list is empty.
	Unreachable []ident.VMName `json:",omitempty"`
}

// listLimits answers with the rates that targets accept, and their use.
func (a *API) listLimits(w http.ResponseWriter, req *http.Request, _ Actor) *Error {
	fleet := a.cfg.Control.Fleet(req.Context())
	writeJSON(w, http.StatusOK, &Limits{
		Limits: append([]ctrl.TargetLimit{}, fleet.Limits...), Unreachable: fleet.Unreachable,
	})
	return nil
}
