// Package raft is the pure core of the replicated log: it takes messages,
// ticks and proposals with the time, and gives out what to send, what to make
// durable and what has committed. It does no input or output and never
// blocks; see Ready for what its shell owes it.
package raft

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// Role is what a member is in the current term.
type Role int

// The roles of a member. A learner is a follower in this sense.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

// String returns the role's name.
func (r Role) String() string {
	return [...]string{"Follower", "PreCandidate", "Candidate", "Leader"}[r]
}

// Limits of what the core sends in one go.
const (
	maxAppendBytes   = 256 << 10
	maxInFlight      = 4096
	promoteLag       = 64
	snapshotPatience = 4 // election timeouts that a snapshotUnit may take
	snapshotUnit     = 1 << 20
	firstWaitPart    = 5 // part of an election timeout that a start waits at least
)

// Config sets up a Node. All fields but Assert are required.
type Config struct {
	// ID is the member's own identity.
	ID string
	// HeartbeatInterval is the time between two heartbeats of a leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the shortest silence after which a voter stands;
	// each wait is drawn between one and two of it.
	ElectionTimeout time.Duration
	// Rand draws the waits.
	Rand *rand.Rand
	// Assert is called when an invariant is broken.
	Assert func(invariant, detail string)
}

// State is what a member kept on disk.
type State struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
}

// Node is one member's side of the replicated log. It is not safe for
// concurrent use.
type Node struct {
	cfg  Config
	log  entryLog
	term uint64
	vote string
	role Role
	// leader is the leader of the term, empty while unknown.
	leader string
	now    time.Time

	members      []*raftpb.Member
	membersIndex uint64
	peers        map[string]*progress

	votes       map[string]bool
	forced      bool
	heardLeader time.Time
	electAt     time.Time
	// askAt is when voters that have not answered are asked again.
	askAt       time.Time
	heartbeatAt time.Time
	checkAt     time.Time

	transferTo    string
	transferUntil time.Time

	reads readQueue

	durableTerm uint64
	truncated   uint64
	seq         uint64
	pending     []pendingWrite
	out         Ready
	saved       *raftpb.HardState
	shownCommit uint64
}

// New returns a member that goes on from what state holds. A member with an
// empty state has no member list: it waits to be given one by a leader.
func New(now time.Time, cfg Config, state State) *Node {
	n := &Node{cfg: cfg, now: now, peers: map[string]*progress{}}
	n.log = newEntryLog(state.Snapshot, state.Entries)
	hard := state.HardState
	if hard == nil {
		hard = &raftpb.HardState{}
	}
	n.term = max(hard.GetTerm(), state.Snapshot.GetTerm())
	n.vote = hard.GetVote()
	n.durableTerm = n.term
	n.saved = proto.CloneOf(hard)
	n.log.commit = max(n.log.commit, min(hard.GetCommit(), n.log.last()))
	n.loadMembers()
	n.resetElection()
	// A leader that lives turns the pre-vote down, so that a member which starts
	// need not wait for long; all that start at once are soon led again.
	n.electAt = now.Add(cfg.ElectionTimeout/firstWaitPart + time.Duration(cfg.Rand.Int64N(int64(cfg.ElectionTimeout/2)+1)))
	if len(n.members) == 1 && n.isVoter(n.cfg.ID) {
		n.electAt = now
	}
	return n
}

// Tick tells the node the time; it is called several times per heartbeat
// interval.
func (n *Node) Tick(now time.Time) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if now.Before(n.electAt) {
		n.askAgain()
		return
	}
	if n.isVoter(n.cfg.ID) {
		n.campaign(false)
		return
	}
	n.resetElection()
}

