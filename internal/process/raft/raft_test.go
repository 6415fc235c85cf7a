package raft_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/raft"
	"cactusline.dev/cactusline/internal/process/raftpb"
)

const (
	heartbeat = 20 * time.Millisecond
	election  = 100 * time.Millisecond
	tick      = 5 * time.Millisecond
)

// cluster holds members whose messages arrive at once, unless cut off.
type cluster struct {
	now   time.Time
	ids   []string
	nodes map[string]*raft.Node
	cut   map[string]bool
	reads map[string][]raft.ReadResult
	// terms holds the term of each committed entry.
	terms map[uint64]uint64
	t     *testing.T
	// drop drops single messages.
	drop func(m *raftpb.Message) bool
}

func newCluster(t *testing.T, voters, others int) *cluster {
	c := &cluster{
		now: time.Unix(100, 0), nodes: map[string]*raft.Node{}, cut: map[string]bool{},
		reads: map[string][]raft.ReadResult{}, terms: map[uint64]uint64{}, t: t, drop: func(*raftpb.Message) bool { return false },
	}
	list := &raftpb.Members{}
	for i := range voters {
		list.Members = append(list.Members, &raftpb.Member{Id: fmt.Sprintf("m%d", i+1)})
	}
	for i := range voters + others {
		id := fmt.Sprintf("m%d", i+1)
		state := raft.State{}
		if i < voters {
			state.Snapshot = &raftpb.Snapshot{Index: 1, Term: 1, Members: list}
		}
		c.ids = append(c.ids, id)
		c.nodes[id] = raft.New(c.now, raft.Config{
			ID: id, HeartbeatInterval: heartbeat, ElectionTimeout: election,
			Rand:   rand.New(rand.NewPCG(uint64(i), 1)),
			Assert: func(invariant, detail string) { t.Errorf("%s: %s", invariant, detail) },
		}, state)
	}
	return c
}

// pump does what all cores ask for until none asks for more.
func (c *cluster) pump() {
	for busy := true; busy; {
		busy = false
		for _, id := range c.ids {
			ready, ok := c.nodes[id].Ready(c.now)
			if !ok {
				continue
			}
			busy = true
			c.note(id, ready.Committed)
			c.reads[id] = append(c.reads[id], ready.Reads...)
			if ready.Seq > 0 {
				c.nodes[id].Persisted(c.now, ready.Seq)
			}
			for _, m := range append(ready.Messages, ready.MessagesAfterSync...) {
				if to := c.nodes[m.GetTo()]; to != nil && !c.cut[id] && !c.cut[m.GetTo()] && !c.drop(m) {
					to.Step(c.now, m)
				}
			}
		}
	}
}

// note checks that all members commit the same entries.
func (c *cluster) note(id string, committed []*raftpb.Entry) {
	for _, entry := range committed {
		term, ok := c.terms[entry.GetIndex()]
		assert.Check(c.t, !ok || term == entry.GetTerm(), "%s committed another entry at %d", id, entry.GetIndex())
		c.terms[entry.GetIndex()] = entry.GetTerm()
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(tick)
		for _, id := range c.ids {
			c.nodes[id].Tick(c.now)
		}
		c.pump()
	}
}

func (c *cluster) leader(t *testing.T) (string, *raft.Node) {
	t.Helper()
	for _, id := range c.ids {
		if !c.cut[id] && c.nodes[id].Status().Role == raft.Leader {
			return id, c.nodes[id]
		}
	}
	t.Fatal("no leader")
	return "", nil
}

func TestPreVoteKeepsReturningMemberFromDisturbing(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.run(time.Second)
	id, leader := c.leader(t)
	term := leader.Status().Term
	for _, other := range c.ids {
		if other == id {
			continue
		}
		c.cut[other] = true
		c.run(time.Second)
		c.cut[other] = false
		c.run(time.Second)
		assert.Equal(t, c.nodes[other].Status().Leader, id)
	}
	assert.Equal(t, leader.Status().Role, raft.Leader)
	assert.Equal(t, leader.Status().Term, term)
}

