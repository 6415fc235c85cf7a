package admin

import (
	"context"
	"fmt"
	"net/http"

	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/raft"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// Status is the state of the fleet as one control process sees it.
type Status struct {
	// Revision is the newest that this control process has.
	Revision ident.Revision
	// Quorum says that a quorum of control has just confirmed it.
	Quorum  bool
	Control Member
	Members []Member
	// Newcomers are VMs that ask to join control.
	Newcomers []Newcomer
	// Unreachable are control processes that gave no answer.
	Unreachable []ident.VMName
	Processes   []ctrl.Process
	Targets     []Target
	Quarantine  []Quarantined
	Ledger      Ledger
	Audit       audit.Head
}

// Member is one control process.
type Member struct {
	ID      group.MemberID
	VM      ident.VMName
	Address string `json:",omitempty"`
	// State is "Leader", "Follower", "PreCandidate", "Candidate" or "Learner".
	State string
	Term  uint64 `json:",omitempty"`
	// Leader is set on the process that answers, empty while none is known.
	Leader group.MemberID `json:",omitempty"`
	// Commit and Applied are entries of the replicated log.
	Commit  uint64 `json:",omitempty"`
	Applied uint64 `json:",omitempty"`
	// Match is the last entry known to be synced there; only the leader knows.
	Match uint64 `json:",omitempty"`
	// Failure is why the process takes no more part.
	Failure string `json:",omitempty"`
}

// Newcomer is a VM that asks to join control.
type Newcomer struct {
	ID      group.MemberID
	VM      ident.VMName
	Address string
}

// Target is one target with its last reported load.
type Target struct {
	Name    ident.TargetName
	VM      ident.VMName
	Domain  ident.DomainName
	Leaving bool
	// Reporting says that the target's sidecar reported within a lease.
	Reporting bool
	Load      *ctrl.TargetLoad `json:",omitempty"`
}

// Quarantined is a request that crashes targets.
type Quarantined struct {
	// Fingerprint is in hexadecimal.
	Fingerprint string
	Verdict     string
}

// Ledger counts the keys of requests that are not repeatable.
type Ledger struct {
	Full      int
	Compacted int
}

// status answers with the state of the fleet, also without a quorum.
func (a *API) status(w http.ResponseWriter, req *http.Request, _ Actor) *Error {
	fleet := a.cfg.Control.Fleet(req.Context())
	answer := &Status{
		Members:     []Member{},
		Newcomers:   []Newcomer{},
		Unreachable: append([]ident.VMName{}, fleet.Unreachable...),
		Processes:   append([]ctrl.Process{}, fleet.Processes...),
		Quarantine:  []Quarantined{},
	}
	answer.Quorum = a.confirmed(req.Context())
	set := a.cfg.Control.Set()
	answer.Revision = set.Revision()
	answer.Targets = targetsOf(set, fleet)
	if a.cfg.Group != nil {
		answer.addGroup(a.cfg.Group.Status())
	}
	if a.cfg.State != nil {
		answer.addState(a.cfg.State)
	}
	writeJSON(w, http.StatusOK, answer)
	return nil
}

func (a *API) confirmed(ctx context.Context) bool {
	if a.cfg.Group == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, freshTimeout)
	defer cancel()
	_, err := a.cfg.Group.Barrier(ctx)
	return err == nil
}

func (s *Status) addGroup(status group.Status) {
	s.Control = Member{
		ID:      status.ID,
		VM:      status.ID.VM(),
		State:   status.Role.String(),
		Term:    status.Term,
		Leader:  status.Leader,
		Commit:  status.Commit,
		Applied: status.Applied,
	}
	if status.Failure != nil {
		s.Control.Failure = status.Failure.Error()
	}
	for _, m := range status.Members {
		member := Member{ID: m.ID, VM: m.VM, Address: m.Address, State: raft.Follower.String(), Match: m.Match}
		if m.Learner {
			member.State = "Learner"
		}
		if m.ID == status.Leader {
			member.State = raft.Leader.String()
		}
		s.Members = append(s.Members, member)
	}
	for _, m := range status.Newcomers {
		s.Newcomers = append(s.Newcomers, Newcomer{ID: m.ID, VM: m.VM, Address: m.Address})
	}
}

func (s *Status) addState(state State) {
	s.Ledger.Full, s.Ledger.Compacted = state.LedgerKeyCounts()
	s.Audit = state.AuditHead()
	verdicts, _ := state.Verdicts()
	for _, v := range verdicts {
		s.Quarantine = append(s.Quarantine, Quarantined{
			Fingerprint: fmt.Sprintf("%016x", v.GetFingerprint()),
			Verdict:     verdictName(v.GetVerdict()),
		})
	}
}

func targetsOf(set *record.Set, fleet ctrl.Fleet) []Target {
	leased := make(map[ident.TargetName]bool, len(fleet.Processes))
	for i := range fleet.Processes {
		leased[fleet.Processes[i].Target] = fleet.Processes[i].Leased
	}
	loads := make(map[ident.TargetName]*ctrl.TargetLoad, len(fleet.Loads))
	for i := range fleet.Loads {
		loads[fleet.Loads[i].Target] = &fleet.Loads[i]
	}
	targets := make([]Target, 0, len(set.Targets()))
	for _, t := range set.Targets() {
		target := Target{
			Name: t.Name, VM: t.VM, Domain: t.Domain, Leaving: set.TargetLeaving(t.Name),
			Reporting: leased[t.Name], Load: loads[t.Name],
		}
		targets = append(targets, target)
	}
	return targets
}
