package member

import (
	"context"
	"slices"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// keepInterval is between two looks of the leader at the members.
	keepInterval = 100 * time.Millisecond
	// changeTimeout bounds one change of members.
	changeTimeout = 3 * time.Second
	// replaceAfter is how long a voter must be silent before a newcomer takes
	// its place; longer than a restart of a process takes.
	replaceAfter = 1500 * time.Millisecond
	// missingAfter is how long a voter must be silent for no learner to be
	// promoted meanwhile: some heartbeats. One voter more, with one that is gone
	// among them, makes a quorum of all that are left.
	missingAfter = 300 * time.Millisecond
	// removeAfter is how long a voter must be silent before it is taken out
	// without a newcomer, where enough are left.
	removeAfter = 2500 * time.Millisecond
	// maxVoters is the most VMs that hold the log.
	maxVoters = 7
)

// Membership changes the members of the replicated log. *group.Group is one.
type Membership interface {
	Status() group.Status
	AddLearner(ctx context.Context, member group.Member) error
	Promote(ctx context.Context, member group.Member) error
	Remove(ctx context.Context, member group.Member) error
	Replace(ctx context.Context, old group.MemberID, fresh group.Member) error
}

// ReconcilerConfig configures a Reconciler.
type ReconcilerConfig struct {
	Membership Membership
	// Live returns the control processes that announced themselves lately.
	Live func() []Process
	// UpdatePeers tells the transport of the log where processes are.
	UpdatePeers func([]group.Member)
	// Known returns all control processes that were heard of.
	Known func() []Process
	// MinVoters is the number of voters that is never gone below by choice.
	MinVoters int
	Clock     Clock
	Logger    log.Logger
}

// Reconciler keeps the members while this process leads.
type Reconciler struct {
	cfg ReconcilerConfig
}

// NewReconciler returns a Reconciler; Run starts it.
func NewReconciler(cfg ReconcilerConfig) *Reconciler { return &Reconciler{cfg: cfg} }

// Run keeps the members until ctx ends.
func (k *Reconciler) Run(ctx context.Context) {
	for k.cfg.Clock.Sleep(ctx, keepInterval) == nil {
		status := k.cfg.Membership.Status()
		k.cfg.UpdatePeers(k.places(status))
		if status.Leader != status.ID {
			continue
		}
		change := Plan(k.cfg.Clock.Now(), status, k.cfg.Live(), k.cfg.MinVoters)
		if change.Kind != NoChange {
			k.carryOut(ctx, change)
		}
	}
}

// places returns where the members and all known processes are.
func (k *Reconciler) places(status group.Status) []group.Member {
	var list []group.Member
	seen := make(map[ident.VMName]bool)
	for _, member := range status.Members {
		list = append(list, member.Member)
		seen[member.VM] = true
	}
	for _, entry := range k.cfg.Known() {
		if entry.ID != "" && !seen[entry.VM] {
			list = append(list, group.Member{ID: entry.ID, VM: entry.VM, Address: entry.Address})
		}
	}
	return list
}

func (k *Reconciler) carryOut(ctx context.Context, change Change) {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	began := k.cfg.Clock.Now()
	err := k.make(ctx, change)
	_ = level.Info(k.cfg.Logger).Log(
		"msg", "members changed", "change", change.Kind, "old", change.Old, "new", change.New.ID,
		"address", change.New.Address, "silent", change.SilentFor, "took", k.cfg.Clock.Now().Sub(began), "err", err,
	)
}

func (k *Reconciler) make(ctx context.Context, change Change) error {
	k.cfg.UpdatePeers(append(k.places(k.cfg.Membership.Status()), change.New))
	switch change.Kind {
	case Add:
		return k.cfg.Membership.AddLearner(ctx, change.New)
	case Promote:
		return k.cfg.Membership.Promote(ctx, change.New)
	case Replace:
		return k.cfg.Membership.Replace(ctx, change.Old, change.New)
	case Remove:
		return k.cfg.Membership.Remove(ctx, group.Member{ID: change.Old})
	}
	return nil
}

// ChangeKind is what a change does to the members.
type ChangeKind string

