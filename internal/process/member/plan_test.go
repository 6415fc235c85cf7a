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

func word(vm, id string) member.Process {
	entry := member.Process{VM: ident.VMName(vm), Address: vm + ":1"}
	if id != "" {
		entry.ID = group.MemberID(vm + "/" + id)
	}
	return entry
}

func TestPlan(t *testing.T) {
	leads := voter("a", "1", -1)
	learner := voter("d", "1", 0)
	learner.Learner = true
	cases := []struct {
		name    string
		members []group.MemberStatus
		heard   []member.Process
		want    member.ChangeKind
		old     group.MemberID
		fresh   group.MemberID
	}{
		{"all are there", []group.MemberStatus{leads, voter("b", "1", 0), voter("c", "1", 0)}, []member.Process{word("b", "1")}, member.NoChange, "", ""},
		{"a newcomer", []group.MemberStatus{leads}, []member.Process{word("b", "1")}, member.Add, "", "b/1"},
		{"one without a disk", []group.MemberStatus{leads}, []member.Process{word("b", "")}, member.NoChange, "", ""},
		{"a learner", []group.MemberStatus{leads, learner}, []member.Process{word("d", "1")}, member.Promote, "", "d/1"},
		{"a wiped disk", []group.MemberStatus{leads, voter("b", "1", 0), voter("c", "1", 0)}, []member.Process{word("b", "2")}, member.Replace, "b/1", "b/2"},
		{"a newcomer for one that is gone", []group.MemberStatus{leads, voter("b", "1", 2*time.Second), voter("c", "1", 0)}, []member.Process{word("d", "1")}, member.Replace, "b/1", "d/1"},
		{"a newcomer for one that only restarts", []group.MemberStatus{leads, voter("b", "1", time.Second), voter("c", "1", 0)}, []member.Process{word("d", "1")}, member.Add, "", "d/1"},
		{"a learner while a voter is silent", []group.MemberStatus{leads, voter("b", "1", 500*time.Millisecond), voter("c", "1", 0), learner}, []member.Process{word("d", "1")}, member.NoChange, "", ""},
		{"a learner for one that is gone", []group.MemberStatus{leads, voter("b", "1", 2*time.Second), voter("c", "1", 0), learner}, []member.Process{word("d", "1")}, member.Replace, "b/1", "d/1"},
		{"one is gone and enough are left", []group.MemberStatus{leads, voter("b", "1", 4*time.Second), voter("c", "1", 0), voter("d", "1", 0)}, nil, member.Remove, "b/1", ""},
		{"one is gone and too few are left", []group.MemberStatus{leads, voter("b", "1", 4*time.Second), voter("c", "1", 0)}, nil, member.NoChange, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status := group.Status{ID: leads.ID, Leader: leads.ID, Members: c.members}
			got := member.Plan(now, status, c.heard, 3)
			assert.Equal(t, got.Kind, c.want)
			assert.Equal(t, got.Old, c.old)
			assert.Equal(t, got.New.ID, c.fresh)
		})
	}
}

func TestNoMoreThanSevenVote(t *testing.T) {
	status := group.Status{ID: "a/1", Leader: "a/1", Members: []group.MemberStatus{voter("a", "1", -1)}}
	for _, vm := range []string{"b", "c", "d", "e", "f", "g"} {
		status.Members = append(status.Members, voter(vm, "1", 0))
	}
	assert.Equal(t, member.Plan(now, status, []member.Process{word("h", "1")}, 3).Kind, member.NoChange)
	status.Members[3] = voter("d", "1", 2*time.Second)
	change := member.Plan(now, status, []member.Process{word("h", "1")}, 3)
	assert.Equal(t, change.Kind, member.Replace)
	assert.Equal(t, change.Old, group.MemberID("d/1"))
}
