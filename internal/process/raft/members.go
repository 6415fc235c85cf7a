package raft

import (
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// ChangeKind is the kind of a membership change.
type ChangeKind int

// The kinds of membership changes.
const (
	AddLearner ChangeKind = iota
	Promote
	Remove
)

// Change is a change of one member in the member list.
type Change struct {
	Kind   ChangeKind
	Member *raftpb.Member
}

// ChangeResult tells whether a membership change was accepted, or why it was
// rejected.
type ChangeResult int

// The results of ProposeMemberChange. A leader that is transferring leadership
// returns NotLeader, too.
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

// String describes the result.
func (r ChangeResult) String() string {
	return [...]string{
		"taken", "not the leader", "no entry of the leader's term committed yet",
		"another change in progress", "member not caught up", "no such member",
		"already so", "the leader does not remove itself",
	}[r]
}

// ProposeMemberChange appends a changed member list, which takes effect
// immediately: until it has committed, a quorum of the previous list is needed
// beside one of the new list. A change is rejected while the previous one has not
// committed and until an entry of the leader's own term has committed, so that no
// more than two lists are in effect.
func (n *Node) ProposeMemberChange(now time.Time, change Change) (index, term uint64, result ChangeResult) {
	n.now = now
	switch {
	case n.role != Leader || n.transferTo != "":
		return 0, 0, NotLeader
	case !n.ownTermCommitted():
		return 0, 0, OwnTermUncommitted
	case n.membersIndex > n.log.commitIndex:
		return 0, 0, ChangeInProgress
	}
	list, result := n.changedMembers(change)
	if result != Accepted {
		return 0, 0, result
	}
	data, err := proto.Marshal(&raftpb.Members{Members: list})
	n.assert(err == nil, "member list encodes", "%v", err)
	return n.appendEntry(raftpb.EntryKind_ENTRY_MEMBERS, data), n.term, Accepted
}

func (n *Node) termOrZero(index uint64) uint64 {
	term, _ := n.log.termAt(index)
	return term
}

func (n *Node) ownTermCommitted() bool { return n.termOrZero(n.log.commitIndex) == n.term }

// changedMembers returns a copy of the member list with the change applied.
func (n *Node) changedMembers(change Change) ([]*raftpb.Member, ChangeResult) {
	list := make([]*raftpb.Member, 0, len(n.members)+1)
	for _, member := range n.members {
		list = append(list, proto.CloneOf(member))
	}
	id := change.Member.GetId()
	position := slices.IndexFunc(list, func(m *raftpb.Member) bool { return m.GetId() == id })
	if change.Kind == AddLearner {
		if position >= 0 {
			return nil, AlreadyDone
		}
		added := proto.CloneOf(change.Member)
		added.Learner = true
		return append(list, added), Accepted
	}
	if position < 0 {
		return nil, NoSuchMember
	}
	if change.Kind == Remove {
		if id == n.cfg.ID {
			return nil, LeaderNotRemovable
		}
		return slices.Delete(list, position, position+1), Accepted
	}
	if !list[position].GetLearner() {
		return nil, AlreadyDone
	}
	if !n.caughtUp(id) {
		return nil, NotCaughtUp
	}
	list[position].Learner = false
	return list, Accepted
}

// caughtUp reports whether a member lacks at most maxPromoteLag entries and
// holds the current member list.
func (n *Node) caughtUp(id string) bool {
	peer := n.peers[id]
	return peer != nil && peer.match+maxPromoteLag >= n.log.last() && peer.match >= n.membersIndex
}

// loadMembers puts the newest member list in the log into effect.
func (n *Node) loadMembers() {
	n.members, n.membersIndex = n.membersAt(n.log.last())
	n.previousMembers = nil
	if n.membersIndex > n.log.commitIndex {
		n.previousMembers, _ = n.membersAt(n.membersIndex - 1)
	}
	n.loadVoters()
	n.forgetLost()
}

// endMemberChange drops the previous member list once the newest one has
// committed. The leader tells the others at once, because without it they still
// need a quorum of the previous list until they know.
func (n *Node) endMemberChange() {
	if n.previousMembers == nil || n.membersIndex > n.log.commitIndex {
		return
	}
	n.previousMembers = nil
	n.loadVoters()
	n.forgetLost()
	if n.role == Leader {
		n.updatePeers()
		n.sendHeartbeats()
	}
}

// allMembers returns the members of the newest list and, until that has committed,
// those that only the previous one holds, whose votes and entries may be needed.
func (n *Node) allMembers() []*raftpb.Member {
	all := slices.Clip(n.members)
	for _, member := range n.previousMembers {
		if !n.isMember(member.GetId()) {
			all = append(all, member)
		}
	}
	return all
}

func (n *Node) isMember(id string) bool {
	return slices.ContainsFunc(n.members, func(m *raftpb.Member) bool { return m.GetId() == id })
}

// reloadMembersIfIn reloads the member list if entries contains a new one.
func (n *Node) reloadMembersIfIn(entries []*raftpb.Entry) {
	for _, entry := range entries {
		if entry.GetKind() == raftpb.EntryKind_ENTRY_MEMBERS {
			n.loadMembers()
			return
		}
	}
}

// membersAt returns the member list in effect after the entry at index, and the
// index of the entry that holds it.
func (n *Node) membersAt(index uint64) ([]*raftpb.Member, uint64) {
	for at := index; at > n.log.baseIndex; at-- {
		entry := n.log.entry(at)
		if entry.GetKind() != raftpb.EntryKind_ENTRY_MEMBERS {
			continue
		}
		var list raftpb.Members
		err := proto.Unmarshal(entry.GetData(), &list)
		n.assert(err == nil, "member list decodes", "entry %d: %v", at, err)
		return list.GetMembers(), at
	}
	return n.log.baseMembers.GetMembers(), n.log.baseIndex
}

// updatePeers makes peers hold the progress of exactly the other members.
func (n *Node) updatePeers() {
	all := n.allMembers()
	peers := make(map[string]*progress, len(all))
	for _, member := range all {
		id := member.GetId()
		if id == n.cfg.ID {
			continue
		}
		peers[id] = n.peers[id]
		if peers[id] == nil {
			peers[id] = &progress{next: n.log.last() + 1, lastContact: n.now}
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
