package raft

import (
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// progress is the leader's view of one other member.
type progress struct {
	next          uint64 // index of the next entry to send
	match         uint64 // last index known to be durable on the member
	ackedRound    uint64 // last heartbeat round that the member acknowledged
	lastContact   time.Time
	lastSent      time.Time // when entries or a snapshot were last sent
	snapshotIndex uint64    // index of the snapshot being sent, zero if none is
	knownLost     []string  // members whose disks this member, at its last reply, knew to be lost
}

// Propose appends an entry on the leader and returns its index and term. It
// appends nothing and returns false if this member is not the leader or is
// transferring leadership.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, ok bool) {
	n.now = now
	if n.role != Leader || n.transferTo != "" {
		return 0, 0, false
	}
	return n.appendEntry(raftpb.EntryKind_ENTRY_DATA, data), n.term, true
}

func (n *Node) appendEntry(kind raftpb.EntryKind, data []byte) uint64 {
	entry := &raftpb.Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, entry)
	n.out.Entries = append(n.out.Entries, entry)
	if kind == raftpb.EntryKind_ENTRY_MEMBERS {
		n.loadMembers()
		n.updatePeers()
	}
	return entry.GetIndex()
}

// replicate sends each other member the entries that have not been sent to it.
func (n *Node) replicate() {
	for _, member := range n.allMembers() {
		if peer := n.peers[member.GetId()]; peer != nil {
			n.sendEntries(member.GetId(), peer)
		}
	}
}

func (n *Node) sendEntries(id string, peer *progress) {
	for peer.next <= n.log.last() && peer.next-peer.match <= maxInFlightEntries && peer.snapshotIndex == 0 {
		prevTerm, ok := n.log.termAt(peer.next - 1)
		if !ok {
			n.sendSnapshot(id, peer)
			return
		}
		entries := n.log.entriesFrom(peer.next)
		n.send(&raftpb.Message{
			Kind:    raftpb.MessageKind_APPEND,
			To:      id,
			Index:   peer.next - 1,
			LogTerm: prevTerm,
			Commit:  n.log.commitIndex,
			Entries: entries,
		})
		peer.next += uint64(len(entries))
		peer.lastSent = n.now
	}
}

func (n *Node) sendSnapshot(id string, peer *progress) {
	if n.log.snapshot == nil {
		return
	}
	peer.snapshotIndex = n.log.snapshot.GetIndex()
	peer.lastSent = n.now
	n.send(&raftpb.Message{Kind: raftpb.MessageKind_INSTALL, To: id, Snapshot: n.log.snapshot})
}

// followLeader makes this member a follower of the sender of m.
func (n *Node) followLeader(m *raftpb.Message) {
	n.assert(n.role != Leader, "one leader a term", "%s also leads", m.GetFrom())
	n.assert(n.leader == "" || n.leader == m.GetFrom(), "one leader a term", "%s and %s lead", n.leader, m.GetFrom())
	n.becomeFollower(m.GetTerm(), m.GetFrom())
	n.leaderContact = n.now
}

func (n *Node) onAppend(m *raftpb.Message) {
	n.followLeader(m)
	reply := &raftpb.Message{Kind: raftpb.MessageKind_APPEND_REPLY, To: m.GetFrom()}
	if m.GetIndex() < n.log.baseIndex {
		reply.Index = n.log.commitIndex
		n.sendAfterSync(reply)
		return
	}
	term, ok := n.log.termAt(m.GetIndex())
	if !ok || term != m.GetLogTerm() {
		n.assert(!ok || m.GetIndex() > n.log.commitIndex, "committed entries never change", "term %d at %d, leader has %d", term, m.GetIndex(), m.GetLogTerm())
		reply.Reject = true
		reply.Index = m.GetIndex()
		reply.Hint = n.log.rejectHint(m.GetIndex())
		n.sendAfterSync(reply)
		return
	}
	n.acceptEntries(m.GetEntries())
	reply.Index = m.GetIndex() + uint64(len(m.GetEntries()))
	n.setCommit(min(m.GetCommit(), reply.GetIndex()))
	n.sendAfterSync(reply)
}

// acceptEntries appends the entries that the log lacks, after removing those
// that conflict with them.
func (n *Node) acceptEntries(entries []*raftpb.Entry) {
	for i, entry := range entries {
		term, ok := n.log.termAt(entry.GetIndex())
		if ok && term == entry.GetTerm() {
			continue
		}
		if ok {
			n.assert(entry.GetIndex() > n.log.commitIndex, "committed entries never change", "entry %d of term %d would become term %d", entry.GetIndex(), term, entry.GetTerm())
			n.truncate(entry.GetIndex())
		}
		n.assert(entry.GetTerm() >= n.log.lastTerm(), "log matching", "entry %d of term %d after term %d", entry.GetIndex(), entry.GetTerm(), n.log.lastTerm())
		n.log.entries = append(n.log.entries, entries[i:]...)
		n.out.Entries = append(n.out.Entries, entries[i:]...)
		n.reloadMembersIfIn(entries[i:])
		return
	}
}

func (n *Node) truncate(index uint64) {
	n.log.truncate(index)
	n.minValidSeq = n.seq + 1
	n.out.Entries = slices.DeleteFunc(n.out.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= index })
	if n.membersIndex >= index {
		n.loadMembers()
	}
}

