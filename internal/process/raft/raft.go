// Package raft implements the Raft consensus algorithm as a deterministic state
// machine. A Node takes messages, ticks and proposals together with the current
// time, and returns in Ready the messages to send, the data to make durable and
// the entries that have committed. The package does no I/O and never blocks;
// the caller does the work that Ready describes.
package raft

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// Role is the role of a member in the current term.
type Role int

// The roles of a member. A learner, which replicates the log without voting,
// is a Follower.
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

const (
	maxAppendBytes         = 256 << 10 // approximate size of one append message
	maxInFlightEntries     = 4096      // entries sent to a member but not acknowledged
	maxPromoteLag          = 64        // entries that a learner may lack when it is promoted
	snapshotTimeoutsPerMiB = 4         // election timeouts allowed to send a MiB of a snapshot
	bytesPerMiB            = 1 << 20
	firstElectionDivisor   = 5 // a starting member waits at least ElectionTimeout / firstElectionDivisor
)

// Config configures a Node. All fields except Assert are required.
type Config struct {
	// ID is the identity of this member.
	ID string
	// HeartbeatInterval is the time between heartbeats of a leader.
	HeartbeatInterval time.Duration
	// ElectionTimeout is the minimum time without contact from a leader after
	// which a voter starts an election. Each wait is chosen at random between
	// one and two times ElectionTimeout.
	ElectionTimeout time.Duration
	// Rand randomizes the election timeouts.
	Rand *rand.Rand
	// Assert, if not nil, is called when an invariant is violated.
	Assert func(invariant, detail string)
}

// State is the durable state from which a member restarts.
type State struct {
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
}

// Node is the Raft state of one member. It is not safe for concurrent use.
type Node struct {
	cfg  Config
	log  entryLog
	term uint64
	vote string // member voted for in term, empty for none
	role Role
	// leader is the leader of the term, empty if unknown.
	leader string
	now    time.Time

	members      []*raftpb.Member
	membersIndex uint64 // index of the entry that holds members
	// previousMembers is the member list before members until that has committed,
	// and nil from then on.
	previousMembers []*raftpb.Member
	voters          [][]string           // of each member list in effect
	peers           map[string]*progress // on the leader, for each other member
	lost            map[string]bool      // members whose disks are known to be lost

	votes         map[string]vote // by the voter that granted it
	forced        bool            // the leader asked for this campaign, to transfer leadership
	leaderContact time.Time
	// nextCampaignAt is when the next campaign starts.
	nextCampaignAt time.Time
	// voteResendAt is when vote requests without a reply are sent again.
	voteResendAt time.Time
	heartbeatAt  time.Time
	// quorumCheckAt is when the leader next checks that a quorum is in contact.
	quorumCheckAt time.Time

	transferTo       string // target of a leadership transfer, empty for none
	transferDeadline time.Time

	reads readQueue

	durableTerm        uint64 // newest term known to be on disk
	minValidSeq        uint64 // Persisted ignores the log index of writes with a lower Seq
	seq                uint64 // Seq of the last Ready that had one
	pendingWrites      []pendingWrite
	out                Ready
	lastReadyHardState *raftpb.HardState
	lastReadyCommit    uint64 // commit index at the last call of Ready
}

// New returns a member that continues from state. A member whose state is
// empty has no member list and waits until a leader sends one.
func New(now time.Time, cfg Config, state State) *Node {
	n := &Node{cfg: cfg, now: now, peers: map[string]*progress{}, lost: map[string]bool{}}
	n.log = newEntryLog(state.Snapshot, state.Entries)
	hard := state.HardState
	if hard == nil {
		hard = &raftpb.HardState{}
	}
	n.term = max(hard.GetTerm(), state.Snapshot.GetTerm())
	n.vote = hard.GetVote()
	n.durableTerm = n.term
	n.lastReadyHardState = proto.CloneOf(hard)
	n.log.commitIndex = max(n.log.commitIndex, min(hard.GetCommit(), n.log.last()))
	n.loadMembers()
	n.resetElectionTimer()
	// A live leader makes the other members reject the pre-vote, so a restarting
	// member can start its first campaign early without disrupting it. When all
	// members restart at once, they elect a leader sooner.
	n.nextCampaignAt = now.Add(cfg.ElectionTimeout/firstElectionDivisor + time.Duration(cfg.Rand.Int64N(int64(cfg.ElectionTimeout/2)+1)))
	if len(n.members) == 1 && n.isVoter(n.cfg.ID) {
		n.nextCampaignAt = now
	}
	return n
}

