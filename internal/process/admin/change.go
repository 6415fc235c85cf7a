package admin

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/internal/version/store"
)

// ChangeResult is the answer to a change that has committed.
type ChangeResult struct {
	Change   ident.ChangeID
	Revision ident.Revision
	// Records are the versions of the affected records after the change.
	Records []RecordVersion
	// Force is the progress of the rollout, if the request asked to wait for it.
	Force *ctrl.Rollout `json:",omitempty"`
}

// RecordVersion identifies one version of a record.
type RecordVersion struct {
	Kind    record.Kind
	Name    string
	Version ident.Version
}

// change commits a command for an operator and writes the answer.
func (a *API) change(w http.ResponseWriter, req *http.Request, actor Actor, command *cmdpb.Command) *Error {
	wait, apiErr := parseWait(req)
	if apiErr != nil {
		return apiErr
	}
	id := ident.ChangeID(req.Header.Get(HeaderChangeID))
	if id == "" {
		id = a.cfg.NewChangeID()
	}
	command.Change = string(id)
	command.Actor = actor.Name
	result, apiErr := a.propose(req.Context(), command)
	if apiErr == nil && result.GetStatus() != cmdpb.Status_STATUS_OK {
		apiErr = rejectionError(result)
	}
	if apiErr != nil {
		apiErr.Change = id
		return apiErr
	}
	answer := newChangeResult(id, result)
	if wait > 0 {
		ctx, cancel := context.WithTimeout(req.Context(), wait)
		defer cancel()
		force := a.cfg.Control.AwaitRollout(ctx, answer.Revision)
		answer.Force = &force
	}
	writeJSON(w, http.StatusOK, answer)
	return nil
}

// parseWait returns how long the request asks to wait for its change to be in
// force, 0 for no wait.
func parseWait(req *http.Request) (time.Duration, *Error) {
	text := req.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait <= 0 || wait > maxWait {
		return 0, newError(http.StatusBadRequest, CodeInvalid,
			fmt.Sprintf("wait=%q is not a positive duration of at most %s; nothing was changed", text, maxWait))
	}
	return wait, nil
}

// propose commits a command and returns its result.
func (a *API) propose(ctx context.Context, command *cmdpb.Command) (*cmdpb.Result, *Error) {
	entry, err := store.EncodeCommand(command)
	if err != nil {
		return nil, newError(http.StatusBadRequest, CodeInvalid, err.Error()+"; nothing was changed")
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	reply, err := a.cfg.Control.Command(ctx, entry)
	var refused *remote.RefusedError
	if errors.As(err, &refused) {
		return nil, newError(http.StatusServiceUnavailable, CodeNoQuorum, refused.Message+"; nothing was changed")
	}
	if err != nil {
		return nil, outcomeUnknownError(err)
	}
	result, err := store.DecodeResult(reply)
	if err != nil {
		return nil, outcomeUnknownError(err)
	}
	return result, nil
}

func outcomeUnknownError(err error) *Error {
	return newError(http.StatusGatewayTimeout, CodeOutcomeUnknown,
		"the change may have been committed; resend it under the same change id to find out: "+err.Error())
}

func newChangeResult(id ident.ChangeID, result *cmdpb.Result) *ChangeResult {
	answer := &ChangeResult{Change: id, Revision: ident.Revision(result.GetRevision()), Records: []RecordVersion{}}
	for _, r := range result.GetCommitted() {
		answer.Records = append(answer.Records, RecordVersion{
			Kind:    record.Kind(r.GetKind()),
			Name:    r.GetName(),
			Version: ident.Version(r.GetVersion()),
		})
	}
	return answer
}

// withRequestTimeout returns the request's context with a timeout.
func withRequestTimeout(req *http.Request, timeout time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(req.Context(), timeout)
}
