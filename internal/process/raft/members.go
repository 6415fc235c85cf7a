package raft

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// ChangeKind is what a change does to the member list.
type ChangeKind int

// The changes of the member list.
const (
	AddLearner ChangeKind = iota
	Promote
	Remove
)

// Change is one change of the member list.
type Change struct {
	Kind   ChangeKind
	Member *raftpb.Member
}

// ChangeResult is whether a change of the member list was accepted, or why not.
type ChangeResult int

// The results of ProposeMemberChange. Accepted is the zero value.
const (
	Accepted ChangeResult = iota
	NotLeader
	OwnTermUncommitted
	ChangeInProgress
	NotCaughtUp
	NoSuchMember
	AlreadyDone
	LeaderNotRemovable
)

// String describes the refusal.
func (r ChangeResult) String() string {
	return [...]string{
		"taken", "not the leader", "no entry of the leader's term committed yet",
		"another change in progress", "member not caught up", "no such member",
		"already so", "the leader does not remove itself",
	}[r]
}

// ProposeMemberChange appends a changed member list, which is in force at once. One
// change at a time is taken, and only after an entry of the leader's own term
// has committed: both keep any two quorums overlapping.
func (n *Node) ProposeMemberChange(now time.Time, change Change) (index, term uint64, refusal ChangeResult) {
	n.now = now
	switch {
	case n.role != Leader || n.transferTo != "":
		return 0, 0, NotLeader
	case !n.ownTermCommitted():
		return 0, 0, OwnTermUncommitted
	case n.membersIndex > n.log.commit:
		return 0, 0, ChangeInProgress
	}
	list, refusal := n.changed(change)
	if refusal != Accepted {
		return 0, 0, refusal
	}
	data, err := proto.Marshal(&raftpb.Members{Members: list})
	n.assert(err == nil, "member list encodes", "%v", err)
	return n.appendOwn(raftpb.EntryKind_ENTRY_MEMBERS, data), n.term, Accepted
}

func (n *Node) termOf(index uint64) uint64 {
	term, _ := n.log.termAt(index)
	return term
}

func (n *Node) ownTermCommitted() bool { return n.termOf(n.log.commit) == n.term }

// changed returns the member list after the change.
func (n *Node) changed(change Change) ([]*raftpb.Member, ChangeResult) {
	list := make([]*raftpb.Member, 0, len(n.members)+1)
	for _, member := range n.members {
		list = append(list, proto.CloneOf(member))
	}
	id := change.Member.GetId()
	at := slices.IndexFunc(list, func(m *raftpb.Member) bool { return m.GetId() == id })
	if change.Kind == AddLearner {
		if at >= 0 {
			return nil, AlreadyDone
		}
		fresh := proto.CloneOf(change.Member)
		fresh.Learner = true
		return append(list, fresh), Accepted
	}
	if at < 0 {
		return nil, NoSuchMember
	}
	if change.Kind == Remove {
		if id == n.cfg.ID {
			return nil, LeaderNotRemovable
		}
		return slices.Delete(list, at, at+1), Accepted
	}
	if !list[at].GetLearner() {
		return nil, AlreadyDone
	}
	if !n.caughtUp(id) {
		return nil, NotCaughtUp
	}
	list[at].Learner = false
	return list, Accepted
}

func (n *Node) caughtUp(id string) bool {
	peer := n.peers[id]
	return peer != nil && peer.match+promoteLag >= n.log.last() && peer.match >= n.membersIndex
}

// loadMembers takes the newest member list of the log into force.
func (n *Node) loadMembers() {
	n.members, n.membersIndex = n.membersAt(n.log.last())
}

// loadMembersOf takes a member list among fresh entries into force.
func (n *Node) loadMembersOf(fresh []*raftpb.Entry) {
	for _, entry := range fresh {
		if entry.GetKind() == raftpb.EntryKind_ENTRY_MEMBERS {
			n.loadMembers()
			return
		}
	}
}

// membersAt returns the member list in force after the entry at index, and
// where it stands.
func (n *Node) membersAt(index uint64) ([]*raftpb.Member, uint64) {
	for at := index; at > n.log.base; at-- {
		entry := n.log.at(at)
		if entry.GetKind() != raftpb.EntryKind_ENTRY_MEMBERS {
			continue
		}
		var list raftpb.Members
		err := proto.Unmarshal(entry.GetData(), &list)
		n.assert(err == nil, "member list decodes", "entry %d: %v", at, err)
		return list.GetMembers(), at
	}
	return n.log.baseMembers.GetMembers(), n.log.base
}

// loadPeers keeps a progress for each other member.
func (n *Node) loadPeers() {
	peers := make(map[string]*progress, len(n.members))
	for _, member := range n.members {
		id := member.GetId()
		if id == n.cfg.ID {
			continue
		}
		peers[id] = n.peers[id]
		if peers[id] == nil {
			peers[id] = &progress{next: n.log.last() + 1, heard: n.now}
		}
	}
	n.peers = peers
}

func (n *Node) isVoter(id string) bool {
	for _, member := range n.members {
		if member.GetId() == id {
			return !member.GetLearner()
		}
	}
	return false
}
