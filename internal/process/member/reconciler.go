package member

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// reconcileInterval is the time between two checks of the members by the
	// leader.
	reconcileInterval = 100 * time.Millisecond
	// changeTimeout limits the duration of one membership change.
	changeTimeout = 3 * time.Second
	// replaceAfter is how long a voter must be silent before it is replaced by a
	// new member. It is longer than the restart of a process.
	replaceAfter = 1500 * time.Millisecond
	// holdPromotionAfter is how long a voter must be silent before promotions of
	// learners are held back; it is a few heartbeats. A promotion may raise the
	// quorum. With one voter down, the quorum may then need all other voters.
	holdPromotionAfter = 300 * time.Millisecond
	// leaderlessLogInterval is the time without a leader until this is logged, and between
	// two log lines about it.
	leaderlessLogInterval = 5 * time.Second
	// removeAfter is how long a voter must be silent before it is removed without
	// a replacement, if enough voters are left.
	removeAfter = 2500 * time.Millisecond
	// maxVoters is the maximum number of voters.
	maxVoters = 7
)

// Membership reads and changes the members of the replicated log. *group.Group
// implements it.
type Membership interface {
	Status() group.Status
	AddLearner(ctx context.Context, member group.Member) error
	Promote(ctx context.Context, member group.Member) error
	Remove(ctx context.Context, member group.Member) error
	Replace(ctx context.Context, old group.MemberID, newMember group.Member) error
}

// ReconcilerConfig configures a Reconciler.
type ReconcilerConfig struct {
	Membership Membership
	// Live returns the control processes that announced themselves recently.
	Live func() []Process
	// UpdatePeers sets the processes that the transport of the log can reach.
	UpdatePeers func([]group.Member)
	// Known returns all known control processes.
	Known func() []Process
	// MinVoters is the number of voters below which no voter is removed without a
	// replacement.
	MinVoters int
	Clock     Clock
	Logger    log.Logger
}

// Reconciler adapts the members of the log to the live processes while this
// process is the leader.
type Reconciler struct {
	cfg ReconcilerConfig
	// leaderlessSince is when this process last knew a leader or logged that there is none.
	leaderlessSince time.Time
}

// NewReconciler returns a Reconciler. Run starts it.
func NewReconciler(cfg ReconcilerConfig) *Reconciler {
	return &Reconciler{cfg: cfg, leaderlessSince: cfg.Clock.Now()}
}

// Run reconciles the members until ctx is done.
func (r *Reconciler) Run(ctx context.Context) {
	for r.cfg.Clock.Sleep(ctx, reconcileInterval) == nil {
		status := r.cfg.Membership.Status()
		r.cfg.UpdatePeers(r.transportPeers(status))
		r.logLeaderless(&status)
		if status.Leader != status.ID {
			continue
		}
		change := Plan(r.cfg.Clock.Now(), status, r.cfg.Live(), r.cfg.MinVoters)
		if change.Kind != NoChange {
			r.applyChange(ctx, change)
		}
	}
}

// logLeaderless logs at intervals that the group has no leader, with the voters that a
// quorum is made of, those of them that are out of contact and those whose disks are lost.
func (r *Reconciler) logLeaderless(status *group.Status) {
	now := r.cfg.Clock.Now()
	if status.Leader != "" || len(status.Members) == 0 {
		r.leaderlessSince = now
		return
	}
	if now.Sub(r.leaderlessSince) < leaderlessLogInterval {
		return
	}
	r.leaderlessSince = now
	live := r.cfg.Live()
	var voters, silent, lost, leaving []group.MemberID
	for i, member := range slices.Concat(status.Members, status.Leaving) {
		if member.Learner {
			continue
		}
		voters = append(voters, member.ID)
		if i >= len(status.Members) {
			leaving = append(leaving, member.ID)
		}
		switch {
		case member.DiskLost:
			lost = append(lost, member.ID)
		case !slices.ContainsFunc(live, func(p Process) bool { return p.ID == member.ID }):
			silent = append(silent, member.ID)
		}
	}
	_ = level.Warn(r.cfg.Logger).Log(
		"msg", "no leader, so nothing can be changed or confirmed", "voters", fmt.Sprint(voters),
		"silent", fmt.Sprint(silent), "diskLost", fmt.Sprint(lost), "leaving", fmt.Sprint(leaving),
	)
}

