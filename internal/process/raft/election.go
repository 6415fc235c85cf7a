package raft

import (
	"time"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// resetCampaign sets when to try again. Rivals that split the votes have all
// lost their leader, so that the next try need not wait a whole timeout.
func (n *Node) resetCampaign() {
	span := n.cfg.ElectionTimeout
	n.electAt = n.now.Add(span/2 + time.Duration(n.cfg.Rand.Int64N(int64(span))))
}

// campaign stands for election: first without a new term, to learn whether
// a quorum would vote, unless the leader itself asked for it.
func (n *Node) campaign(forced bool) {
	n.votes = map[string]bool{}
	n.leader = ""
	n.forced = forced
	n.resetCampaign()
	if !forced {
		n.role = PreCandidate
		n.votes[n.cfg.ID] = true
		if n.tally(true) {
			n.stand()
			return
		}
		n.askVotes(raftpb.MessageKind_PRE_VOTE, n.term+1)
		return
	}
	n.stand()
}

// stand opens a new term and asks for votes in it. The own vote counts once
// it is durable.
func (n *Node) stand() {
	n.role = Candidate
	n.term++
	n.vote = n.cfg.ID
	n.leader = ""
	n.votes = map[string]bool{}
	n.resetCampaign()
	n.askVotes(raftpb.MessageKind_VOTE, n.term)
}

// askAgain asks those that have not voted, since a request or its answer may be
// lost: to begin anew would take another election timeout, in which nothing
// commits.
func (n *Node) askAgain() {
	if n.now.Before(n.askAt) {
		return
	}
	switch n.role {
	case PreCandidate:
		n.askVotes(raftpb.MessageKind_PRE_VOTE, n.term+1)
	case Candidate:
		n.askVotes(raftpb.MessageKind_VOTE, n.term)
	default:
	}
}

func (n *Node) askVotes(kind raftpb.MessageKind, term uint64) {
	n.askAt = n.now.Add(n.cfg.HeartbeatInterval)
	for _, member := range n.members {
		if member.GetLearner() || member.GetId() == n.cfg.ID || n.votes[member.GetId()] {
			continue
		}
		n.afterSync(&raftpb.Message{
			Kind:    kind,
			To:      member.GetId(),
			Term:    term,
			Index:   n.log.last(),
			LogTerm: n.log.lastTerm(),
			Forced:  n.forced,
		})
	}
}

func (n *Node) onVote(m *raftpb.Message) {
	if m.GetKind() == raftpb.MessageKind_PRE_VOTE {
		n.onPreVote(m)
		return
	}
	free := n.vote == "" || n.vote == m.GetFrom()
	granted := free && n.log.upToDate(m.GetIndex(), m.GetLogTerm())
	if granted {
		n.role = Follower
		n.vote = m.GetFrom()
		n.resetElection()
	}
	n.afterSync(&raftpb.Message{Kind: raftpb.MessageKind_VOTE_REPLY, To: m.GetFrom(), Reject: !granted})
}

func (n *Node) onPreVote(m *raftpb.Message) {
	granted := m.GetTerm() > n.term && !n.leaderAlive() && n.log.upToDate(m.GetIndex(), m.GetLogTerm())
	granted = granted && !n.precedes(m)
	reply := &raftpb.Message{Kind: raftpb.MessageKind_PRE_VOTE_REPLY, To: m.GetFrom(), Reject: !granted}
	if granted {
		reply.Term = m.GetTerm()
		soonest := n.now.Add(n.cfg.ElectionTimeout / 4)
		if n.electAt.Before(soonest) {
			n.electAt = soonest
		}
	}
	n.afterSync(reply)
}

// precedes reports whether the own campaign goes before the rival's: of two
// members with equal logs that ask at once, the one with the smaller identity
// goes on, so that they don't split the votes.
func (n *Node) precedes(m *raftpb.Message) bool {
	equal := m.GetIndex() == n.log.last() && m.GetLogTerm() == n.log.lastTerm()
	return n.role == PreCandidate && equal && n.cfg.ID < m.GetFrom()
}

func (n *Node) onVoteReply(m *raftpb.Message) {
	switch {
	case n.role == PreCandidate && m.GetKind() == raftpb.MessageKind_PRE_VOTE_REPLY:
		if m.GetReject() || m.GetTerm() != n.term+1 {
			return
		}
		n.votes[m.GetFrom()] = true
		if n.tally(true) {
			n.stand()
		}
	case n.role == Candidate && m.GetKind() == raftpb.MessageKind_VOTE_REPLY:
		if m.GetReject() {
			return
		}
		n.votes[m.GetFrom()] = true
		n.tryLead()
	}
}

// tryLead becomes leader once a quorum, the own durable vote among it, has
// voted.
func (n *Node) tryLead() {
	if n.role == Candidate && n.tally(n.durableTerm == n.term) {
		n.becomeLeader()
	}
}

// tally reports whether a quorum of the voters has voted.
func (n *Node) tally(own bool) bool {
	return n.quorum(func(id string) bool {
		if id == n.cfg.ID {
			return own
		}
		return n.votes[id]
	})
}

// quorum reports whether most voters fit.
func (n *Node) quorum(fits func(id string) bool) bool {
	voters := 0
	count := 0
	for _, member := range n.members {
		if member.GetLearner() {
			continue
		}
		voters++
		if fits(member.GetId()) {
			count++
		}
	}
	return count > voters/2
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.cfg.ID
	n.transferTo = ""
	n.reads.round = 0
	n.peers = map[string]*progress{}
	n.loadPeers()
	n.checkAt = n.now.Add(n.cfg.ElectionTimeout)
	n.appendOwn(raftpb.EntryKind_ENTRY_EMPTY, nil)
	n.heartbeat()
}

func (n *Node) tickLeader() {
	if !n.now.Before(n.checkAt) {
		n.checkAt = n.now.Add(n.cfg.ElectionTimeout / 4)
		if !n.heardQuorum() {
			n.becomeFollower(n.term, "")
			return
		}
	}
	if n.transferTo != "" && !n.now.Before(n.transferUntil) {
		n.transferTo = ""
	}
	if !n.now.Before(n.heartbeatAt) {
		n.heartbeat()
	}
}

func (n *Node) heardQuorum() bool {
	return n.quorum(func(id string) bool {
		peer := n.peers[id]
		return id == n.cfg.ID || (peer != nil && n.now.Sub(peer.heard) < n.cfg.ElectionTimeout)
	})
}

// heartbeat opens a new round of heartbeats.
func (n *Node) heartbeat() {
	n.heartbeatAt = n.now.Add(n.cfg.HeartbeatInterval)
	n.reads.round++
	for _, member := range n.members {
		peer := n.peers[member.GetId()]
		if peer == nil {
			continue
		}
		n.send(&raftpb.Message{
			Kind:   raftpb.MessageKind_HEARTBEAT,
			To:     member.GetId(),
			Commit: min(n.log.commit, peer.match),
			Round:  n.reads.round,
		})
	}
}

// TransferLeader hands leadership to a voter once that has caught up; it
// reports whether the transfer was begun. Until it ends or an election
// timeout has passed, proposals are refused.
func (n *Node) TransferLeader(now time.Time, to string) bool {
	n.now = now
	if n.role != Leader || to == n.cfg.ID || !n.isVoter(to) || n.transferTo != "" {
		return false
	}
	n.transferTo = to
	n.transferUntil = now.Add(n.cfg.ElectionTimeout)
	n.tryTransfer()
	return true
}

// Transferring reports whether a transfer of leadership is under way.
func (n *Node) Transferring() bool { return n.transferTo != "" }

func (n *Node) tryTransfer() {
	peer := n.peers[n.transferTo]
	if n.transferTo == "" || peer == nil || peer.match < n.log.last() {
		return
	}
	n.send(&raftpb.Message{Kind: raftpb.MessageKind_TIMEOUT_NOW, To: n.transferTo})
}