func TestLeaderWithoutQuorumStepsDownAndConfirmsNoRead(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.run(time.Second)
	id, leader := c.leader(t)
	leader.ReadIndex(c.now, 1)
	c.pump()
	assert.Equal(t, len(c.reads[id]), 1)

	c.cut[id] = true
	leader.ReadIndex(c.now, 2)
	c.run(election * 3 / 2)
	assert.Equal(t, leader.Status().Role, raft.Follower)
	assert.Equal(t, len(c.reads[id]), 1)
	c.run(time.Second)
	successor, _ := c.leader(t)
	c.cut[id] = false
	c.run(time.Second)
	assert.Equal(t, leader.Status().Leader, successor)
	assert.Equal(t, len(c.reads[id]), 1)
}

func TestMemberChangeWaitsForOwnTermThenForTheOneBefore(t *testing.T) {
	c := newCluster(t, 3, 2)
	add := func(id string) raft.Change {
		return raft.Change{Kind: raft.AddLearner, Member: &raftpb.Member{Id: id}}
	}
	c.drop = func(m *raftpb.Message) bool { return m.GetKind() == raftpb.MessageKind_APPEND }
	c.run(4 * election)
	_, leader := c.leader(t)
	_, _, refusal := leader.ProposeMemberChange(c.now, add("m4"))
	assert.Equal(t, refusal, raft.OwnTermUncommitted)

	c.drop = func(*raftpb.Message) bool { return false }
	c.run(time.Second)
	_, leader = c.leader(t)
	_, _, refusal = leader.ProposeMemberChange(c.now, add("m4"))
	assert.Equal(t, refusal, raft.Accepted)
	_, _, refusal = leader.ProposeMemberChange(c.now, add("m5"))
	assert.Equal(t, refusal, raft.ChangeInProgress)
}

// makeLeader hands leadership to a member.
func (c *cluster) makeLeader(t *testing.T, id string) *raft.Node {
	t.Helper()
	if at, leader := c.leader(t); at != id {
		assert.Assert(t, leader.TransferLeader(c.now, id))
		c.run(election)
	}
	assert.Equal(t, c.nodes[id].Status().Role, raft.Leader)
	return c.nodes[id]
}

// TestChangesOfTwoLeadersKeepQuorumsOverlapping lets one leader add a voter
// and the next, before it has committed an entry of its own, remove the first
// leader. The two lists would have quorums without a common member.
func TestChangesOfTwoLeadersKeepQuorumsOverlapping(t *testing.T) {
	c := newCluster(t, 4, 1)
	c.run(time.Second)
	m1 := c.makeLeader(t, "m1")
	fresh := &raftpb.Member{Id: "m5"}
	_, _, refusal := m1.ProposeMemberChange(c.now, raft.Change{Kind: raft.AddLearner, Member: fresh})
	assert.Equal(t, refusal, raft.Accepted)
	c.run(time.Second)

	only := func(to string) func(m *raftpb.Message) bool {
		return func(m *raftpb.Message) bool { return m.GetKind() == raftpb.MessageKind_APPEND && m.GetTo() != to }
	}
	c.drop = only("m5")
	_, _, refusal = m1.ProposeMemberChange(c.now, raft.Change{Kind: raft.Promote, Member: fresh})
	assert.Equal(t, refusal, raft.Accepted)
	c.pump()

	c.cut["m1"], c.cut["m5"] = true, true
	c.drop = func(m *raftpb.Message) bool { return m.GetKind() == raftpb.MessageKind_APPEND }
	c.run(time.Second)
	second, leader := c.leader(t)
	partner := map[string]string{"m2": "m3", "m3": "m4", "m4": "m2"}[second]
	c.drop = only(partner)
	_, _, refusal = leader.ProposeMemberChange(c.now, raft.Change{Kind: raft.Remove, Member: &raftpb.Member{Id: "m1"}})
	assert.Check(t, refusal == raft.OwnTermUncommitted, refusal)
	c.run(election)

	c.cut = map[string]bool{second: true, partner: true}
	c.drop = func(*raftpb.Message) bool { return false }
	c.run(2 * time.Second)
	c.cut = map[string]bool{}
	c.run(2 * time.Second)
	c.leader(t)
}