// transportPeers returns the members, those that are leaving, and all other known
// processes with a data folder.
func (r *Reconciler) transportPeers(status group.Status) []group.Member {
	var list []group.Member
	seen := make(map[ident.VMName]bool)
	for _, member := range slices.Concat(status.Members, status.Leaving) {
		if !seen[member.VM] {
			list = append(list, member.Member)
			seen[member.VM] = true
		}
	}
	for _, process := range r.cfg.Known() {
		if process.ID != "" && !seen[process.VM] {
			list = append(list, group.Member{ID: process.ID, VM: process.VM, Address: process.Address})
		}
	}
	return list
}

// applyChange makes a change and logs its outcome.
func (r *Reconciler) applyChange(ctx context.Context, change Change) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	started := r.cfg.Clock.Now()
	err := r.changeMembership(ctx, change)
	_ = level.Info(r.cfg.Logger).Log(
		"msg", "membership change finished", "change", change.Kind, "old", change.Old, "new", change.New.ID,
		"address", change.New.Address, "silent", change.SilentFor, "took", r.cfg.Clock.Now().Sub(started), "err", err,
	)
}

func (r *Reconciler) changeMembership(ctx context.Context, change Change) error {
	r.cfg.UpdatePeers(append(r.transportPeers(r.cfg.Membership.Status()), change.New))
	switch change.Kind {
	case AddLearner:
		return r.cfg.Membership.AddLearner(ctx, change.New)
	case Promote:
		return r.cfg.Membership.Promote(ctx, change.New)
	case Replace:
		return r.cfg.Membership.Replace(ctx, change.Old, change.New)
	case Remove:
		return r.cfg.Membership.Remove(ctx, group.Member{ID: change.Old})
	}
	return nil
}

// ChangeKind is the kind of a membership change.
type ChangeKind string

// The kinds of membership changes.
const (
	NoChange   ChangeKind = ""
	AddLearner ChangeKind = "Add"
	Promote    ChangeKind = "Promote"
	Replace    ChangeKind = "Replace"
	Remove     ChangeKind = "Remove"
)

// Change is a membership change. Old is the member to replace or remove, New the
// one to add or promote.
type Change struct {
	Kind ChangeKind
	Old  group.MemberID
	New  group.Member
	// SilentFor is the time since the last contact with Old.
	SilentFor time.Duration
}

// Plan returns the membership change that the leader makes next. Its Kind is
// NoChange if there is nothing to do.
func Plan(now time.Time, status group.Status, live []Process, minVoters int) Change {
	p := planner{now: now, status: status, live: live, minVoters: minVoters}
	for _, step := range []func() Change{p.planWipedReplacement, p.planLearner, p.planAdd, p.planRemove} {
		if change := step(); change.Kind != NoChange {
			return change
		}
	}
	return Change{}
}

// planner decides on the next membership change. Its methods return a change of
// kind NoChange if there is nothing to do.
type planner struct {
	now       time.Time
	status    group.Status
	live      []Process
	minVoters int
}

// planWipedReplacement plans to replace another member whose VM or address now
// belongs to a process with a different data folder. That process may be a member
// already, if an earlier replacement did not finish.
func (p *planner) planWipedReplacement() Change {
	for _, process := range p.live {
		if own := p.findMember(process.ID); process.ID == "" || own != nil && own.DiskLost {
			continue
		}
		for _, member := range p.status.Members {
			if member.ID != p.status.ID && member.ID != process.ID && (member.VM == process.VM || member.Address == process.Address) {
				return Change{Kind: Replace, Old: member.ID, New: process.groupMember(), SilentFor: p.silentFor(member)}
			}
		}
	}
	return Change{}
}

