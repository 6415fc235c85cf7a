package raft

import (
	"time"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// Empty reports whether the member has never been part of a group: it has no
// term, no entries and no member list.
func (n *Node) Empty() bool {
	return n.term == 0 && n.log.last() == 0 && len(n.members) == 0
}

// Bootstrap creates a group from its first snapshot. The member must be empty.
// It moves to the snapshot's term, so that all leaders have later terms.
func (n *Node) Bootstrap(now time.Time, first *raftpb.Snapshot) {
	n.now = now
	n.assert(n.Empty(), "a group is formed once", "last entry %d", n.log.last())
	n.restore(first)
	n.term = first.GetTerm()
	n.nextCampaignAt = now
}

// Send queues a message for the next Ready. The caller uses it for messages that
// are not part of the algorithm, such as those that form a group.
func (n *Node) Send(m *raftpb.Message) { n.send(m) }
