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

// processKept is how long the incarnation of a process is remembered.
const processKept = 30 * 24 * time.Hour

// processes holds the newest incarnation of each named process. Incarnations
// rise over all processes, so that one that was forgotten is not given again.
type processes struct {
	byName map[string]*cmdpb.Process
	last   uint64
}

func newProcesses() *processes {
	return &processes{byName: make(map[string]*cmdpb.Process)}
}

// expire forgets processes that have not started for long.
func (p *processes) expire(now time.Time) {
	limit := now.Add(-processKept).UnixNano()
	for name, process := range p.byName {
		if process.GetTime() < limit {
			delete(p.byName, name)
		}
	}
}

// sorted returns the processes sorted by name.
func (p *processes) sorted() []*cmdpb.Process {
	out := make([]*cmdpb.Process, 0, len(p.byName))
	for _, process := range p.byName {
		out = append(out, process)
	}
	slices.SortFunc(out, func(a, b *cmdpb.Process) int { return cmp.Compare(a.GetName(), b.GetName()) })
	return out
}

// register gives a process that starts its incarnation.
func (s *Store) register(c *cmdpb.Command, body *cmdpb.RegisterProcess) *cmdpb.Result {
	if body.GetProcess() == "" {
		return invalid("process must be set")
	}
	known := s.processes.byName[body.GetProcess()]
	if known != nil && known.GetNonce() == body.GetNonce() {
		return &cmdpb.Result{Status: cmdpb.Status_STATUS_OK, Incarnation: known.GetIncarnation()}
	}
	s.processes.last++
	s.processes.byName[body.GetProcess()] = &cmdpb.Process{
		Name: body.GetProcess(), Incarnation: s.processes.last, Nonce: body.GetNonce(), Time: s.now.UnixNano(),
	}
	result := &cmdpb.Result{Status: cmdpb.Status_STATUS_OK, Incarnation: s.processes.last}
	return s.record(result, c, audit.Event{
		Kind: audit.KindRegister, Subject: body.GetProcess(),
		Detail: fmt.Sprintf("incarnation %d", s.processes.last),
	})
}

// Incarnation returns the newest incarnation of a process, 0 if none is
// known.
func (s *Store) Incarnation(process string) ident.Incarnation {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return ident.Incarnation(s.processes.byName[process].GetIncarnation())
}

// fences holds the last fence given out for each engine. Fences rise over all
// engines.
type fences struct {
	byTarget map[ident.TargetName]ident.Fence
	last     ident.Fence
}

func newFences() fences {
	return fences{byTarget: make(map[ident.TargetName]ident.Fence)}
}

// sorted returns the fences sorted by target.
func (f *fences) sorted() []*cmdpb.EngineFence {
	out := make([]*cmdpb.EngineFence, 0, len(f.byTarget))
	for target, fence := range f.byTarget {
		out = append(out, &cmdpb.EngineFence{Target: string(target), Fence: uint64(fence)})
	}
	slices.SortFunc(out, func(a, b *cmdpb.EngineFence) int { return cmp.Compare(a.GetTarget(), b.GetTarget()) })
	return out
}

// sidecarProcess precedes the target's name in the name of its sidecar.
const sidecarProcess = "sidecar/"

// nextFence gives out the fence of an order to an engine, to its newest
// sidecar only.
func (s *Store) nextFence(c *cmdpb.Command, body *cmdpb.NextFence) *cmdpb.Result {
	target := ident.TargetName(body.GetTarget())
	if _, found := s.set.Load().Target(target); !found {
		return &cmdpb.Result{Status: cmdpb.Status_STATUS_NOT_FOUND, Detail: "target is unknown"}
	}
	newest := s.processes.byName[sidecarProcess+body.GetTarget()].GetIncarnation()
	if body.GetIncarnation() < newest {
		detail := fmt.Sprintf("incarnation %d was replaced by %d", body.GetIncarnation(), newest)
		result := &cmdpb.Result{Status: cmdpb.Status_STATUS_REFUSED, Detail: detail}
		return s.record(result, c, audit.Event{
			Kind: audit.KindRefused, Request: c.GetChange(), Subject: body.GetTarget(),
			Detail: "order " + body.GetOrder() + ": " + detail,
		})
	}
	s.fences.last++
	s.fences.byTarget[target] = s.fences.last
	result := &cmdpb.Result{Status: cmdpb.Status_STATUS_OK, Fence: uint64(s.fences.last)}
	return s.record(result, c, audit.Event{
		Kind: audit.KindOrder, Request: c.GetChange(), Subject: body.GetTarget(),
		Detail: fmt.Sprintf("fence %d: %s", s.fences.last, body.GetOrder()),
	})
}

// LastFence returns the last fence given out for an engine, 0 if none was.
func (s *Store) LastFence(target ident.TargetName) ident.Fence {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.fences.byTarget[target]
}

// note records an event that a process tells of.
func (s *Store) note(c *cmdpb.Command, body *cmdpb.Note) *cmdpb.Result {
	if body.GetKind() == "" {
		return invalid("kind must be set")
	}
	return s.record(&cmdpb.Result{Status: cmdpb.Status_STATUS_OK}, c, audit.Event{
		Kind: audit.KindNote, Request: body.GetRequest(), Subject: body.GetSubject(),
		Detail: body.GetKind() + ": " + body.GetDetail(),
	})
}
