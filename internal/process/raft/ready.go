package raft

import (
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// Ready is what the shell has to do, in the order of the Readys. Messages go
// out at once. Snapshot (which replaces the log), HardState and Entries
// (which replace all entries from their first index on) are made durable
// together; then the shell sends MessagesAfterSync and calls Persisted with Seq.
// Snapshot is restored into the machine before later Committed entries are
// applied. Entries and messages are shared and must not be changed.
type Ready struct {
	Seq               uint64
	Messages          []*raftpb.Message
	Snapshot          *raftpb.Snapshot
	HardState         *raftpb.HardState
	Entries           []*raftpb.Entry
	MessagesAfterSync []*raftpb.Message
	Committed         []*raftpb.Entry
	Reads             []ReadResult
}

// HasWrites reports whether the Ready holds something to make durable.
func (r *Ready) HasWrites() bool {
	return r.Snapshot != nil || r.HardState != nil || len(r.Entries) > 0
}

type pendingWrite struct {
	seq   uint64
	term  uint64
	index uint64
	// entryTerm is the term of the entry at index.
	entryTerm uint64
}

// Ready returns what there is to do since the last call; ok is false where
// there is nothing.
func (n *Node) Ready(now time.Time) (ready Ready, ok bool) {
	n.now = now
	if n.role == Leader {
		n.replicate()
		n.openReads()
	}
	n.advanceCommit()
	n.handCommitted()
	n.assert(n.log.commit >= n.shownCommit, "commit never goes back", "%d after %d", n.log.commit, n.shownCommit)
	n.shownCommit = n.log.commit
	n.out.HardState = n.changedHardState()
	out := n.out
	n.out = Ready{}
	if out.HasWrites() || len(out.MessagesAfterSync) > 0 {
		n.seq++
		out.Seq = n.seq
		n.pending = append(n.pending, pendingWrite{seq: n.seq, term: n.term, index: n.log.last(), entryTerm: n.log.lastTerm()})
	}
	ok = out.Seq > 0 || len(out.Messages) > 0 || len(out.Committed) > 0 || len(out.Reads) > 0
	return out, ok
}

// handCommitted gives out committed entries that are durable here.
func (n *Node) handCommitted() {
	for n.log.handed < min(n.log.commit, n.log.stable) {
		entry := n.log.at(n.log.handed + 1)
		n.assert(entry.GetIndex() == n.log.handed+1, "applied in order", "entry %d after %d", entry.GetIndex(), n.log.handed)
		n.out.Committed = append(n.out.Committed, entry)
		n.log.handed++
	}
}

// changedHardState returns what must be kept where the term or the vote have
// changed. The commit index is kept along, but not for its own sake.
func (n *Node) changedHardState() *raftpb.HardState {
	if n.saved.GetTerm() == n.term && n.saved.GetVote() == n.vote {
		return nil
	}
	n.assert(n.term >= n.saved.GetTerm(), "terms rise", "after %d", n.saved.GetTerm())
	n.saved = &raftpb.HardState{Term: n.term, Vote: n.vote, Commit: n.log.commit}
	return proto.CloneOf(n.saved)
}

// Persisted tells that the writes of all Readys up to seq are durable.
func (n *Node) Persisted(now time.Time, seq uint64) {
	n.now = now
	for len(n.pending) > 0 && n.pending[0].seq <= seq {
		write := n.pending[0]
		n.pending = n.pending[1:]
		n.durableTerm = max(n.durableTerm, write.term)
		term, ok := n.log.termAt(write.index)
		if write.seq >= n.truncated && ok && term == write.entryTerm {
			n.log.stable = max(n.log.stable, write.index)
		}
	}
	n.tryLead()
	n.advanceCommit()
}

// SnapshotHeader returns an empty snapshot for the applied entry at index, for
// the shell to fill with the machine's state; ok is false where the log no
// longer holds it.
func (n *Node) SnapshotHeader(index uint64) (snapshot *raftpb.Snapshot, ok bool) {
	term, ok := n.log.termAt(index)
	if !ok {
		return nil, false
	}
	members, _ := n.membersAt(index)
	return &raftpb.Snapshot{Index: index, Term: term, Members: &raftpb.Members{Members: members}}, true
}

// Compact tells that a snapshot is durable; entries up to keep before it
// stay for members that lag a little.
func (n *Node) Compact(snapshot *raftpb.Snapshot, keep uint64) {
	if snapshot.GetIndex() <= n.log.snapshot.GetIndex() || snapshot.GetIndex() > n.log.handed {
		return
	}
	n.log.snapshot = snapshot
	if snapshot.GetIndex() <= n.log.base+keep {
		return
	}
	base := snapshot.GetIndex() - keep
	members, _ := n.membersAt(base)
	n.log.compact(base)
	n.log.baseMembers = &raftpb.Members{Members: members}
}

// MemberView is the leader's view of a member; Match and Heard are zero
// elsewhere. Heard is when the member last answered, or when this term began.
type MemberView struct {
	Member      *raftpb.Member
	Match       uint64
	LastContact time.Time
}

// Status is a copy of what a node knows.
type Status struct {
	ID               string
	Role             Role
	Term             uint64
	Leader           string
	Commit           uint64
	LastIndex        uint64
	OwnTermCommitted bool // an entry of the leader's own term has committed
	Members          []MemberView
}

// Status returns what the node knows.
func (n *Node) Status() Status {
	status := Status{
		ID: n.cfg.ID, Role: n.role, Term: n.term, Leader: n.leader,
		Commit: n.log.commit, LastIndex: n.log.last(),
		OwnTermCommitted: n.role == Leader && n.ownTermCommitted(),
	}
	for _, member := range n.members {
		view := MemberView{Member: member}
		if n.role == Leader {
			view.Match = n.matchOf(member.GetId())
			if peer := n.peers[member.GetId()]; peer != nil {
				view.LastContact = peer.heard
			}
		}
		status.Members = append(status.Members, view)
	}
	return status
}
