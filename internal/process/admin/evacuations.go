package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/store"
)

// orderTimeout bounds how long an order is tried. It is less than the client waits.
const orderTimeout = 5 * time.Second

// EvacuationStore stores which failure domains are evacuated.
type EvacuationStore interface {
	// Evacuate carries out an order, and succeeds without a change if the domain is in
	// the ordered state.
	Evacuate(ctx context.Context, order ctrl.Order) error
	// Evacuations returns the domains for which there was an order, as a quorum
	// has confirmed them.
	Evacuations(ctx context.Context) ([]store.Evacuation, error)
}

// Evacuations is the answer to a list request for evacuations.
type Evacuations struct {
	// Evacuations has the domains for which there was an order, sorted by name.
	Evacuations []ctrl.DomainEvacuation
	// Unreachable are the VMs of control processes that did not answer. The requests in
	// flight that their watchers have are missing.
	Unreachable []ident.VMName `json:",omitempty"`
}

// listEvacuations answers with the failure domains for which there was an order.
func (a *API) listEvacuations(w http.ResponseWriter, req *http.Request, _ Actor) *Error {
	if apiErr := a.awaitQuorum(req); apiErr != nil {
		return apiErr
	}
	fleet := a.cfg.Control.Fleet(req.Context())
	writeJSON(w, http.StatusOK, &Evacuations{
		Evacuations: append([]ctrl.DomainEvacuation{}, fleet.Evacuations...), Unreachable: fleet.Unreachable,
	})
	return nil
}

// evacuate begins the evacuation of a domain.
func (a *API) evacuate(w http.ResponseWriter, req *http.Request, actor Actor) *Error {
	return a.orderEvacuation(w, req, ctrl.Order{Domain: ident.DomainName(req.PathValue("domain")), Active: true, Actor: actor.Name})
}

// readmit ends the evacuation of a domain.
func (a *API) readmit(w http.ResponseWriter, req *http.Request, actor Actor) *Error {
	return a.orderEvacuation(w, req, ctrl.Order{Domain: ident.DomainName(req.PathValue("domain")), Actor: actor.Name})
}

// orderEvacuation carries out an order and answers with the state of its domain.
func (a *API) orderEvacuation(w http.ResponseWriter, req *http.Request, order ctrl.Order) *Error {
	if a.cfg.Evacuations == nil {
		return newError(http.StatusNotImplemented, CodeUnavailable, "this process has no evacuations")
	}
	ctx, cancel := withRequestTimeout(req, orderTimeout)
	defer cancel()
	list, err := a.cfg.Evacuations.Evacuations(ctx)
	if err == nil {
		if store.FindEvacuation(list, order.Domain).Version == 0 && !a.knowsDomain(order.Domain) {
			return newError(http.StatusNotFound, CodeNotFound, fmt.Sprintf("no failure domain %q; nothing was changed", order.Domain))
		}
		err = a.cfg.Evacuations.Evacuate(ctx, order)
	}
	var invalid *ctrl.InvalidOrderError
	var unavailable *ctrl.UnavailableError
	switch {
	case errors.As(err, &invalid):
		return newError(http.StatusBadRequest, CodeInvalid, invalid.Message+"; nothing was changed")
	case errors.As(err, &unavailable) && !unavailable.Unknown:
		return newError(http.StatusServiceUnavailable, CodeNoQuorum, unavailable.Message+"; nothing was changed")
	case err != nil:
		return newError(http.StatusGatewayTimeout, CodeOutcomeUnknown, "the order may have been committed; it is safe to send it again: "+err.Error())
	}
	return a.listEvacuations(w, req, Actor{})
}

// knowsDomain reports whether a failure domain is known, or any name is accepted.
func (a *API) knowsDomain(domain ident.DomainName) bool {
	if a.cfg.Domains == nil {
		return true
	}
	domains := a.cfg.Domains()
	_, known := domains[domain]
	return known || domains == nil
}
