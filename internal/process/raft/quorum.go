package raft

import (
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// vote is a vote that another member has granted.
type vote struct {
	knownLost []string // members whose disks the voter knew to be lost
}

// ReportDiskLost tells the node that the disk of a member is lost, so that nothing
// this member has acknowledged counts for the future and no message of it will ever
// be sent again. A wrong report may make entries that have committed disappear.
// Reports about other processes than members are ignored.
func (n *Node) ReportDiskLost(now time.Time, id string) {
	n.now = now
	n.recordLost([]string{id})
}

// recordLost records the members among ids as lost.
func (n *Node) recordLost(ids []string) {
	for _, member := range n.allMembers() {
		if id := member.GetId(); id != n.cfg.ID && slices.Contains(ids, id) {
			n.lost[id] = true
		}
	}
}

// forgetLost drops lost members that are no longer in a member list.
func (n *Node) forgetLost() {
	if len(n.lost) == 0 {
		return
	}
	all := n.allMembers()
	for id := range n.lost {
		if !slices.ContainsFunc(all, func(m *raftpb.Member) bool { return m.GetId() == id }) {
			delete(n.lost, id)
		}
	}
}

// lostMembers returns the members that are known to be lost, in order.
func (n *Node) lostMembers() []string {
	if len(n.lost) == 0 {
		return nil
	}
	ids := make([]string, 0, len(n.lost))
	for id := range n.lost {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// loadVoters sets the voters of each member list of which a quorum is needed.
func (n *Node) loadVoters() {
	n.voters = nil
	for _, members := range [][]*raftpb.Member{n.members, n.previousMembers} {
		var voters []string
		for _, member := range members {
			if !member.GetLearner() {
				voters = append(voters, member.GetId())
			}
		}
		if len(voters) > 0 {
			n.voters = append(n.voters, voters)
		}
	}
}

// hasQuorum reports whether the supporting voters form a quorum of each member list
// in effect. support returns whether a voter supports the decision, and which
// members it knew to be lost when it did.
//
// A majority of the voters is a quorum. If their number is even, half of them is a
// quorum, too, if another voter, the same for all of them, was known to each to be
// lost when it gave its support. Any two quorums have a voter in common: a majority
// meets each half; two halves that leave out the same voter meet among the rest, of
// which there is an odd number. Two halves that leave out different voters are
// disjoint only if each contains the voter that the other leaves out. But then each
// of these two knew, while its disk was sound, that the disk of the other was lost.
func (n *Node) hasQuorum(support func(id string) (supports bool, knownLost []string)) bool {
	for _, voters := range n.voters {
		if !isQuorum(voters, support) {
			return false
		}
	}
	return len(n.voters) > 0
}

// hasPeerQuorum is hasQuorum for a leader, which itself supports the decision.
func (n *Node) hasPeerQuorum(supports func(peer *progress) bool) bool {
	return n.hasQuorum(func(id string) (bool, []string) {
		if id == n.cfg.ID {
			return true, n.lostMembers()
		}
		peer := n.peers[id]
		return peer != nil && supports(peer), peer.lostMembers()
	})
}

// lostMembers returns the members that the member knew to be lost at its last reply.
func (p *progress) lostMembers() []string {
	if p == nil {
		return nil
	}
	return p.knownLost
}

// isQuorum reports whether the supporting voters are a quorum of voters.
func isQuorum(voters []string, support func(id string) (supports bool, knownLost []string)) bool {
	count := 0
	var knowing map[string]int // by lost voter: supporters that know of it
	for _, id := range voters {
		supports, knownLost := support(id)
		if !supports {
			continue
		}
		count++
		for _, lost := range knownLost {
			if knowing == nil {
				knowing = make(map[string]int)
			}
			if lost != id {
				knowing[lost]++
			}
		}
	}
	if count > len(voters)/2 {
		return true
	}
	if len(voters)%2 != 0 || knowing == nil {
		return false
	}
	return slices.ContainsFunc(voters, func(id string) bool { return knowing[id] >= len(voters)/2 })
}

// quorumIndex returns the highest index up to which the log is durable on a quorum,
// and at least the commit index.
func (n *Node) quorumIndex() uint64 {
	var candidates []uint64
	for _, member := range n.allMembers() {
		candidates = append(candidates, n.matchOf(member.GetId()))
	}
	slices.Sort(candidates)
	for _, index := range slices.Backward(candidates) {
		if index <= n.log.commitIndex {
			return n.log.commitIndex
		}
		durable := n.hasQuorum(func(id string) (bool, []string) {
			if id == n.cfg.ID {
				return n.log.durableIndex >= index, n.lostMembers()
			}
			return n.matchOf(id) >= index, n.peers[id].lostMembers()
		})
		if durable {
			return index
		}
	}
	return 0
}