// The changes of members.
const (
	NoChange ChangeKind = ""
	Add      ChangeKind = "Add"
	Promote  ChangeKind = "Promote"
	Replace  ChangeKind = "Replace"
	Remove   ChangeKind = "Remove"
)

// Change is the next change of members that is due.
type Change struct {
	Kind ChangeKind
	Old  group.MemberID
	New  group.Member
	// SilentFor is how long Old has not been heard.
	SilentFor time.Duration
}

// Plan returns the change of members that a leader makes next.
func Plan(now time.Time, status group.Status, heard []Process, minVoters int) Change {
	p := planner{now: now, status: status, heard: heard, minVoters: minVoters}
	for _, step := range []func() Change{p.wiped, p.learners, p.newcomer, p.shrink} {
		if change := step(); change.Kind != NoChange {
			return change
		}
	}
	return Change{}
}

type planner struct {
	now       time.Time
	status    group.Status
	heard     []Process
	minVoters int
}

// wiped replaces a member whose VM is back with another data folder.
func (p *planner) wiped() Change {
	for _, entry := range p.heard {
		if entry.ID == "" || p.member(entry.ID) != nil {
			continue
		}
		for _, member := range p.status.Members {
			if member.ID != p.status.ID && (member.VM == entry.VM || member.Address == entry.Address) {
				return Change{Kind: Replace, Old: member.ID, New: entry.member(), SilentFor: p.silence(member)}
			}
		}
	}
	return Change{}
}

// learners promotes those that are there, or goes on with replacing by them,
// and drops those that are not.
func (p *planner) learners() Change {
	for _, member := range p.status.Members {
		if !member.Learner {
			continue
		}
		if p.isHeard(member.ID) || p.silence(member) < replaceAfter {
			return p.seat(member.Member, Promote)
		}
		return Change{Kind: Remove, Old: member.ID, SilentFor: p.silence(member)}
	}
	return Change{}
}

// newcomer takes in a process that is no member.
func (p *planner) newcomer() Change {
	for _, entry := range p.heard {
		if entry.ID != "" && p.member(entry.ID) == nil {
			return p.seat(entry.member(), Add)
		}
	}
	return Change{}
}

// seat puts a newcomer in the place of a silent voter, or adds it as far as
// there is room.
func (p *planner) seat(fresh group.Member, kind ChangeKind) Change {
	old, silent := p.mostSilent()
	if silent > replaceAfter {
		return Change{Kind: Replace, Old: old, New: fresh, SilentFor: silent}
	}
	if p.voters() >= maxVoters || kind == Promote && silent > missingAfter {
		return Change{}
	}
	return Change{Kind: kind, New: fresh}
}

// shrink takes out a voter that has been silent for long, where enough are
// left without it.
func (p *planner) shrink() Change {
	if old, silent := p.mostSilent(); silent > removeAfter && p.voters() > p.minVoters {
		return Change{Kind: Remove, Old: old, SilentFor: silent}
	}
	return Change{}
}

// mostSilent returns the voter that has not been heard for longest.
func (p *planner) mostSilent() (id group.MemberID, silent time.Duration) {
	for _, member := range p.status.Members {
		if since := p.silence(member); !member.Learner && since > silent {
			id, silent = member.ID, since
		}
	}
	return id, silent
}

func (p *planner) silence(member group.MemberStatus) time.Duration {
	if member.ID == p.status.ID || member.LastContact.IsZero() {
		return 0
	}
	return p.now.Sub(member.LastContact)
}

func (p *planner) voters() int {
	count := 0
	for _, member := range p.status.Members {
		if !member.Learner {
			count++
		}
	}
	return count
}

func (p *planner) member(id group.MemberID) *group.MemberStatus {
	at := slices.IndexFunc(p.status.Members, func(m group.MemberStatus) bool { return m.ID == id })
	if at < 0 {
		return nil
	}
	return &p.status.Members[at]
}

func (p *planner) isHeard(id group.MemberID) bool {
	return slices.ContainsFunc(p.heard, func(e Process) bool { return e.ID == id })
}

func (e Process) member() group.Member {
	return group.Member{ID: e.ID, VM: e.VM, Address: e.Address}
}
