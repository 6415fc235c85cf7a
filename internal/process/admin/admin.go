// Package admin implements the administration API, which uses JSON over HTTP.
// Operators use it to apply and retire records, drain targets and VMs, and
// change the members of the control group. The monitor has read access.
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
	// HeaderChangeID is the header with the id of a change. Resending a change
	// under the same id does not apply it twice.
	HeaderChangeID = "Cactusline-Change"

	// BodyLimit is the maximum size of a request body.
	BodyLimit      ident.Bytes = 16 << 20
	commandTimeout             = 10 * time.Second
	// maxWait is how long a request may wait for its change to be in force.
	maxWait = 10 * time.Minute
	// quorumTimeout is how long a read waits for a quorum.
	quorumTimeout = 2 * time.Second
)

// Control is the part of the control process that the API uses.
type Control interface {
	// Command proposes an encoded command and returns its encoded result. After
	// a *remote.RefusedError the command was not committed; after any other
	// error it may have been.
	Command(ctx context.Context, entry []byte) ([]byte, error)
	// Set returns the set of records that this process has applied.
	Set() *record.Set
	// AwaitRollout returns once a revision is in force or ctx is done.
	AwaitRollout(ctx context.Context, revision ident.Revision) ctrl.Rollout
	// Fleet returns the processes and target loads that the control processes
	// know of.
	Fleet(ctx context.Context) ctrl.Fleet
	// ChangeMembers has the leader change the members of the control group.
	ChangeMembers(ctx context.Context, change ctrl.MemberChange) error
	// Decisions returns the decision records of a request that the control
	// processes still have.
	Decisions(ctx context.Context, request ident.RequestID) ctrl.Decisions
}

// Group is the part of the replicated log that the API uses.
type Group interface {
	// Barrier returns once this process has applied every entry that was
	// committed before the call, with the index of the last of them.
	Barrier(ctx context.Context) (uint64, error)
	Status() group.Status
}

// State is the part of the replicated state that the API reads.
type State interface {
	// Verdicts returns the crash verdicts on requests, and an index that rises
	// when they change.
	Verdicts() ([]*wire.CrashVerdict, uint64)
	// LedgerKeyCounts returns how many ledger keys are held in full and how many
	// are compacted.
	LedgerKeyCounts() (full, compacted int)
	AuditHead() audit.Head
	AuditAfter(index uint64) ([]audit.Entry, error)
	// ExportAudit writes all new audit entries to the audit folder.
	ExportAudit() error
}

// AuditFolder reads the exported audit entries.
type AuditFolder interface {
	// Read calls visit for each entry above an index, oldest first.
	Read(after uint64, visit func(audit.Entry) error) error
}

// Config holds the dependencies of an API. Group, State, AuditFolder, Evacuations and
// Domains may be nil. Without an AuditFolder or State, endpoints that read the audit log answer
// CodeUnavailable; without a Group, reads are not confirmed by a quorum.
type Config struct {
	Control     Control
	Group       Group
	State       State
	AuditFolder AuditFolder
	// Evacuations carries out orders to evacuate failure domains. Domains returns those
	// that are known, nil if any name is accepted.
	Evacuations EvacuationStore
	Domains     func() map[ident.DomainName]ident.RegionName
	// Authenticator resolves bearer tokens; if it is nil, every caller is an
	// operator.
	Authenticator Authenticator
	// NewChangeID returns an id for a change that came without one.
	NewChangeID func() ident.ChangeID
}

// API serves the administration endpoints.
type API struct {
	cfg Config
}

// New returns an API with the given dependencies.
func New(cfg Config) *API { return &API{cfg: cfg} }

// Handler returns the HTTP handler of all endpoints.
func (a *API) Handler() http.Handler {
	mux := http.NewServeMux()
	read := func(pattern string, serve handler) { mux.Handle(pattern, a.authorize(RoleMonitor, serve)) }
	change := func(pattern string, serve handler) { mux.Handle(pattern, a.authorize(RoleOperator, serve)) }
	change("POST /v1/records", a.apply)
	read("GET /v1/records", a.list)
	read("GET /v1/records/{kind}/{name...}", a.get)
	change("DELETE /v1/records/{kind}/{name...}", a.retire)
	change("POST /v1/targets/{name}/drain", a.drainTarget)
	change("POST /v1/targets/{name}/undrain", a.undrainTarget)
	change("POST /v1/vms/{name}/drain", a.drainVM)
	change("POST /v1/vms/{name}/undrain", a.undrainVM)
	read("GET /v1/requests/{id}", a.explain)
	read("GET /v1/audit", a.audit)
	change("POST /v1/members/{verb}", a.changeMembers)
	a.registerCore(mux)
	read("/", a.unknownEndpoint)
	return mux
}

// unknownEndpoint answers requests for an unknown path or method.
func (a *API) unknownEndpoint(_ http.ResponseWriter, req *http.Request, _ Actor) *Error {
	return newError(http.StatusNotFound, CodeNotFound, "no endpoint "+req.Method+" "+req.URL.Path)
}

// awaitQuorum waits until a quorum has confirmed that this process has applied
// every entry that was committed before the call. The query parameter
// "stale=true" skips the wait.
func (a *API) awaitQuorum(req *http.Request) *Error {
	if a.cfg.Group == nil || req.URL.Query().Get("stale") == "true" {
		return nil
	}
	ctx, cancel := context.WithTimeout(req.Context(), quorumTimeout)
	defer cancel()
	if _, err := a.cfg.Group.Barrier(ctx); err != nil {
		return newError(http.StatusServiceUnavailable, CodeNoQuorum,
			"no quorum of control processes confirmed the newest state; use stale=true to read the state of this process: "+err.Error())
	}
	return nil
}
