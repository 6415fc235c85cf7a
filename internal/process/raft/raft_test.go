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
	heartbeatInterval = 20 * time.Millisecond
	electionTimeout   = 100 * time.Millisecond
	tickInterval      = 5 * time.Millisecond
)

// cluster runs members whose messages are delivered at once unless the sender or
// receiver is isolated.
type cluster struct {
	now      time.Time
	ids      []string
	nodes    map[string]*raft.Node
	isolated map[string]bool
	reads    map[string][]raft.ReadResult
	// terms maps the index of each committed entry to its term.
	terms map[uint64]uint64
	t     *testing.T
	// drop reports whether to lose a message.
	drop func(m *raftpb.Message) bool
}

func newCluster(t *testing.T, voters, nonMembers int) *cluster {
	c := &cluster{
		now: time.Unix(100, 0), nodes: map[string]*raft.Node{}, isolated: map[string]bool{},
		reads: map[string][]raft.ReadResult{}, terms: map[uint64]uint64{}, t: t, drop: func(*raftpb.Message) bool { return false },
	}
	list := &raftpb.Members{}
	for i := range voters {
		list.Members = append(list.Members, &raftpb.Member{Id: fmt.Sprintf("m%d", i+1)})
	}
	for i := range voters + nonMembers {
		id := fmt.Sprintf("m%d", i+1)
		state := raft.State{}
		if i < voters {
			state.Snapshot = &raftpb.Snapshot{Index: 1, Term: 1, Members: list}
		}
		c.ids = append(c.ids, id)
		c.nodes[id] = raft.New(c.now, raft.Config{
			ID: id, HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout,
			Rand:   rand.New(rand.NewPCG(uint64(i), 1)),
			Assert: func(invariant, detail string) { t.Errorf("%s: %s", invariant, detail) },
		}, state)
	}
	return c
}

// settle handles the Readys of all members until none has work left.
func (c *cluster) settle() {
	for busy := true; busy; {
		busy = false
		for _, id := range c.ids {
			ready, ok := c.nodes[id].Ready(c.now)
			if !ok {
				continue
			}
			busy = true
			c.checkCommitted(id, ready.Committed)
			c.reads[id] = append(c.reads[id], ready.Reads...)
			if ready.Seq > 0 {
				c.nodes[id].Persisted(c.now, ready.Seq)
			}
			for _, m := range append(ready.Messages, ready.MessagesAfterSync...) {
				if to := c.nodes[m.GetTo()]; to != nil && !c.isolated[id] && !c.isolated[m.GetTo()] && !c.drop(m) {
					to.Step(c.now, m)
				}
			}
		}
	}
}

// checkCommitted checks that the members commit the same entry at each index.
func (c *cluster) checkCommitted(id string, committed []*raftpb.Entry) {
	for _, entry := range committed {
		term, ok := c.terms[entry.GetIndex()]
		assert.Check(c.t, !ok || term == entry.GetTerm(), "%s committed another entry at %d", id, entry.GetIndex())
		c.terms[entry.GetIndex()] = entry.GetTerm()
	}
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(tickInterval)
		for _, id := range c.ids {
			c.nodes[id].Tick(c.now)
		}
		c.settle()
	}
}

func (c *cluster) leader(t *testing.T) (string, *raft.Node) {
	t.Helper()
	for _, id := range c.ids {
		if !c.isolated[id] && c.nodes[id].Status().Role == raft.Leader {
			return id, c.nodes[id]
		}
	}
	t.Fatal("no leader")
	return "", nil
}