// Step takes a message from another member.
func (n *Node) Step(now time.Time, m *raftpb.Message) {
	n.now = now
	if m.GetTo() != n.cfg.ID {
		return
	}
	if !n.checkTerm(m) {
		return
	}
	switch m.GetKind() {
	case raftpb.MessageKind_PRE_VOTE, raftpb.MessageKind_VOTE:
		n.onVote(m)
	case raftpb.MessageKind_PRE_VOTE_REPLY, raftpb.MessageKind_VOTE_REPLY:
		n.onVoteReply(m)
	case raftpb.MessageKind_APPEND:
		n.onAppend(m)
	case raftpb.MessageKind_APPEND_REPLY:
		n.onAppendReply(m)
	case raftpb.MessageKind_HEARTBEAT:
		n.onHeartbeat(m)
	case raftpb.MessageKind_HEARTBEAT_REPLY:
		n.onHeartbeatReply(m)
	case raftpb.MessageKind_INSTALL:
		n.onInstall(m)
	case raftpb.MessageKind_READ:
		n.onRead(m)
	case raftpb.MessageKind_READ_REPLY:
		n.finishRead(m.GetRead(), m.GetIndex())
	case raftpb.MessageKind_TIMEOUT_NOW:
		if n.isVoter(n.cfg.ID) && m.GetTerm() == n.term {
			n.campaign(true)
		}
	}
}

// checkTerm moves to the message's term where it is newer, and reports
// whether the message still counts.
func (n *Node) checkTerm(m *raftpb.Message) bool {
	kind := m.GetKind()
	switch kind {
	case raftpb.MessageKind_READ, raftpb.MessageKind_READ_REPLY:
		return true
	case raftpb.MessageKind_PRE_VOTE:
		return true
	case raftpb.MessageKind_PRE_VOTE_REPLY:
		if m.GetReject() && m.GetTerm() > n.term {
			n.becomeFollower(m.GetTerm(), "")
			return false
		}
		return true
	case raftpb.MessageKind_VOTE:
		if m.GetTerm() > n.term && !m.GetForced() && n.leaderAlive() {
			return false
		}
	}
	if m.GetTerm() > n.term {
		n.becomeFollower(m.GetTerm(), "")
	}
	if m.GetTerm() < n.term {
		n.answerOldTerm(m)
		return false
	}
	return true
}

// answerOldTerm lets a member of an older term know of the newer one.
func (n *Node) answerOldTerm(m *raftpb.Message) {
	switch m.GetKind() {
	case raftpb.MessageKind_APPEND, raftpb.MessageKind_INSTALL, raftpb.MessageKind_HEARTBEAT:
		n.afterSync(&raftpb.Message{Kind: raftpb.MessageKind_HEARTBEAT_REPLY, To: m.GetFrom()})
	case raftpb.MessageKind_VOTE:
		n.afterSync(&raftpb.Message{Kind: raftpb.MessageKind_VOTE_REPLY, To: m.GetFrom(), Reject: true})
	}
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term = term
		n.vote = ""
	}
	if n.role == Leader {
		n.dropReads()
	}
	n.role = Follower
	n.leader = leader
	n.transferTo = ""
	n.resetElection()
}

func (n *Node) resetElection() {
	span := n.cfg.ElectionTimeout
	n.electAt = n.now.Add(span + time.Duration(n.cfg.Rand.Int64N(int64(span))))
}

// leaderAlive reports whether a leader was heard within an election timeout;
// a vote against it would only disturb.
func (n *Node) leaderAlive() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != "" && n.now.Sub(n.heardLeader) < n.cfg.ElectionTimeout
}

func (n *Node) assert(holds bool, invariant, detail string, args ...any) {
	if !holds && n.cfg.Assert != nil {
		n.cfg.Assert(invariant, fmt.Sprintf("member %s term %d: ", n.cfg.ID, n.term)+fmt.Sprintf(detail, args...))
	}
}

func (n *Node) stamp(m *raftpb.Message) *raftpb.Message {
	m.Format = raftpb.Format
	m.From = n.cfg.ID
	if m.GetTerm() == 0 {
		m.Term = n.term
	}
	return m
}

// send gives out a message that depends on nothing that is not yet durable.
func (n *Node) send(m *raftpb.Message) {
	n.out.Messages = append(n.out.Messages, n.stamp(m))
}

// afterSync gives out a message that waits for this Ready's writes.
func (n *Node) afterSync(m *raftpb.Message) {
	n.out.MessagesAfterSync = append(n.out.MessagesAfterSync, n.stamp(m))
}
