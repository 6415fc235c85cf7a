// Package admin is the administration API: operators submit, amend and retire
// records, plan departures and change the members of control over HTTP with
// JSON, and the monitor reads what the fleet did.
package admin

import (
	"context"
	"net/http"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

const (
	// HeaderChangeID carries the id of a change, under which it may be resent.
	HeaderChangeID = "Cactusline-Change"

	// BodyLimit bounds the body of a request.
	BodyLimit      ident.Bytes = 16 << 20
	commandTimeout             = 10 * time.Second
	// maxWait bounds how long a change waits to be in force.
	maxWait = 10 * time.Minute
	// freshTimeout bounds the wait for a quorum before a read.
	freshTimeout = 2 * time.Second
)

// Control is what the API needs of the control process.
type Control interface {
	// Command proposes an encoded command and returns its encoded result. A
	// *remote.RefusedError means that it was not committed, any other error
	// that it may have been.
	Command(ctx context.Context, entry []byte) ([]byte, error)
	// Set returns the records that this process has.
	Set() *record.Set
	// AwaitRollout returns once a revision is in force or ctx ends.
	AwaitRollout(ctx context.Context, revision ident.Revision) ctrl.Rollout
	// Fleet returns what the control processes know of the others.
	Fleet(ctx context.Context) ctrl.Fleet
	// ChangeMembers changes the control processes, at their leader.
	ChangeMembers(ctx context.Context, change ctrl.MemberChange) error
	// Decisions returns what the control processes keep of how a request was
	// decided, each as JSON.
	Decisions(ctx context.Context, request ident.RequestID) ctrl.Decisions
}

// Group is what the API needs of the replicated log.
type Group interface {
	// Barrier returns once this process has applied all that was committed
	// before the call.
	Barrier(ctx context.Context) (uint64, error)
	Status() group.Status
}

// State is what the API reads of the replicated state.
type State interface {
	// Verdicts returns the requests that crash targets.
	Verdicts() ([]*wire.CrashVerdict, uint64)
	// LedgerKeyCounts returns the numbers of keys held in full and compacted.
	LedgerKeyCounts() (full, compacted int)
	AuditHead() audit.Head
	AuditAfter(index uint64) ([]audit.Entry, error)
	// ExportAudit hands all new audit entries to the folder.
	ExportAudit() error
}

// AuditFolder holds the exported audit entries.
type AuditFolder interface {
	// Read hands each entry above an index to take, oldest first.
	Read(after uint64, take func(audit.Entry) error) error
}

// Config makes an API. Group, State and Folder may be nil; what needs them
// then answers that it is not available.
type Config struct {
	Control     Control
	Group       Group
	State       State
	AuditFolder AuditFolder
	// Authenticator tells whose bearer token a request carries; nil lets everyone in
	// as an operator.
	Authenticator Authenticator
	// NewChangeID draws the id of a change that came without one.
	NewChangeID func() ident.ChangeID
}

// API serves operators and the monitor.
type API struct {
	cfg Config
}

// New returns an API.
func New(cfg Config) *API { return &API{cfg: cfg} }

// Handler returns the operators' interface.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	read := func(pattern string, serve handler) { mux.Handle(pattern, a.guard(RoleMonitor, serve)) }
	change := func(pattern string, serve handler) { mux.Handle(pattern, a.guard(RoleOperator, serve)) }
	change("POST /v1/records", a.apply)
	read("GET /v1/records", a.list)
	read("GET /v1/records/{kind}/{name...}", a.get)
	change("DELETE /v1/records/{kind}/{name...}", a.retire)
	change("POST /v1/targets/{name}/drain", a.drainTarget)
	change("POST /v1/targets/{name}/undrain", a.undrainTarget)
	change("POST /v1/vms/{name}/drain", a.drainVM)
	change("POST /v1/vms/{name}/undrain", a.undrainVM)
	read("GET /v1/status", a.status)
	read("GET /v1/requests/{id}", a.explain)
	read("GET /v1/audit", a.audit)
	change("POST /v1/members/{verb}", a.changeMembers)
	read("/", a.unknown)
	return mux
}

// unknown answers a path or method that the API does not have.
func (a *API) unknown(_ http.ResponseWriter, req *http.Request, _ Actor) *Error {
	return problem(http.StatusNotFound, CodeNotFound, "there is no "+req.Method+" "+req.URL.Path)
}

// fresh waits until a quorum has confirmed that this process has all that was
// committed before the call. The query "stale=true" skips that.
func (a *API) fresh(req *http.Request) *Error {
	if a.cfg.Group == nil || req.URL.Query().Get("stale") == "true" {
		return nil
	}
	ctx, cancel := context.WithTimeout(req.Context(), freshTimeout)
	defer cancel()
	if _, err := a.cfg.Group.Barrier(ctx); err != nil {
		return problem(http.StatusServiceUnavailable, CodeNoQuorum,
			"no quorum of the control processes confirms the newest state; ask with stale=true for what this one has: "+err.Error())
	}
	return nil
}