func (n *Node) setCommit(index uint64) {
	if index <= n.log.commitIndex {
		return
	}
	n.assert(index <= n.log.last(), "log matching", "commit %d beyond last entry %d", index, n.log.last())
	n.log.commitIndex = min(index, n.log.last())
	n.endMemberChange()
}

// recordContact records a reply of the member.
func (p *progress) recordContact(now time.Time, reply *raftpb.Message) {
	p.lastContact = now
	p.knownLost = reply.GetLost()
}

func (n *Node) onAppendReply(m *raftpb.Message) {
	peer := n.peers[m.GetFrom()]
	if n.role != Leader || peer == nil {
		return
	}
	peer.recordContact(n.now, m)
	if m.GetReject() {
		if m.GetIndex() > peer.match && m.GetIndex() < peer.next {
			peer.next = max(peer.match, min(m.GetHint(), m.GetIndex()-1)) + 1
			peer.snapshotIndex = 0
		}
		return
	}
	n.assert(m.GetIndex() <= n.log.last(), "log matching", "%s has %d, last entry is %d", m.GetFrom(), m.GetIndex(), n.log.last())
	if m.GetIndex() <= peer.match {
		return
	}
	peer.match = m.GetIndex()
	peer.next = max(peer.next, peer.match+1)
	if peer.match >= peer.snapshotIndex {
		peer.snapshotIndex = 0
	}
	n.advanceCommit()
	n.tryTransfer()
}

// advanceCommit commits the entries that are durable on a quorum, provided that
// the last of them is of the leader's own term.
func (n *Node) advanceCommit() {
	if n.role != Leader {
		return
	}
	index := n.quorumIndex()
	term, ok := n.log.termAt(index)
	if ok && term == n.term {
		n.setCommit(index)
	}
}

// matchOf returns the last index known to be durable on a member.
func (n *Node) matchOf(id string) uint64 {
	if id == n.cfg.ID {
		return n.log.durableIndex
	}
	if peer := n.peers[id]; peer != nil {
		return peer.match
	}
	return 0
}

func (n *Node) onHeartbeat(m *raftpb.Message) {
	n.followLeader(m)
	n.setCommit(m.GetCommit())
	reply := &raftpb.Message{Kind: raftpb.MessageKind_HEARTBEAT_REPLY, To: m.GetFrom(), Round: m.GetRound()}
	// A reply promises that the term is durable. If it already is, the reply need
	// not wait for other writes.
	if n.durableTerm == n.term {
		n.send(reply)
		return
	}
	n.sendAfterSync(reply)
}

func (n *Node) onHeartbeatReply(m *raftpb.Message) {
	peer := n.peers[m.GetFrom()]
	if n.role != Leader || peer == nil {
		return
	}
	peer.recordContact(n.now, m)
	peer.ackedRound = max(peer.ackedRound, m.GetRound())
	n.confirmReads()
	n.rewindUnacknowledged(peer)
}

// rewindUnacknowledged makes replicate send again all entries that the member has
// not acknowledged, if nothing was sent to it within the timeout. What was sent
// before is then presumed lost.
func (n *Node) rewindUnacknowledged(peer *progress) {
	timeout := 2 * n.cfg.HeartbeatInterval
	if peer.snapshotIndex != 0 {
		timeout += n.snapshotTimeout()
	}
	if peer.match < n.log.last() && n.now.Sub(peer.lastSent) >= timeout {
		peer.next = peer.match + 1
		peer.snapshotIndex = 0
	}
}

// snapshotTimeout returns how long sending the snapshot may take: a heartbeat
// interval and snapshotTimeoutsPerMiB election timeouts per MiB.
func (n *Node) snapshotTimeout() time.Duration {
	size := time.Duration(len(n.log.snapshot.GetData()))
	return n.cfg.HeartbeatInterval + size*snapshotTimeoutsPerMiB*n.cfg.ElectionTimeout/bytesPerMiB
}

func (n *Node) onInstall(m *raftpb.Message) {
	n.followLeader(m)
	snapshot := m.GetSnapshot()
	reply := &raftpb.Message{Kind: raftpb.MessageKind_APPEND_REPLY, To: m.GetFrom(), Index: n.log.commitIndex}
	if snapshot.GetIndex() > n.log.commitIndex {
		// A log that goes on from the snapshot may hold entries that the leader counts as
		// durable here. A late copy of the snapshot must not remove them.
		if term, ok := n.log.termAt(snapshot.GetIndex()); ok && term == snapshot.GetTerm() {
			n.setCommit(snapshot.GetIndex())
		} else {
			n.restore(snapshot)
		}
		reply.Index = snapshot.GetIndex()
	}
	n.sendAfterSync(reply)
}

// restore replaces the whole log with a snapshot. The snapshot counts as durable
// at once, because Ready returns it together with or before any later entry.
func (n *Node) restore(snapshot *raftpb.Snapshot) {
	n.log = newEntryLog(snapshot, nil)
	n.log.durableIndex = snapshot.GetIndex()
	n.minValidSeq = n.seq + 1
	n.out.Entries = nil
	n.out.Committed = nil
	n.out.Snapshot = snapshot
	n.loadMembers()
}