// An isolated member campaigns repeatedly. Thanks to the pre-vote its term does
// not grow, so it does not depose the leader when it returns.
func TestReturningMemberDoesNotDisruptLeader(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.run(time.Second)
	id, leader := c.leader(t)
	term := leader.Status().Term
	for _, other := range c.ids {
		if other == id {
			continue
		}
		c.isolated[other] = true
		c.run(time.Second)
		c.isolated[other] = false
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
	c.settle()
	assert.Equal(t, len(c.reads[id]), 1)

	c.isolated[id] = true
	leader.ReadIndex(c.now, 2)
	c.run(electionTimeout * 3 / 2)
	assert.Equal(t, leader.Status().Role, raft.Follower)
	assert.Equal(t, len(c.reads[id]), 1)
	c.run(time.Second)
	successor, _ := c.leader(t)
	c.isolated[id] = false
	c.run(time.Second)
	assert.Equal(t, leader.Status().Leader, successor)
	assert.Equal(t, len(c.reads[id]), 1)
}

func TestMemberChangeWaitsForOwnTermAndPreviousChange(t *testing.T) {
	c := newCluster(t, 3, 2)
	add := func(id string) raft.Change {
		return raft.Change{Kind: raft.AddLearner, Member: &raftpb.Member{Id: id}}
	}
	c.drop = func(m *raftpb.Message) bool { return m.GetKind() == raftpb.MessageKind_APPEND }
	c.run(4 * electionTimeout)
	_, leader := c.leader(t)
	_, _, result := leader.ProposeMemberChange(c.now, add("m4"))
	assert.Equal(t, result, raft.OwnTermUncommitted)

	c.drop = func(*raftpb.Message) bool { return false }
	c.run(time.Second)
	_, leader = c.leader(t)
	_, _, result = leader.ProposeMemberChange(c.now, add("m4"))
	assert.Equal(t, result, raft.Accepted)
	_, _, result = leader.ProposeMemberChange(c.now, add("m5"))
	assert.Equal(t, result, raft.ChangeInProgress)
}

// makeLeader transfers leadership to a member.
func (c *cluster) makeLeader(t *testing.T, id string) *raft.Node {
	t.Helper()
	if at, leader := c.leader(t); at != id {
		assert.Assert(t, leader.TransferLeader(c.now, id))
		c.run(electionTimeout)
	}
	assert.Equal(t, c.nodes[id].Status().Role, raft.Leader)
	return c.nodes[id]
}

// One leader adds a voter, and its successor tries to remove the old leader
// before it has committed an entry of its own term. If that were accepted, the
// two member lists would have quorums without a common member.
func TestChangesOfTwoLeadersKeepQuorumsOverlapping(t *testing.T) {
	c := newCluster(t, 4, 1)
	c.run(time.Second)
	m1 := c.makeLeader(t, "m1")
	newMember := &raftpb.Member{Id: "m5"}
	_, _, result := m1.ProposeMemberChange(c.now, raft.Change{Kind: raft.AddLearner, Member: newMember})
	assert.Equal(t, result, raft.Accepted)
	c.run(time.Second)

	dropAppendsExceptTo := func(to string) func(m *raftpb.Message) bool {
		return func(m *raftpb.Message) bool { return m.GetKind() == raftpb.MessageKind_APPEND && m.GetTo() != to }
	}
	// The member list with m5 as a voter reaches only m5.
	c.drop = dropAppendsExceptTo("m5")
	_, _, result = m1.ProposeMemberChange(c.now, raft.Change{Kind: raft.Promote, Member: newMember})
	assert.Equal(t, result, raft.Accepted)
	c.settle()

	// m2, m3 and m4 elect a second leader, which cannot commit anything.
	c.isolated["m1"], c.isolated["m5"] = true, true
	c.drop = func(m *raftpb.Message) bool { return m.GetKind() == raftpb.MessageKind_APPEND }
	c.run(time.Second)
	second, leader := c.leader(t)
	partner := map[string]string{"m2": "m3", "m3": "m4", "m4": "m2"}[second]
	// If the removal of m1 were accepted, second and partner would be a quorum of
	// m2, m3 and m4.
	c.drop = dropAppendsExceptTo(partner)
	_, _, result = leader.ProposeMemberChange(c.now, raft.Change{Kind: raft.Remove, Member: &raftpb.Member{Id: "m1"}})
	assert.Check(t, result == raft.OwnTermUncommitted, result)
	c.run(electionTimeout)

	// The other three members are a quorum of the five voters that m1 knows.
	c.isolated = map[string]bool{second: true, partner: true}
	c.drop = func(*raftpb.Message) bool { return false }
	c.run(2 * time.Second)
	c.isolated = map[string]bool{}
	c.run(2 * time.Second)
	c.leader(t)
}

// An entry of an old term reaches a majority under a later leader, but none of
// that leader's own entries does. A member with a newer entry at the same index
// may still overwrite the old one, so it must not be committed.
func TestOldTermEntriesCommitOnlyUnderOwnTermEntry(t *testing.T) {
	c := newCluster(t, 5, 0)
	c.run(time.Second)
	first := c.makeLeader(t, "m1")
	c.run(time.Second)
	large := make([]byte, 1<<19) // exceeds maxAppendBytes, so it is sent alone
	oldTerm := first.Status().Term
	// The entry of the first leader reaches only m2.
	c.drop = func(m *raftpb.Message) bool { return m.GetKind() == raftpb.MessageKind_APPEND && m.GetTo() != "m2" }
	_, _, ok := first.Propose(c.now, large)
	assert.Assert(t, ok)
	c.settle()

	// The others elect a second leader, whose entry at the same index reaches no
	// other member.
	c.isolated = map[string]bool{"m1": true, "m2": true}
	c.drop = func(m *raftpb.Message) bool { return m.GetKind() == raftpb.MessageKind_APPEND }
	c.run(time.Second)
	second, _ := c.leader(t)

	// Without the second leader, m1 or m2 leads again. The old entry reaches all
	// other members, but no entry of the new term does.
	c.isolated = map[string]bool{second: true}
	c.drop = func(m *raftpb.Message) bool {
		return len(m.GetEntries()) > 0 && m.GetEntries()[0].GetTerm() > oldTerm
	}
	c.run(2 * time.Second)
	third, _ := c.leader(t)
	assert.Assert(t, third == "m1" || third == "m2")

	c.isolated = map[string]bool{"m1": true, "m2": true}
	// The second leader has the newest entry, so it wins and overwrites the old one.
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
	newMember := &raftpb.Member{Id: "m4"}
	c.isolated["m4"] = true
	_, _, result := leader.ProposeMemberChange(c.now, raft.Change{Kind: raft.AddLearner, Member: newMember})
	assert.Equal(t, result, raft.Accepted)
	c.run(time.Second)
	_, _, result = leader.ProposeMemberChange(c.now, raft.Change{Kind: raft.Promote, Member: newMember})
	assert.Equal(t, result, raft.NotCaughtUp)
	c.isolated["m4"] = false
	c.run(time.Second)
	_, _, result = leader.ProposeMemberChange(c.now, raft.Change{Kind: raft.Promote, Member: newMember})
	assert.Equal(t, result, raft.Accepted)
	c.run(time.Second)
	assert.Equal(t, c.nodes["m4"].Status().LastIndex, leader.Status().LastIndex)
}

func TestMessagesForAnotherIdentityAreIgnored(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.settle()
	vote := &raftpb.Message{Kind: raftpb.MessageKind_VOTE, From: "m2", To: "m1-before-wipe", Term: 9, Index: 99, LogTerm: 8}
	c.nodes["m1"].Step(c.now, vote)
	_, ok := c.nodes["m1"].Ready(c.now)
	assert.Assert(t, !ok)
	assert.Equal(t, c.nodes["m1"].Status().Term, uint64(1))
}

// The first vote request of each kind to each voter and the first replies are
// lost. The member must resend the requests and win the same campaign.
func TestLostVoteRequestIsResent(t *testing.T) {
	c := newCluster(t, 3, 0)
	c.isolated["m3"] = true
	dropped := map[string]bool{}
	highestTerm := uint64(0)
	c.drop = func(m *raftpb.Message) bool {
		switch m.GetKind() {
		case raftpb.MessageKind_PRE_VOTE, raftpb.MessageKind_VOTE, raftpb.MessageKind_PRE_VOTE_REPLY, raftpb.MessageKind_VOTE_REPLY:
		default:
			return false
		}
		highestTerm = max(highestTerm, m.GetTerm())
		name := fmt.Sprint(m.GetKind(), m.GetFrom(), m.GetTo())
		if dropped[name] {
			return false
		}
		dropped[name] = true
		return true
	}
	// 2*electionTimeout covers the wait before the first campaign, the rest two
	// resends of each kind with reserve.
	c.run(2*electionTimeout + 6*heartbeatInterval)
	leaders := 0
	for _, id := range c.ids {
		if c.nodes[id].Status().Role == raft.Leader {
			leaders++
		}
	}
	assert.Equal(t, leaders, 1, "highest term: %d", highestTerm)
	assert.Equal(t, highestTerm, uint64(2), "a second campaign was started")
}
