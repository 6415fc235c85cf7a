package raft

import (
	"time"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// Empty reports whether the member has never taken part in a group: it knows
// no term, no entry and no member list.
func (n *Node) Empty() bool {
	return n.term == 0 && n.log.last() == 0 && len(n.members) == 0
}

// Bootstrap gives an empty member the first snapshot of a group that it founds.
// The member goes to the snapshot's term, so that all leaders have later ones.
func (n *Node) Bootstrap(now time.Time, first *raftpb.Snapshot) {
	n.now = now
	n.assert(n.Empty(), "a group is formed once", "last entry %d", n.log.last())
	n.restore(first)
	n.term = first.GetTerm()
	n.electAt = now
}

// Send gives out a message of the shell's own with the next Ready.
func (n *Node) Send(m *raftpb.Message) { n.send(m) }
