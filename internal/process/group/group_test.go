package group_test

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/raft"
	"cactusline.dev/cactusline/internal/process/raftpb"
	"cactusline.dev/cactusline/internal/process/walog"
	"cactusline.dev/cactusline/internal/version/ident"
)

// counter is a state machine that sums the numbers in the entries it applies.
type counter struct {
	mu              sync.Mutex
	sum             uint64
	delay           time.Duration
	snapshotPadding int // bytes added to the snapshot
}

func (c *counter) Apply(_ uint64, entry []byte) []byte {
	if c.delay > 0 {
		_ = clock.System{}.Sleep(context.Background(), c.delay)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sum += binary.BigEndian.Uint64(entry)
	return binary.BigEndian.AppendUint64(nil, c.sum)
}

func (c *counter) Snapshot() ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(binary.BigEndian.AppendUint64(nil, c.sum), make([]byte, c.snapshotPadding)...), nil
}

func (c *counter) Restore(snapshot []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sum = binary.BigEndian.Uint64(snapshot)
	return nil
}

func (c *counter) value() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sum
}

// addEntry returns an entry that adds n to a counter.
func addEntry(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// network connects the members of one test and delays each message.
type network struct {
	t        *testing.T
	delay    time.Duration
	mu       sync.Mutex
	groups   map[ident.VMName]*group.Group
	isolated map[ident.VMName]bool
	// voters are the voters of the member lists that were sent.
	voters [][]group.MemberID
}

func newNetwork(t *testing.T, delay time.Duration) *network {
	return &network{t: t, delay: delay, groups: map[ident.VMName]*group.Group{}, isolated: map[ident.VMName]bool{}}
}

// vmTransport is the Transport of one VM.
type vmTransport struct {
	net *network
	vm  ident.VMName
}

// maxMessageBytes is the largest message that the network delivers.
const maxMessageBytes = 2 << 20

func (t vmTransport) Send(to group.MemberID, message []byte) {
	if len(message) > maxMessageBytes {
		return
	}
	t.net.recordLists(message)
	time.AfterFunc(t.net.delay, func() {
		t.net.mu.Lock()
		receiver := t.net.groups[to.VM()]
		isolated := t.net.isolated[t.vm] || t.net.isolated[to.VM()]
		t.net.mu.Unlock()
		if receiver != nil && !isolated {
			receiver.Receive(group.UnresolvedID(t.vm), message)
		}
	})
}

func (n *network) open(cfg group.Config) *group.Group {
	cfg.Clock = clock.System{}
	cfg.Transport = vmTransport{n, cfg.VM}
	cfg.OnViolation = func(invariant, detail string) { panic(invariant + ": " + detail) }
	g, err := group.Open(cfg)
	assert.NilError(n.t, err)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.groups[cfg.VM] = g
	return g
}

// isolateAndClose disconnects a VM and then closes its member, so that a
// leader cannot transfer leadership as it closes.
func (n *network) isolateAndClose(vm ident.VMName) {
	n.mu.Lock()
	g := n.groups[vm]
	n.isolated[vm] = true
	delete(n.groups, vm)
	n.mu.Unlock()
	_ = g.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[vm] = false
}

// leader returns a member that is the leader, or nil.
func (n *network) leader() *group.Group {
	n.mu.Lock()
	groups := make([]*group.Group, 0, len(n.groups))
	for _, g := range n.groups {
		groups = append(groups, g)
	}
	n.mu.Unlock()
	for _, g := range groups {
		if g.Status().Role == raft.Leader {
			return g
		}
	}
	return nil
}

func (n *network) awaitLeader(within time.Duration) *group.Group {
	n.t.Helper()
	deadline := time.Now().Add(within)
	for time.Now().Before(deadline) {
		if g := n.leader(); g != nil {
			return g
		}
		time.Sleep(time.Millisecond)
	}
	n.t.Fatal("no leader")
	return nil
}

// bootstrapMembers returns a Config.Bootstrap list of n members.
func bootstrapMembers(n int) []group.Member {
	var members []group.Member
	for i := range n {
		vm := ident.VMName(fmt.Sprintf("c%d", i+1))
		members = append(members, group.Member{VM: vm, Address: fmt.Sprintf("10.0.0.%d:7000", i+1)})
	}
	return members
}

// openGroup opens every member of a new group.
func (n *network) openGroup(folder string, size int) []*group.Group {
	var groups []*group.Group
	for _, member := range bootstrapMembers(size) {
		groups = append(groups, n.open(group.Config{
			VM: member.VM, Folder: filepath.Join(folder, string(member.VM)),
			Bootstrap: bootstrapMembers(size), StateMachine: &counter{},
		}))
	}
	return groups
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

// A group of one member must commit without other members, lock its data
// folder, and keep its identity and its state over a restart.
func TestSingleMemberRestart(t *testing.T) {
	folder := t.TempDir()
	nw := newNetwork(t, 0)
	machine := &counter{}
	cfg := group.Config{VM: "c1", Folder: folder, Bootstrap: bootstrapMembers(1), StateMachine: machine, SnapshotThreshold: 100}
	g := nw.open(cfg)
	nw.awaitLeader(time.Second)
	ctx := withTimeout(t, 10*time.Second)
	for range 250 {
		_, err := g.Propose(ctx, addEntry(1))
		assert.NilError(t, err)
	}
	id := g.Status().ID
	_, err := group.Open(group.Config{VM: "c1", Folder: folder, StateMachine: machine, Clock: clock.System{}})
	var locked *walog.LockedError
	assert.Assert(t, errors.As(err, &locked), "%v", err)
	assert.NilError(t, g.Close())

	cfg.StateMachine = &counter{}
	g = nw.open(cfg)
	defer g.Close()
	_, err = g.Barrier(ctx)
	assert.NilError(t, err)
	assert.Equal(t, cfg.StateMachine.(*counter).value(), uint64(250))
	assert.Equal(t, g.Status().ID, id)
}

// recordLists records the voters of the member lists in a message.
func (n *network) recordLists(message []byte) {
	m := new(raftpb.Message)
	if proto.Unmarshal(message, m) != nil {
		return
	}
	for _, entry := range m.GetEntries() {
		list := new(raftpb.Members)
		if entry.GetKind() != raftpb.EntryKind_ENTRY_MEMBERS || proto.Unmarshal(entry.GetData(), list) != nil {
			continue
		}
		var voters []group.MemberID
		for _, member := range list.GetMembers() {
			if !member.GetLearner() {
				voters = append(voters, group.MemberID(member.GetId()))
			}
		}
		n.mu.Lock()
		n.voters = append(n.voters, voters)
		n.mu.Unlock()
	}
}

// A wiped founder must wait as a newcomer instead of forming a second group.
// Once replaced it must hold every committed entry, so that the group survives
// the loss of another member. It must not vote beside its lost predecessor, which
// would make two voters on one VM.
func TestReplaceWipedFounderThenLoseAnother(t *testing.T) {
	folder := t.TempDir()
	nw := newNetwork(t, time.Millisecond)
	founder := nw.openGroup(folder, 3)[0]
	ctx := withTimeout(t, 20*time.Second)
	_, err := nw.awaitLeader(5*time.Second).Propose(ctx, addEntry(5))
	assert.NilError(t, err)

	wiped := founder.Status().ID
	nw.isolateAndClose(wiped.VM())
	leader := nw.awaitLeader(5 * time.Second)
	_, err = leader.Propose(ctx, addEntry(6))
	assert.NilError(t, err)

	machine := &counter{}
	newMember := nw.open(group.Config{
		VM: wiped.VM(), Folder: filepath.Join(folder, "wiped"), Bootstrap: bootstrapMembers(3), StateMachine: machine,
	})
	assert.Assert(t, newMember.Status().ID != wiped)
	for len(leader.Status().Newcomers) == 0 {
		time.Sleep(time.Millisecond)
	}
	newcomer := leader.Status().Newcomers[0]
	assert.Equal(t, newcomer.ID, newMember.Status().ID)
	assert.Equal(t, len(newMember.Status().Members), 0)
	assert.NilError(t, leader.Replace(ctx, wiped, newcomer))
	assert.Assert(t, !slices.ContainsFunc(leader.Status().Members, func(m group.MemberStatus) bool { return m.ID == wiped || m.Learner }))

	nw.mu.Lock()
	for _, voters := range nw.voters {
		assert.Check(t, !slices.Contains(voters, wiped) || !slices.Contains(voters, newcomer.ID), "%v", voters)
	}
	assert.Check(t, len(nw.voters) > 0)
	nw.mu.Unlock()

	nw.isolateAndClose(leader.Status().ID.VM())
	index, err := newMember.Barrier(ctx)
	assert.NilError(t, err)
	assert.Assert(t, index > 0)
	assert.Equal(t, machine.value(), uint64(11))
	for _, g := range nw.groups {
		defer g.Close()
	}
}

// If the disks of the founder and one other VM are wiped, the two must not
// form a second group, neither while the third VM is down nor after it is
// back.
func TestWipedMajorityFormsNoSecondGroup(t *testing.T) {
	nw := newNetwork(t, time.Millisecond)
	folder := t.TempDir()
	nw.openGroup(folder, 3)
	_, err := nw.awaitLeader(5*time.Second).Propose(withTimeout(t, 5*time.Second), addEntry(5))
	assert.NilError(t, err)
	for _, member := range bootstrapMembers(3) {
		nw.isolateAndClose(member.VM)
	}
	reopen := func(vm ident.VMName, name string) {
		g := nw.open(group.Config{VM: vm, Folder: filepath.Join(folder, name), Bootstrap: bootstrapMembers(3), StateMachine: &counter{}})
		t.Cleanup(func() { g.Close() })
	}
	reopen("c1", "wiped1")
	reopen("c2", "wiped2")
	time.Sleep(4 * group.DefaultElectionTimeout)
	assert.Assert(t, nw.leader() == nil)
	reopen("c3", "c3")
	time.Sleep(4 * group.DefaultElectionTimeout)
	assert.Assert(t, nw.leader() == nil)
}

// A snapshot larger than the largest message must reach a new member in parts.
func TestLargeSnapshotReachesNewcomer(t *testing.T) {
	nw := newNetwork(t, time.Millisecond)
	folder := t.TempDir()
	cfg := group.Config{VM: "c1", Folder: folder + "/c1", Bootstrap: bootstrapMembers(1), SnapshotThreshold: 10}
	cfg.StateMachine = &counter{snapshotPadding: 5 << 20}
	leader := nw.open(cfg)
	defer leader.Close()
	nw.awaitLeader(time.Second)
	ctx := withTimeout(t, 20*time.Second)
	for range 35 {
		_, err := leader.Propose(ctx, addEntry(2))
		assert.NilError(t, err)
	}
	machine := &counter{}
	newMember := nw.open(group.Config{VM: "c2", Folder: folder + "/c2", StateMachine: machine})
	defer newMember.Close()
	member := group.Member{ID: newMember.Status().ID, VM: "c2"}
	assert.NilError(t, leader.AddLearner(ctx, member))
	for leader.Promote(ctx, member) != nil {
		assert.NilError(t, ctx.Err())
		time.Sleep(10 * time.Millisecond)
	}
	_, err := newMember.Barrier(ctx)
	assert.NilError(t, err)
	assert.Equal(t, machine.value(), uint64(70))
}

// A follower must refuse a proposal and name the leader, and leadership must
// move to the follower that a transfer names.
func TestProposeOnFollowerNamesLeaderAndTransferLeadership(t *testing.T) {
	nw := newNetwork(t, time.Millisecond)
	groups := nw.openGroup(t.TempDir(), 3)
	ctx := withTimeout(t, 10*time.Second)
	leader := nw.awaitLeader(5 * time.Second)
	_, err := leader.Propose(ctx, addEntry(1))
	assert.NilError(t, err)
	var follower *group.Group
	for _, g := range groups {
		if g != leader {
			follower = g
		}
		_, err := g.Barrier(ctx)
		assert.NilError(t, err)
		defer g.Close()
	}
	_, err = follower.Propose(ctx, addEntry(1))
	var notLeader *group.NotLeaderError
	assert.Assert(t, errors.As(err, &notLeader))
	assert.Equal(t, notLeader.Leader, leader.Status().ID)
	assert.Assert(t, notLeader.Address != "")

	assert.NilError(t, leader.TransferLeadership(ctx, follower.Status().ID))
	for follower.Status().Role != raft.Leader {
		assert.NilError(t, ctx.Err())
		time.Sleep(time.Millisecond)
	}
}
