package admin

import (
	"net/http"

	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Software is the answer to a list request for the software versions of targets.
type Software struct {
	// Software is sorted by service and version.
	Software []ctrl.ServiceSoftware
	// Unreachable are the VMs of control processes that did not answer. Without the
	// leader, the list is empty.
	Unreachable []ident.VMName `json:",omitempty"`
}

// listSoftware answers with the software versions that services run.
func (a *API) listSoftware(w http.ResponseWriter, req *http.Request, _ Actor) *Error {
	fleet := a.cfg.Control.Fleet(req.Context())
	writeJSON(w, http.StatusOK, &Software{
		Software: append([]ctrl.ServiceSoftware{}, fleet.Software...), Unreachable: fleet.Unreachable,
	})
	return nil
}
