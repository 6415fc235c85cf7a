package raft

import (
	"time"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// resetRetryTimer sets when the next campaign starts if the current one fails.
// Candidates that split the vote have all lost contact with the leader, so the
// next campaign need not wait a full election timeout.
func (n *Node) resetRetryTimer() {
	timeout := n.cfg.ElectionTimeout
	n.nextCampaignAt = n.now.Add(timeout/2 + time.Duration(n.cfg.Rand.Int64N(int64(timeout))))
}

// campaign starts a campaign with a pre-vote, which asks whether a quorum would
// vote for this member, without starting a new term, or, if forced, goes straight
// to the election. A campaign is forced if the leader transfers leadership.
func (n *Node) campaign(forced bool) {
	n.votes = map[string]vote{}
	n.leader = ""
	n.forced = forced
	n.resetRetryTimer()
	if !forced {
		n.role = PreCandidate
		n.votes[n.cfg.ID] = vote{}
		if n.hasVoteQuorum(true) {
			n.startElection()
			return
		}
		n.requestVotes(raftpb.MessageKind_PRE_VOTE, n.term+1)
		return
	}
	n.startElection()
}

// startElection starts a new term and requests votes in it. The member's own
// vote counts once it is durable.
func (n *Node) startElection() {
	n.role = Candidate
	n.term++
	n.vote = n.cfg.ID
	n.leader = ""
	n.votes = map[string]vote{}
	n.resetRetryTimer()
	n.requestVotes(raftpb.MessageKind_VOTE, n.term)
}

// resendVoteRequests asks again the voters that have not replied, because a
// request or its reply may be lost. Waiting for the next campaign would take
// another election timeout, during which nothing commits.
func (n *Node) resendVoteRequests() {
	if n.now.Before(n.voteResendAt) {
		return
	}
	switch n.role {
	case PreCandidate:
		n.requestVotes(raftpb.MessageKind_PRE_VOTE, n.term+1)
	case Candidate:
		n.requestVotes(raftpb.MessageKind_VOTE, n.term)
	default:
	}
}

// requestVotes sends a vote request of the given kind to all voters that have
// not voted for this member.
func (n *Node) requestVotes(kind raftpb.MessageKind, term uint64) {
	n.voteResendAt = n.now.Add(n.cfg.HeartbeatInterval)
	for _, member := range n.allMembers() {
		id := member.GetId()
		if _, granted := n.votes[id]; granted || member.GetLearner() || id == n.cfg.ID {
			continue
		}
		n.sendAfterSync(&raftpb.Message{
			Kind:    kind,
			To:      id,
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
	canVote := n.vote == "" || n.vote == m.GetFrom()
	granted := canVote && n.log.candidateUpToDate(m.GetIndex(), m.GetLogTerm())
	if granted {
		n.role = Follower
		n.vote = m.GetFrom()
		n.resetElectionTimer()
	}
	n.sendAfterSync(n.newVoteReply(raftpb.MessageKind_VOTE_REPLY, m.GetFrom(), granted))
}

// newVoteReply returns a reply to a vote request. It names the last entry that this
// member knows to have committed.
func (n *Node) newVoteReply(kind raftpb.MessageKind, to string, granted bool) *raftpb.Message {
	return &raftpb.Message{
		Kind: kind, To: to, Reject: !granted,
		Commit: n.log.commitIndex, LogTerm: n.termOrZero(n.log.commitIndex),
	}
}

func (n *Node) onPreVote(m *raftpb.Message) {
	granted := m.GetTerm() > n.term && !n.leaderAlive() && n.log.candidateUpToDate(m.GetIndex(), m.GetLogTerm())
	granted = granted && !n.precedesRival(m)
	reply := n.newVoteReply(raftpb.MessageKind_PRE_VOTE_REPLY, m.GetFrom(), granted)
	if granted {
		reply.Term = m.GetTerm()
		// Gives the candidate time to win before this member campaigns itself.
		earliest := n.now.Add(n.cfg.ElectionTimeout / 4)
		if n.nextCampaignAt.Before(earliest) {
			n.nextCampaignAt = earliest
		}
	}
	n.sendAfterSync(reply)
}

// precedesRival reports whether this member's pre-vote takes precedence over
// the one in m. Of two members with equal logs that campaign at the same time,
// the one with the smaller ID proceeds, so that they don't split the vote.
func (n *Node) precedesRival(m *raftpb.Message) bool {
	equal := m.GetIndex() == n.log.last() && m.GetLogTerm() == n.log.lastTerm()
	return n.role == PreCandidate && equal && n.cfg.ID < m.GetFrom()
}

func (n *Node) onVoteReply(m *raftpb.Message) {
	// Entries with the same index and term end equal logs, so the entry has
	// committed here, too. That may end a change of members whose leader is gone.
	if term, ok := n.log.termAt(m.GetCommit()); ok && m.GetCommit() > 0 && term == m.GetLogTerm() {
		n.setCommit(m.GetCommit())
	}
	switch {
	case n.role == PreCandidate && m.GetKind() == raftpb.MessageKind_PRE_VOTE_REPLY:
		if m.GetReject() || m.GetTerm() != n.term+1 {
			return
		}
		n.votes[m.GetFrom()] = vote{knownLost: m.GetLost()}
		if n.hasVoteQuorum(true) {
			n.startElection()
		}
	case n.role == Candidate && m.GetKind() == raftpb.MessageKind_VOTE_REPLY:
		if m.GetReject() {
			return
		}
		n.votes[m.GetFrom()] = vote{knownLost: m.GetLost()}
		n.tryBecomeLeader()
	}
}

// tryBecomeLeader makes a candidate the leader once it has a quorum of votes.
// Its own vote counts only when durable.
func (n *Node) tryBecomeLeader() {
	if n.role == Candidate && n.hasVoteQuorum(n.durableTerm == n.term) {
		n.becomeLeader()
	}
}

// hasVoteQuorum reports whether a quorum of voters has voted for this member.
// countOwnVote tells whether its own vote counts.
func (n *Node) hasVoteQuorum(countOwnVote bool) bool {
	return n.hasQuorum(func(id string) (supports bool, knownLost []string) {
		if id == n.cfg.ID {
			return countOwnVote, n.lostMembers()
		}
		vote, granted := n.votes[id]
		return granted, vote.knownLost
	})
}

func (n *Node) becomeLeader() {
	n.role = Leader
	n.leader = n.cfg.ID
	n.transferTo = ""
	n.reads.heartbeatRound = 0
	n.peers = map[string]*progress{}
	n.updatePeers()
	n.quorumCheckAt = n.now.Add(n.cfg.ElectionTimeout)
	n.appendEntry(raftpb.EntryKind_ENTRY_EMPTY, nil)
	n.sendHeartbeats()
}

func (n *Node) tickLeader() {
	if !n.now.Before(n.quorumCheckAt) {
		n.quorumCheckAt = n.now.Add(n.cfg.ElectionTimeout / 4)
		if !n.quorumActive() {
			n.becomeFollower(n.term, "")
			return
		}
	}
	if n.transferTo != "" && !n.now.Before(n.transferDeadline) {
		n.transferTo = ""
	}
	if !n.now.Before(n.heartbeatAt) {
		n.sendHeartbeats()
	}
}

// quorumActive reports whether a quorum has been in contact with this leader
// within the last election timeout.
func (n *Node) quorumActive() bool {
	return n.hasPeerQuorum(func(peer *progress) bool {
		return n.now.Sub(peer.lastContact) < n.cfg.ElectionTimeout
	})
}

// sendHeartbeats starts a new heartbeat round.
func (n *Node) sendHeartbeats() {
	n.heartbeatAt = n.now.Add(n.cfg.HeartbeatInterval)
	n.reads.heartbeatRound++
	for _, member := range n.allMembers() {
		peer := n.peers[member.GetId()]
		if peer == nil {
			continue
		}
		n.send(&raftpb.Message{
			Kind:   raftpb.MessageKind_HEARTBEAT,
			To:     member.GetId(),
			Commit: min(n.log.commitIndex, peer.match),
			Round:  n.reads.heartbeatRound,
		})
	}
}

// TransferLeader transfers leadership to a voter once its log has caught up. It
// reports whether the transfer was started. Until the transfer ends or an
// election timeout has passed, proposals are rejected.
func (n *Node) TransferLeader(now time.Time, to string) bool {
	n.now = now
	if n.role != Leader || to == n.cfg.ID || !n.isVoter(to) || n.transferTo != "" {
		return false
	}
	n.transferTo = to
	n.transferDeadline = now.Add(n.cfg.ElectionTimeout)
	n.tryTransfer()
	return true
}

// Transferring reports whether a leadership transfer is in progress.
func (n *Node) Transferring() bool { return n.transferTo != "" }

// tryTransfer tells the target of a leadership transfer to start an election if
// its log has caught up.
func (n *Node) tryTransfer() {
	peer := n.peers[n.transferTo]
	if n.transferTo == "" || peer == nil || peer.match < n.log.last() {
		return
	}
	n.send(&raftpb.Message{Kind: raftpb.MessageKind_TIMEOUT_NOW, To: n.transferTo})
}
