package raft_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/raft"
	"cactusline.dev/cactusline/internal/process/raftpb"
)

// others returns the members besides the given ones.
func (c *cluster) others(ids ...string) []string {
	var list []string
	for _, id := range c.ids {
		given := false
		for _, other := range ids {
			given = given || id == other
		}
		if !given {
			list = append(list, id)
		}
	}
	return list
}

// Guards against a group that is lost for good after one of four voters has left and
// another one has lost its disk.
func TestHalfOfEvenVotersIsQuorumBesideLostDisk(t *testing.T) {
	c := newCluster(t, 4, 0)
	c.run(time.Second)
	id, _ := c.leader(t)
	others := c.others(id)
	left, wiped, reporting := id, others[0], others[1]
	c.isolated[left], c.isolated[wiped] = true, true
	c.run(time.Second)
	for _, other := range c.others(left, wiped) {
		assert.Assert(t, c.nodes[other].Status().Role != raft.Leader)
	}
	// Knowledge of one member reaches the others by their messages.
	c.nodes[reporting].ReportDiskLost(c.now, wiped)
	c.run(time.Second)
	_, leader := c.leader(t)
	index, _, ok := leader.Propose(c.now, []byte("x"))
	assert.Assert(t, ok)
	leader.ReadIndex(c.now, 7)
	c.run(time.Second)
	status := leader.Status()
	assert.Assert(t, status.Commit >= index)
	assert.Equal(t, len(c.reads[status.ID]), 1)
}

func TestLostDiskDoesNotLowerOtherQuorums(t *testing.T) {
	cases := []struct {
		name             string
		voters, isolated int
		lost             []string
	}{
		{"odd number", 3, 2, []string{"m1"}},
		{"odd number, two lost", 5, 3, []string{"m1", "m2"}},
		{"less than half", 4, 3, []string{"m1"}},
		{"less than half, two lost", 6, 4, []string{"m1", "m2"}},
		{"no voter", 4, 2, []string{"m9"}},
	}
	for _, test := range cases {
		t.Run(test.name, func(t *testing.T) {
			c := newCluster(t, test.voters, 0)
			c.run(time.Second)
			for _, id := range c.ids[:test.isolated] {
				c.isolated[id] = true
			}
			for _, id := range c.ids[test.isolated:] {
				for _, lost := range test.lost {
					c.nodes[id].ReportDiskLost(c.now, lost)
				}
			}
			c.run(2 * time.Second)
			for _, id := range c.ids[test.isolated:] {
				assert.Assert(t, c.nodes[id].Status().Role != raft.Leader, id)
			}
		})
	}
}

// Half of the voters counts only if each of them knew of the lost disk when it gave its
// support: two members that only count with different lost voters could both win.
func TestSupporterMustKnowOfLostDisk(t *testing.T) {
	list := &raftpb.Members{Members: []*raftpb.Member{{Id: "m1"}, {Id: "m2"}, {Id: "m3"}, {Id: "m4"}}}
	for _, knownLost := range [][]string{nil, {"m3"}, {"m2"}} {
		now := time.Unix(100, 0)
		node := raft.New(now, raft.Config{
			ID: "m1", HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, Rand: rand.New(rand.NewPCG(1, 1)),
		}, raft.State{Snapshot: &raftpb.Snapshot{Index: 1, Term: 1, Members: list}})
		node.ReportDiskLost(now, "m2")
		now = now.Add(2 * electionTimeout)
		node.Tick(now)
		node.Step(now, &raftpb.Message{Kind: raftpb.MessageKind_PRE_VOTE_REPLY, From: "m3", To: "m1", Term: 2, Lost: knownLost})
		won := len(knownLost) > 0 && knownLost[0] == "m2"
		assert.Equal(t, node.Status().Role == raft.Candidate, won, "%v", knownLost)
	}
}

