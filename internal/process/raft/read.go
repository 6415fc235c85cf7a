package raft

import (
	"time"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// readQueue holds the reads that wait for a quorum to confirm the leader.
type readQueue struct {
	round   uint64
	waiting []pendingRead
	asked   bool
}

type pendingRead struct {
	id    uint64
	from  string // empty for the own member's
	index uint64
	round uint64 // zero until a round was opened for it
}

// ReadResult is a confirmed read point: all that had committed when the read
// was asked for is applied once Index is.
type ReadResult struct {
	ID    uint64
	Index uint64
}

// ReadIndex asks for a read point under a number that the caller never uses
// twice. The result comes in a later Ready; it may never come, after which
// the caller asks again under a new number.
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
	n.reads.asked = true
}

// openReads opens one round of heartbeats for all new reads. A leader knows
// what has committed only after an entry of its own term has.
func (n *Node) openReads() {
	if !n.reads.asked || n.role != Leader || !n.ownTermCommitted() {
		return
	}
	n.reads.asked = false
	n.heartbeat()
	for i := range n.reads.waiting {
		read := &n.reads.waiting[i]
		if read.round == 0 {
			read.round = n.reads.round
			read.index = n.log.commit
		}
	}
	n.confirmReads()
}

// confirmReads ends the reads whose round a quorum has answered.
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
	return n.quorum(func(id string) bool {
		peer := n.peers[id]
		return id == n.cfg.ID || (peer != nil && peer.round >= round)
	})
}

func (n *Node) finishRead(id, index uint64) {
	n.out.Reads = append(n.out.Reads, ReadResult{ID: id, Index: index})
}

func (n *Node) dropReads() {
	n.reads.waiting = nil
	n.reads.asked = false
}
