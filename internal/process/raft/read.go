package raft

import (
	"time"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// readQueue holds the reads that wait until a quorum confirms that this member
// still leads.
type readQueue struct {
	heartbeatRound uint64 // last heartbeat round that was started
	waiting        []pendingRead
	needsRound     bool // some waiting read has no heartbeat round yet
}

type pendingRead struct {
	id    uint64
	from  string // member that asked, empty for this one
	index uint64
	round uint64 // heartbeat round that confirms the read, zero if not started
}

// ReadResult is the result of ReadIndex. Once the entry at Index is applied,
// the state machine reflects every entry that had committed when the read was
// requested.
type ReadResult struct {
	ID    uint64
	Index uint64
}

// ReadIndex requests a read index for a linearizable read. The caller must not
// reuse id. The result appears in a later Ready; if it does not arrive in time,
// the caller retries with a new id.
func (n *Node) ReadIndex(now time.Time, id uint64) {
	n.now = now
	if n.role == Leader {
		n.addRead(pendingRead{id: id})
		return
	}
	if n.leader != "" {
		n.send(&raftpb.Message{Kind: raftpb.MessageKind_READ, To: n.leader, Read: id})
	}
}

func (n *Node) onRead(m *raftpb.Message) {
	if n.role == Leader {
		n.addRead(pendingRead{id: m.GetRead(), from: m.GetFrom()})
	}
}

func (n *Node) addRead(read pendingRead) {
	n.reads.waiting = append(n.reads.waiting, read)
	n.reads.needsRound = true
}

// startReadRound starts one heartbeat round for all new reads. It waits until an
// entry of the leader's own term has committed, because only then does the
// leader know everything that has committed.
func (n *Node) startReadRound() {
	if !n.reads.needsRound || n.role != Leader || !n.ownTermCommitted() {
		return
	}
	n.reads.needsRound = false
	n.sendHeartbeats()
	for i := range n.reads.waiting {
		read := &n.reads.waiting[i]
		if read.round == 0 {
			read.round = n.reads.heartbeatRound
			read.index = n.log.commitIndex
		}
	}
	n.confirmReads()
}

// confirmReads completes the reads whose heartbeat round a quorum has
// acknowledged.
func (n *Node) confirmReads() {
	kept := n.reads.waiting[:0]
	for _, read := range n.reads.waiting {
		if read.round == 0 || !n.roundConfirmed(read.round) {
			kept = append(kept, read)
			continue
		}
		if read.from == "" {
			n.finishRead(read.id, read.index)
			continue
		}
		n.send(&raftpb.Message{Kind: raftpb.MessageKind_READ_REPLY, To: read.from, Read: read.id, Index: read.index})
	}
	n.reads.waiting = kept
}

func (n *Node) roundConfirmed(round uint64) bool {
	return n.hasPeerQuorum(func(peer *progress) bool { return peer.ackedRound >= round })
}

func (n *Node) finishRead(id, index uint64) {
	n.out.Reads = append(n.out.Reads, ReadResult{ID: id, Index: index})
}

func (n *Node) dropReads() {
	n.reads.waiting = nil
	n.reads.needsRound = false
}