// A change of the member list must be known to a quorum of the old list: a half of its
// voters that knows of a lost disk could elect a leader without it otherwise.
func TestMemberChangeNeedsQuorumOfPreviousList(t *testing.T) {
	c := newCluster(t, 4, 0)
	c.run(time.Second)
	id, leader := c.leader(t)
	others := c.others(id)
	removed, absent, wiped := others[0], others[1], others[2]
	c.isolated[removed], c.isolated[absent] = true, true
	index, _, result := leader.ProposeMemberChange(c.now, raft.Change{Kind: raft.Remove, Member: &raftpb.Member{Id: removed}})
	assert.Equal(t, result, raft.Accepted)
	c.settle()
	assert.Assert(t, leader.Status().Commit < index)

	// The other half continues without the list that has not committed.
	c.isolated[id], c.isolated[wiped] = true, true
	c.isolated[removed], c.isolated[absent] = false, false
	c.nodes[removed].ReportDiskLost(c.now, wiped)
	c.run(time.Second)
	_, successor := c.leader(t)
	_, _, ok := successor.Propose(c.now, []byte("x"))
	assert.Assert(t, ok)
	c.run(time.Second)
	c.isolated[id] = false
	c.run(time.Second)
	assert.Equal(t, len(leader.Status().Members), 4)
	assert.Equal(t, leader.Status().Commit, successor.Status().Commit)
}

// Members that have been removed take part until the change has committed, and members
// that restart after it need no quorum of the previous list.
func TestMemberListCommitIsDurable(t *testing.T) {
	c := newCluster(t, 2, 0)
	c.run(time.Second)
	id, leader := c.leader(t)
	removed := c.others(id)[0]
	index, _, result := leader.ProposeMemberChange(c.now, raft.Change{Kind: raft.Remove, Member: &raftpb.Member{Id: removed}})
	assert.Equal(t, result, raft.Accepted)
	assert.Equal(t, len(leader.Status().Leaving), 1)
	var commit uint64
	for range 10 {
		ready, _ := leader.Ready(c.now)
		commit = max(commit, ready.HardState.GetCommit())
		if ready.Seq > 0 {
			leader.Persisted(c.now, ready.Seq)
		}
		for _, m := range append(ready.Messages, ready.MessagesAfterSync...) {
			c.nodes[removed].Step(c.now, m)
		}
		reply, _ := c.nodes[removed].Ready(c.now)
		if reply.Seq > 0 {
			c.nodes[removed].Persisted(c.now, reply.Seq)
		}
		for _, m := range append(reply.Messages, reply.MessagesAfterSync...) {
			leader.Step(c.now, m)
		}
	}
	assert.Assert(t, leader.Status().Commit >= index)
	assert.Assert(t, commit >= index, "the saved hard state knows of commit %d", commit)
	assert.Equal(t, len(leader.Status().Leaving), 0)
}

func TestQuorumLearnsOfCommittedListAtOnce(t *testing.T) {
	c := newCluster(t, 4, 0)
	c.run(time.Second)
	id, leader := c.leader(t)
	removed := c.others(id)[0]
	_, _, result := leader.ProposeMemberChange(c.now, raft.Change{Kind: raft.Remove, Member: &raftpb.Member{Id: removed}})
	assert.Equal(t, result, raft.Accepted)
	c.settle()
	knowing := 0
	for _, other := range c.others(removed) {
		if len(c.nodes[other].Status().Leaving) == 0 {
			knowing++
		}
	}
	assert.Assert(t, knowing >= 2, "%d of 3 voters know", knowing)
}

// Guards against a candidate that waits for voters which have been removed, because the
// leader failed before it could tell that their removal has committed.
func TestCandidateLearnsOfCommittedListFromVoter(t *testing.T) {
	c := newCluster(t, 4, 0)
	c.run(time.Second)
	id, leader := c.leader(t)
	others := c.others(id)
	removed, longer, shorter := others[0], others[1], others[2]
	c.isolated[removed] = true
	c.nodes[removed].Tick(c.now)
	index, _, result := leader.ProposeMemberChange(c.now, raft.Change{Kind: raft.Remove, Member: &raftpb.Member{Id: removed}})
	assert.Equal(t, result, raft.Accepted)
	_, _, ok := leader.Propose(c.now, []byte("x"))
	assert.Assert(t, ok)
	c.drop = func(m *raftpb.Message) bool {
		for _, entry := range m.GetEntries() {
			if m.GetTo() == shorter && entry.GetIndex() > index {
				m.Entries = m.GetEntries()[:1]
				break
			}
		}
		return m.GetTo() == longer && m.GetCommit() >= index
	}
	c.isolated[removed] = false
	c.settle()
	c.isolated[removed], c.isolated[id] = true, true
	assert.Assert(t, leader.Status().Commit >= index)
	assert.Equal(t, len(c.nodes[longer].Status().Leaving), 1)
	assert.Equal(t, len(c.nodes[shorter].Status().Leaving), 0)
	c.drop = func(*raftpb.Message) bool { return false }
	c.run(2 * time.Second)
	successor, _ := c.leader(t)
	assert.Equal(t, successor, longer)
}
