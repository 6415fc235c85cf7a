package raft

import (
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// progress is the leader's view of one other member.
type progress struct {
	next     uint64
	match    uint64
	round    uint64
	heard    time.Time
	sent     time.Time
	snapshot uint64 // index of a snapshot on its way, else zero
}

// Propose appends an entry on the leader and returns where it stands; ok is
// false, and nothing was appended, where this member does not lead or is
// handing over.
func (n *Node) Propose(now time.Time, data []byte) (index, term uint64, ok bool) {
	n.now = now
	if n.role != Leader || n.transferTo != "" {
		return 0, 0, false
	}
	return n.appendOwn(raftpb.EntryKind_ENTRY_DATA, data), n.term, true
}

func (n *Node) appendOwn(kind raftpb.EntryKind, data []byte) uint64 {
	entry := &raftpb.Entry{Index: n.log.last() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.entries = append(n.log.entries, entry)
	n.out.Entries = append(n.out.Entries, entry)
	if kind == raftpb.EntryKind_ENTRY_MEMBERS {
		n.loadMembers()
		n.loadPeers()
	}
	return entry.GetIndex()
}

// replicate sends each other member what it lacks and has not been sent.
func (n *Node) replicate() {
	for _, member := range n.members {
		if peer := n.peers[member.GetId()]; peer != nil {
			n.sendEntries(member.GetId(), peer)
		}
	}
}

func (n *Node) sendEntries(id string, peer *progress) {
	for peer.next <= n.log.last() && peer.next-peer.match <= maxInFlight && peer.snapshot == 0 {
		prev, ok := n.log.termAt(peer.next - 1)
		if !ok {
			n.sendSnapshot(id, peer)
			return
		}
		entries := n.log.slice(peer.next)
		n.send(&raftpb.Message{
			Kind:    raftpb.MessageKind_APPEND,
			To:      id,
			Index:   peer.next - 1,
			LogTerm: prev,
			Commit:  n.log.commit,
			Entries: entries,
		})
		peer.next += uint64(len(entries))
		peer.sent = n.now
	}
}

func (n *Node) sendSnapshot(id string, peer *progress) {
	if n.log.snapshot == nil {
		return
	}
	peer.snapshot = n.log.snapshot.GetIndex()
	peer.sent = n.now
	n.send(&raftpb.Message{Kind: raftpb.MessageKind_INSTALL, To: id, Snapshot: n.log.snapshot})
}

func (n *Node) followLeader(m *raftpb.Message) {
	n.assert(n.role != Leader, "one leader a term", "also %s leads", m.GetFrom())
	n.assert(n.leader == "" || n.leader == m.GetFrom(), "one leader a term", "%s and %s lead", n.leader, m.GetFrom())
	n.becomeFollower(m.GetTerm(), m.GetFrom())
	n.heardLeader = n.now
}

func (n *Node) onAppend(m *raftpb.Message) {
	n.followLeader(m)
	reply := &raftpb.Message{Kind: raftpb.MessageKind_APPEND_REPLY, To: m.GetFrom()}
	if m.GetIndex() < n.log.base {
		reply.Index = n.log.commit
		n.afterSync(reply)
		return
	}
	term, ok := n.log.termAt(m.GetIndex())
	if !ok || term != m.GetLogTerm() {
		n.assert(!ok || m.GetIndex() > n.log.commit, "committed entries never change", "term %d at %d, leader has %d", term, m.GetIndex(), m.GetLogTerm())
		reply.Reject = true
		reply.Index = m.GetIndex()
		reply.Hint = n.log.hint(m.GetIndex())
		n.afterSync(reply)
		return
	}
	n.take(m.GetEntries())
	reply.Index = m.GetIndex() + uint64(len(m.GetEntries()))
	n.setCommit(min(m.GetCommit(), reply.GetIndex()))
	n.afterSync(reply)
}

// take appends the entries that the log does not hold, after it dropped
// those that differ.
func (n *Node) take(entries []*raftpb.Entry) {
	for i, entry := range entries {
		term, ok := n.log.termAt(entry.GetIndex())
		if ok && term == entry.GetTerm() {
			continue
		}
		if ok {
			n.assert(entry.GetIndex() > n.log.commit, "committed entries never change", "entry %d of term %d would become term %d", entry.GetIndex(), term, entry.GetTerm())
			n.truncate(entry.GetIndex())
		}
		n.assert(entry.GetTerm() >= n.log.lastTerm(), "log matching", "entry %d of term %d after term %d", entry.GetIndex(), entry.GetTerm(), n.log.lastTerm())
		n.log.entries = append(n.log.entries, entries[i:]...)
		n.out.Entries = append(n.out.Entries, entries[i:]...)
		n.loadMembersOf(entries[i:])
		return
	}
}

func (n *Node) truncate(index uint64) {
	n.log.truncate(index)
	n.truncated = n.seq + 1
	n.out.Entries = slices.DeleteFunc(n.out.Entries, func(e *raftpb.Entry) bool { return e.GetIndex() >= index })
	if n.membersIndex >= index {
		n.loadMembers()
	}
}

func (n *Node) setCommit(index uint64) {
	if index <= n.log.commit {
		return
	}
	n.assert(index <= n.log.last(), "log matching", "commit %d beyond last entry %d", index, n.log.last())
	n.log.commit = min(index, n.log.last())
}

func (n *Node) onAppendReply(m *raftpb.Message) {
	peer := n.peers[m.GetFrom()]
	if n.role != Leader || peer == nil {
		return
	}
	peer.heard = n.now
	if m.GetReject() {
		if m.GetIndex() > peer.match && m.GetIndex() < peer.next {
			peer.next = max(peer.match, min(m.GetHint(), m.GetIndex()-1)) + 1
			peer.snapshot = 0
		}
		return
	}
	n.assert(m.GetIndex() <= n.log.last(), "log matching", "%s has %d, last entry is %d", m.GetFrom(), m.GetIndex(), n.log.last())
	if m.GetIndex() <= peer.match {
		return
	}
	peer.match = m.GetIndex()
	peer.next = max(peer.next, peer.match+1)
	if peer.match >= peer.snapshot {
		peer.snapshot = 0
	}
	n.advanceCommit()
	n.tryTransfer()
}

// advanceCommit commits what a quorum holds durably, provided that it ends
// in an entry of the own term.
func (n *Node) advanceCommit() {
	if n.role != Leader {
		return
	}
	matches := make([]uint64, 0, len(n.members))
	for _, member := range n.members {
		if !member.GetLearner() {
			matches = append(matches, n.matchOf(member.GetId()))
		}
	}
	if len(matches) == 0 {
		return
	}
	slices.Sort(matches)
	index := matches[(len(matches)-1)/2]
	term, ok := n.log.termAt(index)
	if ok && term == n.term {
		n.setCommit(index)
	}
}

func (n *Node) matchOf(id string) uint64 {
	if id == n.cfg.ID {
		return n.log.stable
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
	if n.durableTerm == n.term {
		n.send(reply)
		return
	}
	n.afterSync(reply)
}

func (n *Node) onHeartbeatReply(m *raftpb.Message) {
	peer := n.peers[m.GetFrom()]
	if n.role != Leader || peer == nil {
		return
	}
	peer.heard = n.now
	peer.round = max(peer.round, m.GetRound())
	n.confirmReads()
	n.resend(peer)
}

// resend goes back to what the member has acknowledged, once what was sent
// after that must be lost.
func (n *Node) resend(peer *progress) {
	patience := 2 * n.cfg.HeartbeatInterval
	if peer.snapshot != 0 {
		patience += n.snapshotTime()
	}
	if peer.match < n.log.last() && n.now.Sub(peer.sent) >= patience {
		peer.next = peer.match + 1
		peer.snapshot = 0
	}
}

// snapshotTime is how long the snapshot may take on its way.
func (n *Node) snapshotTime() time.Duration {
	size := time.Duration(len(n.log.snapshot.GetData()))
	return n.cfg.HeartbeatInterval + size*snapshotPatience*n.cfg.ElectionTimeout/snapshotUnit
}

func (n *Node) onInstall(m *raftpb.Message) {
	n.followLeader(m)
	snapshot := m.GetSnapshot()
	reply := &raftpb.Message{Kind: raftpb.MessageKind_APPEND_REPLY, To: m.GetFrom(), Index: n.log.commit}
	if snapshot.GetIndex() > n.log.commit {
		n.restore(snapshot)
		reply.Index = snapshot.GetIndex()
	}
	n.afterSync(reply)
}

// restore replaces the whole log by a snapshot.
func (n *Node) restore(snapshot *raftpb.Snapshot) {
	n.log = newEntryLog(snapshot, nil)
	n.log.stable = snapshot.GetIndex()
	n.truncated = n.seq + 1
	n.out.Entries = nil
	n.out.Committed = nil
	n.out.Snapshot = snapshot
	n.loadMembers()
}
