package member_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/member"
	"cactusline.dev/cactusline/internal/version/ident"
)

var now = time.Unix(1000, 0)

func voter(vm, id string, silent time.Duration) group.MemberStatus {
	status := group.MemberStatus{Member: group.Member{
		ID: group.MemberID(vm + "/" + id), VM: ident.VMName(vm), Address: vm + ":1",
	}}
	if silent >= 0 {
		status.LastContact = now.Add(-silent)
	}
	return status
}

func learnerOf(status group.MemberStatus) group.MemberStatus {
	status.Learner = true
	return status
}

func lost(status group.MemberStatus) group.MemberStatus {
	status.DiskLost = true
	return status
}

func process(vm, id string) member.Process {
	p := member.Process{VM: ident.VMName(vm), Address: vm + ":1"}
	if id != "" {
		p.ID = group.MemberID(vm + "/" + id)
	}
	return p
}

func TestPlan(t *testing.T) {
	leader := voter("a", "1", -1)
	learner := voter("d", "1", 0)
	learner.Learner = true
	cases := []struct {
		name    string
		members []group.MemberStatus
		live    []member.Process
		want    member.ChangeKind
		oldID   group.MemberID
		newID   group.MemberID
	}{
		{"all members live", []group.MemberStatus{leader, voter("b", "1", 0), voter("c", "1", 0)}, []member.Process{process("b", "1")}, member.NoChange, "", ""},
		{"new process", []group.MemberStatus{leader}, []member.Process{process("b", "1")}, member.AddLearner, "", "b/1"},
		{"process without data folder", []group.MemberStatus{leader}, []member.Process{process("b", "")}, member.NoChange, "", ""},
		{"live learner", []group.MemberStatus{leader, learner}, []member.Process{process("d", "1")}, member.Promote, "", "d/1"},
		{"wiped data folder", []group.MemberStatus{leader, voter("b", "1", 0), voter("c", "1", 0)}, []member.Process{process("b", "2")}, member.Replace, "b/1", "b/2"},
		{"wiped data folder, learner already", []group.MemberStatus{leader, voter("b", "1", 0), voter("c", "1", 0), learnerOf(voter("b", "2", 0))}, []member.Process{process("b", "2")}, member.Replace, "b/1", "b/2"},
		{"wiped data folder, voter already", []group.MemberStatus{leader, voter("b", "1", 0), voter("c", "1", 0), voter("b", "2", 0)}, []member.Process{process("b", "2")}, member.Replace, "b/1", "b/2"},
		{"learner of a wiped VM that is not live", []group.MemberStatus{leader, voter("b", "1", 0), voter("c", "1", 0), learnerOf(voter("b", "2", 0))}, nil, member.Replace, "b/1", "b/2"},
		{"learner whose disk is lost", []group.MemberStatus{leader, voter("b", "1", 0), voter("c", "1", 0), lost(learnerOf(voter("b", "2", 0)))}, nil, member.Remove, "b/2", ""},
		{"announcement older than the loss of the disk", []group.MemberStatus{leader, lost(voter("b", "1", 0)), voter("c", "1", 0), learnerOf(voter("b", "2", 0))}, []member.Process{process("b", "1")}, member.Replace, "b/1", "b/2"},
		{"new process and failed voter", []group.MemberStatus{leader, voter("b", "1", 2*time.Second), voter("c", "1", 0)}, []member.Process{process("d", "1")}, member.Replace, "b/1", "d/1"},
		{"new process and restarting voter", []group.MemberStatus{leader, voter("b", "1", time.Second), voter("c", "1", 0)}, []member.Process{process("d", "1")}, member.AddLearner, "", "d/1"},
		{"learner and briefly silent voter", []group.MemberStatus{leader, voter("b", "1", 500*time.Millisecond), voter("c", "1", 0), learner}, []member.Process{process("d", "1")}, member.NoChange, "", ""},
		{"learner and failed voter", []group.MemberStatus{leader, voter("b", "1", 2*time.Second), voter("c", "1", 0), learner}, []member.Process{process("d", "1")}, member.Replace, "b/1", "d/1"},
		{"failed voter and enough voters left", []group.MemberStatus{leader, voter("b", "1", 4*time.Second), voter("c", "1", 0), voter("d", "1", 0)}, nil, member.Remove, "b/1", ""},
		{"failed voter and too few voters left", []group.MemberStatus{leader, voter("b", "1", 4*time.Second), voter("c", "1", 0)}, nil, member.NoChange, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status := group.Status{ID: leader.ID, Leader: leader.ID, Members: c.members}
			got := member.Plan(now, status, c.live, 3)
			assert.Equal(t, got.Kind, c.want)
			assert.Equal(t, got.Old, c.oldID)
			assert.Equal(t, got.New.ID, c.newID)
		})
	}
}

func TestNoMoreThanSevenVoters(t *testing.T) {
	status := group.Status{ID: "a/1", Leader: "a/1", Members: []group.MemberStatus{voter("a", "1", -1)}}
	for _, vm := range []string{"b", "c", "d", "e", "f", "g"} {
		status.Members = append(status.Members, voter(vm, "1", 0))
	}
	assert.Equal(t, member.Plan(now, status, []member.Process{process("h", "1")}, 3).Kind, member.NoChange)
	status.Members[3] = voter("d", "1", 2*time.Second)
	change := member.Plan(now, status, []member.Process{process("h", "1")}, 3)
	assert.Equal(t, change.Kind, member.Replace)
	assert.Equal(t, change.Old, group.MemberID("d/1"))
}
