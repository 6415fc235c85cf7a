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

// ChangeResult answers a change that has committed.
type ChangeResult struct {
	Change   ident.ChangeID
	Revision ident.Revision
	// Records are those that the change concerned, as they now stand.
	Records []RecordVersion
	// Force says how far the change has come, if the request asked to wait.
	Force *ctrl.Rollout `json:",omitempty"`
}

// RecordVersion names one version of a record.
type RecordVersion struct {
	Kind    record.Kind
	Name    string
	Version ident.Version
}

// change commits a command for an operator and answers.
func (a *API) change(w http.ResponseWriter, req *http.Request, actor Actor, command *cmdpb.Command) *Error {
	wait, failed := waitOf(req)
	if failed != nil {
		return failed
	}
	id := ident.ChangeID(req.Header.Get(HeaderChangeID))
	if id == "" {
		id = a.cfg.NewChangeID()
	}
	command.Change = string(id)
	command.Actor = actor.Name
	result, failed := a.propose(req.Context(), command)
	if failed == nil && result.GetStatus() != cmdpb.Status_STATUS_OK {
		failed = refused(result)
	}
	if failed != nil {
		failed.Change = id
		return failed
	}
	answer := accepted(id, result)
	if wait > 0 {
		ctx, cancel := context.WithTimeout(req.Context(), wait)
		defer cancel()
		force := a.cfg.Control.AwaitRollout(ctx, answer.Revision)
		answer.Force = &force
	}
	writeJSON(w, http.StatusOK, answer)
	return nil
}

// waitOf returns how long the request waits for its change to be in force.
func waitOf(req *http.Request) (time.Duration, *Error) {
	text := req.URL.Query().Get("wait")
	if text == "" {
		return 0, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil || wait <= 0 || wait > maxWait {
		return 0, problem(http.StatusBadRequest, CodeInvalid,
			fmt.Sprintf("wait=%q is not a duration above 0 and up to %s; nothing was changed", text, maxWait))
	}
	return wait, nil
}

// propose commits a command and returns its result.
func (a *API) propose(ctx context.Context, command *cmdpb.Command) (*cmdpb.Result, *Error) {
	entry, err := store.EncodeCommand(command)
	if err != nil {
		return nil, problem(http.StatusBadRequest, CodeInvalid, err.Error()+"; nothing was changed")
	}
	ctx, cancel := context.WithTimeout(ctx, commandTimeout)
	defer cancel()
	reply, err := a.cfg.Control.Command(ctx, entry)
	var notTaken *remote.RefusedError
	if errors.As(err, &notTaken) {
		return nil, problem(http.StatusServiceUnavailable, CodeNoQuorum, notTaken.Message+"; nothing was changed")
	}
	if err != nil {
		return nil, unknownOutcome(err)
	}
	result, err := store.DecodeResult(reply)
	if err != nil {
		return nil, unknownOutcome(err)
	}
	return result, nil
}

func unknownOutcome(err error) *Error {
	return problem(http.StatusGatewayTimeout, CodeOutcomeUnknown,
		"the change may have been made; resend it under the same change id to learn: "+err.Error())
}

func accepted(id ident.ChangeID, result *cmdpb.Result) *ChangeResult {
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

// timeoutOf bounds a request's context.
func timeoutOf(req *http.Request, limit time.Duration) (context.Context, context.CancelFunc) {
	return context.WithTimeout(req.Context(), limit)
}
