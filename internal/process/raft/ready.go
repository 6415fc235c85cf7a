package raft

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// Ready is work that the caller must do, in the order in which Readys are
// returned. Snapshot, HardState and Entries are made durable together. Entries
// and messages are shared and must not be modified.
type Ready struct {
	// Seq is passed to Persisted after MessagesAfterSync are sent. It is zero if
	// there is neither data to make durable nor a message to send after it.
	Seq uint64
	// Messages are sent at once.
	Messages []*raftpb.Message
	// Snapshot replaces the whole log. It is restored into the state machine before
	// later Committed entries are applied.
	Snapshot *raftpb.Snapshot
	// HardState replaces the previous hard state.
	HardState *raftpb.HardState
	// Entries replace all entries from their first index on.
	Entries []*raftpb.Entry
	// MessagesAfterSync are sent once the data is durable.
	MessagesAfterSync []*raftpb.Message
	// Committed are entries to apply to the state machine.
	Committed []*raftpb.Entry
	// Reads are the results of ReadIndex.
	Reads []ReadResult
}

// HasWrites reports whether the Ready contains data to make durable.
func (r *Ready) HasWrites() bool {
	return r.Snapshot != nil || r.HardState != nil || len(r.Entries) > 0
}

// pendingWrite records the term and the last entry of the log at a Ready whose
// writes may not yet be durable.
type pendingWrite struct {
	seq       uint64
	term      uint64
	lastIndex uint64
	// lastTerm is the term of the entry at lastIndex.
	lastTerm uint64
}

// Ready returns the work that has accumulated since the last call; ok is false
// if there is none.
func (n *Node) Ready(now time.Time) (ready Ready, ok bool) {
	n.now = now
	if n.role == Leader {
		n.replicate()
		n.startReadRound()
	}
	n.advanceCommit()
	n.deliverCommitted()
	n.assert(n.log.commitIndex >= n.lastReadyCommit, "commit never goes back", "%d after %d", n.log.commitIndex, n.lastReadyCommit)
	n.lastReadyCommit = n.log.commitIndex
	n.out.HardState = n.takeChangedHardState()
	out := n.out
	n.out = Ready{}
	if out.HasWrites() || len(out.MessagesAfterSync) > 0 {
		n.seq++
		out.Seq = n.seq
		n.pendingWrites = append(n.pendingWrites, pendingWrite{seq: n.seq, term: n.term, lastIndex: n.log.last(), lastTerm: n.log.lastTerm()})
	}
	ok = out.Seq > 0 || len(out.Messages) > 0 || len(out.Committed) > 0 || len(out.Reads) > 0
	return out, ok
}

// deliverCommitted adds to the next Ready the committed entries that are durable
// on this member.
func (n *Node) deliverCommitted() {
	for n.log.deliveredIndex < min(n.log.commitIndex, n.log.durableIndex) {
		entry := n.log.entry(n.log.deliveredIndex + 1)
		n.assert(entry.GetIndex() == n.log.deliveredIndex+1, "applied in order", "entry %d after %d", entry.GetIndex(), n.log.deliveredIndex)
		n.out.Committed = append(n.out.Committed, entry)
		n.log.deliveredIndex++
	}
}

// takeChangedHardState returns the hard state to save if the term or the vote has
// changed since the last Ready, or a member list has committed, and nil otherwise.
// Without a record that the newest member list has committed, a member that
// restarts would need a quorum of the previous one, too. Any other change of the
// commit index needs no write.
func (n *Node) takeChangedHardState() *raftpb.HardState {
	last := n.lastReadyHardState
	listCommitted := last.GetCommit() < n.membersIndex && n.membersIndex <= n.log.commitIndex && n.membersIndex > n.log.baseIndex
	if last.GetTerm() == n.term && last.GetVote() == n.vote && !listCommitted {
		return nil
	}
	n.assert(n.term >= n.lastReadyHardState.GetTerm(), "terms rise", "after %d", n.lastReadyHardState.GetTerm())
	n.lastReadyHardState = &raftpb.HardState{Term: n.term, Vote: n.vote, Commit: n.log.commitIndex}
	return proto.CloneOf(n.lastReadyHardState)
}

// Persisted tells the node that the writes of all Readys up to seq are durable.
func (n *Node) Persisted(now time.Time, seq uint64) {
	n.now = now
	for len(n.pendingWrites) > 0 && n.pendingWrites[0].seq <= seq {
		write := n.pendingWrites[0]
		n.pendingWrites = n.pendingWrites[1:]
		n.durableTerm = max(n.durableTerm, write.term)
		term, ok := n.log.termAt(write.lastIndex)
		if write.seq >= n.minValidSeq && ok && term == write.lastTerm {
			n.log.durableIndex = max(n.log.durableIndex, write.lastIndex)
		}
	}
	n.tryBecomeLeader()
	n.advanceCommit()
}

// SnapshotHeader returns a snapshot without data for the applied entry at index,
// to which the caller adds the state of the state machine; ok is false if the
// log does not hold that entry.
func (n *Node) SnapshotHeader(index uint64) (snapshot *raftpb.Snapshot, ok bool) {
	term, ok := n.log.termAt(index)
	if !ok {
		return nil, false
	}
	members, _ := n.membersAt(index)
	return &raftpb.Snapshot{Index: index, Term: term, Members: &raftpb.Members{Members: members}}, true
}

// Compact tells the node that snapshot is durable and removes the log entries
// that it covers. The last retain of them stay in the log, so that members that
// lag only a little need no snapshot.
func (n *Node) Compact(snapshot *raftpb.Snapshot, retain uint64) {
	if snapshot.GetIndex() <= n.log.snapshot.GetIndex() || snapshot.GetIndex() > n.log.deliveredIndex {
		return
	}
	n.log.snapshot = snapshot
	if snapshot.GetIndex() <= n.log.baseIndex+retain {
		return
	}
	base := snapshot.GetIndex() - retain
	members, _ := n.membersAt(base)
	n.log.compact(base)
	n.log.baseMembers = &raftpb.Members{Members: members}
}

// MemberView is the leader's view of a member. Match is the last index known to
// be durable on the member. LastContact is when the member last replied, or when
// the leader's term began or the member was added if it has not replied since.
// On a Node that is not the leader, Match and LastContact are zero.
type MemberView struct {
	Member      *raftpb.Member
	Match       uint64
	LastContact time.Time
	DiskLost    bool // the member's disk is known to be lost
}

// Status is a copy of the state of a Node.
type Status struct {
	ID               string
	Role             Role
	Term             uint64
	Leader           string
	Commit           uint64
	LastIndex        uint64
	OwnTermCommitted bool // an entry of the leader's own term has committed
	Members          []MemberView
	Leaving          []MemberView // members of the previous list only, until the newest list has committed
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	status := Status{
		ID: n.cfg.ID, Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.log.commitIndex, LastIndex: n.log.last(),
		OwnTermCommitted: n.role == Leader && n.ownTermCommitted(),
	}
	for _, member := range n.allMembers() {
		view := n.viewMember(member)
		if n.isMember(member.GetId()) {
			status.Members = append(status.Members, view)
		} else {
			status.Leaving = append(status.Leaving, view)
		}
	}
	return status
}

func (n *Node) viewMember(member *raftpb.Member) MemberView {
	id := member.GetId()
	view := MemberView{Member: member, DiskLost: n.lost[id]}
	if n.role == Leader {
		view.Match = n.matchOf(id)
		if peer := n.peers[id]; peer != nil {
			view.LastContact = peer.lastContact
		}
	}
	return view
}