// planLearner plans the change for the first learner: it replaces an older member
// of its VM or a silent voter, is promoted, or is removed if it is silent or lost
// itself.
func (p *planner) planLearner() Change {
	for _, member := range p.status.Members {
		if !member.Learner {
			continue
		}
		if old := p.olderMember(member); old != nil && !member.DiskLost {
			return Change{Kind: Replace, Old: old.ID, New: member.Member, SilentFor: p.silentFor(*old)}
		}
		if member.DiskLost {
			return Change{Kind: Remove, Old: member.ID, SilentFor: p.silentFor(member)}
		}
		if p.isLive(member.ID) || p.silentFor(member) < replaceAfter {
			return p.planReplaceOr(member.Member, Promote)
		}
		return Change{Kind: Remove, Old: member.ID, SilentFor: p.silentFor(member)}
	}
	return Change{}
}

// olderMember returns another member on the VM of a learner. A learner is the newer
// one, because it was added when the other was a member already.
func (p *planner) olderMember(learner group.MemberStatus) *group.MemberStatus {
	i := slices.IndexFunc(p.status.Members, func(m group.MemberStatus) bool {
		return m.VM == learner.VM && m.ID != learner.ID && m.ID != p.status.ID && !m.Learner
	})
	if i < 0 {
		return nil
	}
	return &p.status.Members[i]
}

// planAdd plans to add a live process that is not a member.
func (p *planner) planAdd() Change {
	for _, process := range p.live {
		if process.ID != "" && p.findMember(process.ID) == nil {
			return p.planReplaceOr(process.groupMember(), AddLearner)
		}
	}
	return Change{}
}

// planReplaceOr plans to replace a silent voter with newMember. If there is none,
// it returns a change of kind fallback, or no change if there are maxVoters already
// or a promotion must be held back.
func (p *planner) planReplaceOr(newMember group.Member, fallback ChangeKind) Change {
	old, silent := p.longestSilentVoter()
	if silent > replaceAfter {
		return Change{Kind: Replace, Old: old, New: newMember, SilentFor: silent}
	}
	if p.voterCount() >= maxVoters || fallback == Promote && silent > holdPromotionAfter {
		return Change{}
	}
	return Change{Kind: fallback, New: newMember}
}

// planRemove plans to remove a voter that has been silent for removeAfter, if at
// least minVoters are left.
func (p *planner) planRemove() Change {
	if old, silent := p.longestSilentVoter(); silent > removeAfter && p.voterCount() > p.minVoters {
		return Change{Kind: Remove, Old: old, SilentFor: silent}
	}
	return Change{}
}

// longestSilentVoter returns the voter that has been silent for the longest time.
func (p *planner) longestSilentVoter() (id group.MemberID, silent time.Duration) {
	for _, member := range p.status.Members {
		if silence := p.silentFor(member); !member.Learner && silence > silent {
			id, silent = member.ID, silence
		}
	}
	return id, silent
}

// silentFor returns the time since the last contact with a member, and zero for
// this process or if there was none.
func (p *planner) silentFor(member group.MemberStatus) time.Duration {
	if member.ID == p.status.ID || member.LastContact.IsZero() {
		return 0
	}
	return p.now.Sub(member.LastContact)
}

func (p *planner) voterCount() int {
	count := 0
	for _, member := range p.status.Members {
		if !member.Learner {
			count++
		}
	}
	return count
}

func (p *planner) findMember(id group.MemberID) *group.MemberStatus {
	i := slices.IndexFunc(p.status.Members, func(m group.MemberStatus) bool { return m.ID == id })
	if i < 0 {
		return nil
	}
	return &p.status.Members[i]
}

func (p *planner) isLive(id group.MemberID) bool {
	return slices.ContainsFunc(p.live, func(process Process) bool { return process.ID == id })
}

func (p Process) groupMember() group.Member {
	return group.Member{ID: p.ID, VM: p.VM, Address: p.Address}
}