// Tick advances the node's clock to now. It must be called several times per
// heartbeat interval.
func (n *Node) Tick(now time.Time) {
	n.now = now
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if now.Before(n.nextCampaignAt) {
		n.resendVoteRequests()
		return
	}
	if n.isVoter(n.cfg.ID) {
		n.campaign(false)
		return
	}
	n.resetElectionTimer()
}

// Step handles a message from another member.
func (n *Node) Step(now time.Time, m *raftpb.Message) {
	n.now = now
	if m.GetTo() != n.cfg.ID {
		return
	}
	n.recordLost(m.GetLost())
	if !n.updateTerm(m) {
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

// updateTerm moves to the message's term if that is newer, and reports whether
// Step must handle the message. Reads need no check of the term, and a pre-vote
// carries a term that its sender has not entered.
func (n *Node) updateTerm(m *raftpb.Message) bool {
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
		n.replyNewerTerm(m)
		return false
	}
	return true
}

// replyNewerTerm sends the current term to the sender of m, whose term is older.
// Any reply with a newer term makes the sender a follower.
func (n *Node) replyNewerTerm(m *raftpb.Message) {
	switch m.GetKind() {
	case raftpb.MessageKind_APPEND, raftpb.MessageKind_INSTALL, raftpb.MessageKind_HEARTBEAT:
		n.sendAfterSync(&raftpb.Message{Kind: raftpb.MessageKind_HEARTBEAT_REPLY, To: m.GetFrom()})
	case raftpb.MessageKind_VOTE:
		n.sendAfterSync(&raftpb.Message{Kind: raftpb.MessageKind_VOTE_REPLY, To: m.GetFrom(), Reject: true})
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
	n.resetElectionTimer()
}

func (n *Node) resetElectionTimer() {
	timeout := n.cfg.ElectionTimeout
	n.nextCampaignAt = n.now.Add(timeout + time.Duration(n.cfg.Rand.Int64N(int64(timeout))))
}

// leaderAlive reports whether a leader was in contact within the last election
// timeout. Votes are then denied to other candidates, because an election would
// only disrupt a working leader.
func (n *Node) leaderAlive() bool {
	if n.role == Leader {
		return true
	}
	return n.leader != "" && n.now.Sub(n.leaderContact) < n.cfg.ElectionTimeout
}

func (n *Node) assert(holds bool, invariant, format string, args ...any) {
	if !holds && n.cfg.Assert != nil {
		n.cfg.Assert(invariant, fmt.Sprintf("member %s term %d: ", n.cfg.ID, n.term)+fmt.Sprintf(format, args...))
	}
}

func (n *Node) fillHeader(m *raftpb.Message) *raftpb.Message {
	m.Format = raftpb.Format
	m.From = n.cfg.ID
	if m.GetTerm() == 0 {
		m.Term = n.term
	}
	m.Lost = n.lostMembers()
	return m
}

// send queues a message that may be sent before the writes of the same Ready are
// durable.
func (n *Node) send(m *raftpb.Message) {
	n.out.Messages = append(n.out.Messages, n.fillHeader(m))
}

// sendAfterSync queues a message that may be sent only once the writes of the
// same Ready are durable.
func (n *Node) sendAfterSync(m *raftpb.Message) {
	n.out.MessagesAfterSync = append(n.out.MessagesAfterSync, n.fillHeader(m))
}