// TestOldTermsCommitOnlyUnderOwnEntry spreads an entry to a majority under a
// later leader, none of whose own entries spreads. A member with a newer entry
// at the same index may still replace it, so it must not count as committed.
func TestOldTermsCommitOnlyUnderOwnEntry(t *testing.T) {
	c := newCluster(t, 5, 0)
	c.run(time.Second)
	first := c.makeLeader(t, "m1")
	c.run(time.Second)
	large := make([]byte, 1<<19) // goes alone in its message
	old := first.Status().Term
	c.drop = func(m *raftpb.Message) bool { return m.GetKind() == raftpb.MessageKind_APPEND && m.GetTo() != "m2" }
	_, _, ok := first.Propose(c.now, large)
	assert.Assert(t, ok)
	c.pump()

	c.cut = map[string]bool{"m1": true, "m2": true}
	c.drop = func(m *raftpb.Message) bool { return m.GetKind() == raftpb.MessageKind_APPEND }
	c.run(time.Second)
	second, _ := c.leader(t)

	c.cut = map[string]bool{second: true}
	c.drop = func(m *raftpb.Message) bool {
		return len(m.GetEntries()) > 0 && m.GetEntries()[0].GetTerm() > old
	}
	c.run(2 * time.Second)
	third, _ := c.leader(t)
	assert.Assert(t, third == "m1" || third == "m2")

	c.cut = map[string]bool{"m1": true, "m2": true}
	c.drop = func(*raftpb.Message) bool { return false }
	c.run(2 * time.Second)
	fourth, leader := c.leader(t)
	assert.Equal(t, fourth, second)
	assert.Equal(t, leader.Status().Commit, leader.Status().LastIndex)
}

func TestLearnerIsPromotedOnlyOnceCaughtUp(t *testing.T) {
	c := newCluster(t, 3, 1)
	c.run(time.Second)
	_, leader := c.leader(t)
	fresh := &raftpb.Member{Id: "m4"}
	c.cut["m4"] = true
	_, _, refusal := leader.ProposeMemberChange(c.now, raft.Change{Kind: raft.AddLearner, Member: fresh})
	assert.Equal(t, refusal, raft.Accepted)
	c.run(time.Second)
	_, _, refusal = leader.ProposeMemberChange(c.now, raft.Change{Kind: raft.Promote, Member: fresh})
	assert.Equal(t, refusal, raft.NotCaughtUp)
	c.cut["m4"] = false
	c.run(time.Second)
	_, _, refusal = leader.ProposeMemberChange(c.now, raft.Change{Kind: raft.Promote, Member: fresh})
	assert.Equal(t, refusal, raft.Accepted)
	c.run(time.Second)
	assert.Equal(t, c.nodes["m4"].Status().LastIndex, leader.Status().LastIndex)
}

func TestMessagesForAnotherIdentityCountForNothing(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.pump()
	vote := &raftpb.Message{Kind: raftpb.MessageKind_VOTE, From: "m2", To: "m1-before-the-wipe", Term: 9, Index: 99, LogTerm: 8}
	c.nodes["m1"].Step(c.now, vote)
	_, ok := c.nodes["m1"].Ready(c.now)
	assert.Assert(t, !ok)
	assert.Equal(t, c.nodes["m1"].Status().Term, uint64(1))
}

// TestLostRequestForAVoteIsSentAgain loses the first request of each kind to
// each voter, and the first answers: the campaign goes on without another one.
func TestLostRequestForAVoteIsSentAgain(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.cut["m3"] = true
	lost := map[string]bool{}
	terms := uint64(0)
	c.drop = func(m *raftpb.Message) bool {
		switch m.GetKind() {
		case raftpb.MessageKind_PRE_VOTE, raftpb.MessageKind_VOTE, raftpb.MessageKind_PRE_VOTE_REPLY, raftpb.MessageKind_VOTE_REPLY:
		default:
			return false
		}
		terms = max(terms, m.GetTerm())
		name := fmt.Sprint(m.GetKind(), m.GetFrom(), m.GetTo())
		if lost[name] {
			return false
		}
		lost[name] = true
		return true
	}
	// The longest first wait, and two rounds for each of the two kinds.
	c.run(2*election + 6*heartbeat)
	leaders := 0
	for _, id := range c.ids {
		if c.nodes[id].Status().Role == raft.Leader {
			leaders++
		}
	}
	assert.Equal(t, leaders, 1, "terms asked for: %d", terms)
	assert.Equal(t, terms, uint64(2), "a campaign began anew")
}
