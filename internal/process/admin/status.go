package admin

import (
	"context"
	"net/http"

	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/raft"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// Status is the state of the fleet as seen by one control process.
type Status struct {
	// Revision is the newest revision that this control process has applied.
	Revision ident.Revision
	// Quorum says whether a quorum has just confirmed that Revision is the newest.
	Quorum bool
	// Control is the control process that answers.
	Control Member
	Members []Member
	// Newcomers are the processes that ask to join the control group.
	Newcomers []Newcomer
	// Unreachable are the VMs of control processes that did not answer.
	Unreachable []ident.VMName
	Processes   []ctrl.Process
	Targets     []Target
	Quarantine  []CrashVerdict
	// Evacuations are the failure domains for which there was an order.
	Evacuations []ctrl.DomainEvacuation
	// Limits are the rates that targets accept, and Software the software versions that
	// services run, both on the platform only.
	Limits   []ctrl.TargetLimit
	Software []ctrl.ServiceSoftware
	Ledger   Ledger
	Audit    audit.Head
}

// Member is the state of one control process.
type Member struct {
	ID      group.MemberID
	VM      ident.VMName
	Address string `json:",omitempty"`
	// State is "Leader", "Follower", "PreCandidate", "Candidate" or "Learner".
	State string
	Term  uint64 `json:",omitempty"`
	// Leader is the known leader, set only for the process that answers.
	Leader group.MemberID `json:",omitempty"`
	// Commit and Applied are the indices of the last committed and the last
	// applied entry of the replicated log, set only for the process that answers.
	Commit  uint64 `json:",omitempty"`
	Applied uint64 `json:",omitempty"`
	// Match is the index of the last log entry known to be synced by the member;
	// only the leader knows it.
	Match uint64 `json:",omitempty"`
	// DiskLost is set if the disk of the member is known to be lost.
	DiskLost bool `json:",omitempty"`
	// Leaving is set if the newest member list does not hold the member, but it still
	// votes because that list has not committed as far as the answering process knows.
	Leaving bool `json:",omitempty"`
	// Failure is the error after which the process stopped taking part in the
	// group.
	Failure string `json:",omitempty"`
}

// Newcomer is a process that asks to join the control group.
type Newcomer struct {
	ID      group.MemberID
	VM      ident.VMName
	Address string
}

// Target is the state of a target with its last reported load.
type Target struct {
	Name    ident.TargetName
	VM      ident.VMName
	Domain  ident.DomainName
	Leaving bool
	// Reporting says whether the target's sidecar reported within the last lease
	// duration.
	Reporting bool
	Load      *ctrl.TargetLoad `json:",omitempty"`
}

// Ledger has the numbers of ledger keys, which are those of requests that are
// not repeatable.
type Ledger struct {
	Full      int
	Compacted int
}

// status answers with the state of the fleet. It does not need a quorum.
func (a *API) status(w http.ResponseWriter, req *http.Request, _ Actor) *Error {
	fleet := a.cfg.Control.Fleet(req.Context())
	answer := &Status{
		Members:     []Member{},
		Newcomers:   []Newcomer{},
		Unreachable: append([]ident.VMName{}, fleet.Unreachable...),
		Processes:   append([]ctrl.Process{}, fleet.Processes...),
		Quarantine:  []CrashVerdict{},
		Evacuations: append([]ctrl.DomainEvacuation{}, fleet.Evacuations...),
		Limits:      append([]ctrl.TargetLimit{}, fleet.Limits...),
		Software:    append([]ctrl.ServiceSoftware{}, fleet.Software...),
	}
	answer.Quorum = a.quorumConfirms(req.Context())
	set := a.cfg.Control.Set()
	answer.Revision = set.Revision()
	answer.Targets = targetStates(set, fleet)
	if a.cfg.Group != nil {
		answer.addGroup(a.cfg.Group.Status())
	}
	if a.cfg.State != nil {
		answer.addState(a.cfg.State)
	}
	writeJSON(w, http.StatusOK, answer)
	return nil
}

// quorumConfirms reports whether a quorum confirms that this process has applied
// every committed entry.
func (a *API) quorumConfirms(ctx context.Context) bool {
	if a.cfg.Group == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, quorumTimeout)
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
		s.Members = append(s.Members, newMember(m, status.Leader))
	}
	for _, m := range status.Leaving {
		member := newMember(m, status.Leader)
		member.Leaving = true
		s.Members = append(s.Members, member)
	}
	for _, m := range status.Newcomers {
		s.Newcomers = append(s.Newcomers, Newcomer{ID: m.ID, VM: m.VM, Address: m.Address})
	}
}

func newMember(m group.MemberStatus, leader group.MemberID) Member {
	member := Member{ID: m.ID, VM: m.VM, Address: m.Address, State: raft.Follower.String(), Match: m.Match, DiskLost: m.DiskLost}
	if m.Learner {
		member.State = "Learner"
	}
	if m.ID == leader {
		member.State = raft.Leader.String()
	}
	return member
}

func (s *Status) addState(state State) {
	s.Ledger.Full, s.Ledger.Compacted = state.LedgerKeyCounts()
	s.Audit = state.AuditHead()
	verdicts, _ := state.Verdicts()
	for _, v := range verdicts {
		s.Quarantine = append(s.Quarantine, newCrashVerdict(v))
	}
}

func targetStates(set *record.Set, fleet ctrl.Fleet) []Target {
	reporting := make(map[ident.TargetName]bool, len(fleet.Processes))
	for i := range fleet.Processes {
		reporting[fleet.Processes[i].Target] = fleet.Processes[i].Leased
	}
	loads := make(map[ident.TargetName]*ctrl.TargetLoad, len(fleet.Loads))
	for i := range fleet.Loads {
		loads[fleet.Loads[i].Target] = &fleet.Loads[i]
	}
	targets := make([]Target, 0, len(set.Targets()))
	for _, t := range set.Targets() {
		target := Target{
			Name: t.Name, VM: t.VM, Domain: t.Domain, Leaving: set.TargetLeaving(t.Name),
			Reporting: reporting[t.Name], Load: loads[t.Name],
		}
		targets = append(targets, target)
	}
	return targets
}
