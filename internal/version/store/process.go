package store

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
)

// processRetention is how long the incarnation of a process is kept after its
// last start.
const processRetention = 30 * 24 * time.Hour

// processTable holds the newest incarnation of each named process.
// Incarnations increase across all processes, so that a process whose entry
// has expired never gets an earlier incarnation again.
type processTable struct {
	byName          map[string]*cmdpb.Process
	lastIncarnation uint64
}

func newProcessTable() *processTable {
	return &processTable{byName: make(map[string]*cmdpb.Process)}
}

// expire removes the processes that have not started within processRetention.
func (p *processTable) expire(now time.Time) {
	oldestKept := now.Add(-processRetention).UnixNano()
	for name, process := range p.byName {
		if process.GetTime() < oldestKept {
			delete(p.byName, name)
		}
	}
}

// sorted returns the processes sorted by name.
func (p *processTable) sorted() []*cmdpb.Process {
	out := make([]*cmdpb.Process, 0, len(p.byName))
	for _, process := range p.byName {
		out = append(out, process)
	}
	slices.SortFunc(out, func(a, b *cmdpb.Process) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}

// registerProcess assigns an incarnation to a process that has started. A
// resent command, which has the same nonce, gets the same incarnation.
func (s *Store) registerProcess(c *cmdpb.Command, body *cmdpb.RegisterProcess) *cmdpb.Result {
	if body.GetProcess() == "" {
		return invalidResult("process must be set")
	}
	newest := s.processes.byName[body.GetProcess()]
	if newest != nil && newest.GetNonce() == body.GetNonce() {
		return &cmdpb.Result{Status: cmdpb.Status_STATUS_OK, Incarnation: newest.GetIncarnation()}
	}
	s.processes.lastIncarnation++
	s.processes.byName[body.GetProcess()] = &cmdpb.Process{
		Name: body.GetProcess(), Incarnation: s.processes.lastIncarnation, Nonce: body.GetNonce(), Time: s.now.UnixNano(),
	}
	result := &cmdpb.Result{Status: cmdpb.Status_STATUS_OK, Incarnation: s.processes.lastIncarnation}
	return s.appendAudit(result, c, audit.Event{
		Kind: audit.KindRegister, Subject: body.GetProcess(),
		Detail: fmt.Sprintf("incarnation %d", s.processes.lastIncarnation),
	})
}

// Incarnation returns the newest incarnation of a process, or 0 if the process
// is not known.
func (s *Store) Incarnation(process string) ident.Incarnation {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return ident.Incarnation(s.processes.byName[process].GetIncarnation())
}

// fenceTable holds the last fence issued for each engine. Fences increase
// across all engines.
type fenceTable struct {
	byTarget  map[ident.TargetName]ident.Fence
	lastFence ident.Fence
}

func newFenceTable() fenceTable {
	return fenceTable{byTarget: make(map[ident.TargetName]ident.Fence)}
}

// sorted returns the fences sorted by target.
func (f *fenceTable) sorted() []*cmdpb.EngineFence {
	out := make([]*cmdpb.EngineFence, 0, len(f.byTarget))
	for target, fence := range f.byTarget {
		out = append(out, &cmdpb.EngineFence{Target: string(target), Fence: uint64(fence)})
	}
	slices.SortFunc(out, func(a, b *cmdpb.EngineFence) int { return cmp.Compare(a.GetTarget(), b.GetTarget()) })
	return out
}

// sidecarPrefix, followed by the target's name, is the process name of a
// target's sidecar.
const sidecarPrefix = "sidecar/"

// issueFence issues a fence for an order to an engine: a number that increases
// with each order, so that the engine can refuse older orders. It refuses a
// sidecar whose incarnation is lower than the newest one registered for the
// target.
func (s *Store) issueFence(c *cmdpb.Command, body *cmdpb.NextFence) *cmdpb.Result {
	target := ident.TargetName(body.GetTarget())
	if _, found := s.records.Load().Target(target); !found {
		return &cmdpb.Result{Status: cmdpb.Status_STATUS_NOT_FOUND, Detail: "target is unknown"}
	}
	newest := s.processes.byName[sidecarPrefix+body.GetTarget()].GetIncarnation()
	if body.GetIncarnation() < newest {
		detail := fmt.Sprintf("incarnation %d was replaced by %d", body.GetIncarnation(), newest)
		result := &cmdpb.Result{Status: cmdpb.Status_STATUS_REFUSED, Detail: detail}
		return s.appendAudit(result, c, audit.Event{
			Kind: audit.KindRefused, Request: c.GetChange(), Subject: body.GetTarget(),
			Detail: "order " + body.GetOrder() + ": " + detail,
		})
	}
	s.fences.lastFence++
	s.fences.byTarget[target] = s.fences.lastFence
	result := &cmdpb.Result{Status: cmdpb.Status_STATUS_OK, Fence: uint64(s.fences.lastFence)}
	return s.appendAudit(result, c, audit.Event{
		Kind: audit.KindOrder, Request: c.GetChange(), Subject: body.GetTarget(),
		Detail: fmt.Sprintf("fence %d: %s", s.fences.lastFence, body.GetOrder()),
	})
}

// LastFence returns the last fence issued for an engine, or 0 if there is
// none.
func (s *Store) LastFence(target ident.TargetName) ident.Fence {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.fences.byTarget[target]
}

// handleNote records an event reported by a process in the audit chain.
func (s *Store) handleNote(c *cmdpb.Command, body *cmdpb.Note) *cmdpb.Result {
	if body.GetKind() == "" {
		return invalidResult("kind must be set")
	}
	return s.appendAudit(&cmdpb.Result{Status: cmdpb.Status_STATUS_OK}, c, audit.Event{
		Kind: audit.KindNote, Request: body.GetRequest(), Subject: body.GetSubject(),
		Detail: body.GetKind() + ": " + body.GetDetail(),
	})
}
