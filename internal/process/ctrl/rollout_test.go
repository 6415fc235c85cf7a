package ctrl_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/internal/version/store"
)

// clockSpeed is the speed of fastClock relative to the system clock.
const clockSpeed = 6

type fastClock struct {
	started time.Time
}

func (c fastClock) Now() time.Time                         { return c.started.Add(c.Elapsed()) }
func (c fastClock) Elapsed() time.Duration                 { return clockSpeed * time.Since(c.started) }
func (c fastClock) After(d time.Duration) <-chan time.Time { return time.After(d / clockSpeed) }
func (c fastClock) Sleep(ctx context.Context, d time.Duration) error {
	return clock.System{}.Sleep(ctx, d/clockSpeed)
}

// groupWithPeer adds a control process to the member list of a group until the
// process is removed.
type groupWithPeer struct {
	*group.Group
	peer    group.Member
	removed *atomic.Bool
}

func (p groupWithPeer) Status() group.Status {
	status := p.Group.Status()
	if p.peer.VM != "" && !p.removed.Load() {
		status.Members = append(status.Members, group.MemberStatus{Member: p.peer})
	}
	return status
}

// testControl runs one control process.
type testControl struct {
	clock   fastClock
	address string
	links   *link.Client
	control *ctrl.Control
	// peerRemoved removes the peer from the member list.
	peerRemoved atomic.Bool
}

func startControl(t *testing.T, peer group.Member, folder ctrl.AuditFolder) *testControl {
	t.Helper()
	c := &testControl{
		clock: fastClock{started: time.Now()},
		links: link.NewClient(link.Config{Clock: clock.System{}, Caller: "test"}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c.address = listener.Addr().String()
	state := store.New(store.Config{})
	controlGroup, err := group.Open(group.Config{
		VM: "a", Folder: t.TempDir(), StateMachine: state, Clock: clock.System{},
		Bootstrap: []group.Member{{VM: "a", Address: c.address}},
	})
	assert.NilError(t, err)
	c.control = ctrl.New(ctrl.Config{
		VM: "a", Listener: listener, Clock: c.clock, Logger: log.NewNopLogger(),
		Log: controlGroup, Store: state, Link: c.links, Group: groupWithPeer{Group: controlGroup, peer: peer, removed: &c.peerRemoved}, Audit: folder,
	})
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- c.control.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-served)
		assert.NilError(t, c.links.Close())
		assert.NilError(t, controlGroup.Close())
	})
	return c
}

// createService commits a service record and returns the revision.
func (c *testControl) createService(t *testing.T, name ident.ServiceName) ident.Revision {
	t.Helper()
	service, err := record.New(&record.Service{Name: name})
	assert.NilError(t, err)
	entry, err := store.EncodeCommand(&cmdpb.Command{Body: &cmdpb.Command_Apply{
		Apply: &cmdpb.ApplyRecords{Records: [][]byte{service.JSON()}},
	}})
	assert.NilError(t, err)
	reply, err := c.control.Command(t.Context(), entry)
	assert.NilError(t, err)
	result := new(cmdpb.Result)
	assert.NilError(t, proto.Unmarshal(reply, result))
	assert.Equal(t, result.GetStatus(), cmdpb.Status_STATUS_OK, result)
	return ident.Revision(result.GetRevision())
}

// startFollower runs a process that applies the updates of the control process.
func (c *testControl) startFollower(t *testing.T, name string) *watch.Follower {
	t.Helper()
	follower := watch.NewFollower(watch.Config{
		Addresses: []string{c.address}, Link: c.links, Clock: c.clock, Logger: log.NewNopLogger(),
		Process: name, Role: "router",
	})
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		follower.Run(ctx)
	}()
	t.Cleanup(func() { cancel(); <-done })
	return follower
}

// openWatch opens a watch of the process "slow" with a first report that a
// revision is in force. Updates are discarded.
func (c *testControl) openWatch(t *testing.T, revision ident.Revision) *link.Stream {
	t.Helper()
	stream, err := c.links.Open(t.Context(), c.address, &wire.Call{Body: &wire.Call_Watch{Watch: slowReport(revision)}})
	assert.NilError(t, err)
	go func() {
		for stream.Receive(new(wire.Update)) == nil {
		}
	}()
	return stream
}

// reportEverySecond reports the revision in inForce every second until the test
// ends.
func (c *testControl) reportEverySecond(t *testing.T, stream *link.Stream, inForce *atomic.Uint64) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for c.clock.Sleep(t.Context(), time.Second) == nil {
			_ = stream.Send(slowReport(ident.Revision(inForce.Load())))
		}
	}()
	t.Cleanup(func() { <-done })
}

func slowReport(revision ident.Revision) *wire.Watch {
	return &wire.Watch{Process: "slow", Role: "sidecar", Target: "engine-1", InForce: uint64(revision)}
}

// awaitRollout waits up to limit, on the test clock, until a revision is in
// force.
func (c *testControl) awaitRollout(t *testing.T, revision ident.Revision, limit time.Duration) ctrl.Rollout {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit/clockSpeed)
	defer cancel()
	return c.control.AwaitRollout(ctx, revision)
}

// sleepPastLease waits until leases from before the start of the control process
// would have expired.
func (c *testControl) sleepPastLease() {
	_ = c.clock.Sleep(context.Background(), watch.DefaultLease+time.Second)
}

// A revision is in force only after the last process has reported it.
func TestRolloutWaitsForSlowProcess(t *testing.T) {
	t.Parallel()
	c := startControl(t, group.Member{}, nil)
	for _, name := range []string{"router-1", "router-2", "router-3"} {
		c.startFollower(t, name)
	}
	c.sleepPastLease()
	first := c.createService(t, "first")
	rollout := c.awaitRollout(t, first, time.Minute)
	assert.Assert(t, rollout.InForce, rollout)

	slowWatch := c.openWatch(t, first)
	second := c.createService(t, "second")
	var inForce atomic.Uint64
	inForce.Store(uint64(first))
	c.reportEverySecond(t, slowWatch, &inForce)
	rollout = c.awaitRollout(t, second, 2*watch.DefaultLease)
	assert.Assert(t, !rollout.InForce, rollout)
	assert.Equal(t, len(rollout.Pending), 1, rollout)
	assert.Equal(t, rollout.Pending[0].Name, "slow")
	assert.Equal(t, rollout.Pending[0].InForce, first)

	inForce.Store(uint64(second))
	rollout = c.awaitRollout(t, second, time.Minute)
	assert.Assert(t, rollout.InForce, rollout)
}

// A process that disconnects without reporting a revision may act on older
// records until its lease expires.
func TestRolloutWaitsForLeaseOfDisconnectedProcess(t *testing.T) {
	t.Parallel()
	c := startControl(t, group.Member{}, nil)
	c.sleepPastLease()
	slowWatch := c.openWatch(t, 0)
	for len(c.control.Fleet(t.Context()).Processes) == 0 {
		time.Sleep(time.Millisecond)
	}
	slowWatch.Abort()
	for c.control.Fleet(t.Context()).Processes[0].Connected {
		time.Sleep(time.Millisecond)
	}
	revision := c.createService(t, "first")
	rollout := c.awaitRollout(t, revision, watch.DefaultLease/4)
	assert.Assert(t, !rollout.InForce, rollout)
	rollout = c.awaitRollout(t, revision, 2*watch.DefaultLease)
	assert.Assert(t, rollout.InForce, rollout)
}

// unreachableMember returns a control process whose address nothing listens on.
func unreachableMember(t *testing.T) group.Member {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return group.Member{ID: "b/1", VM: "b", Address: listener.Addr().String()}
}

// Leases that a removed control process granted may run for one lease duration.
func TestRolloutWaitsForLeasesOfRemovedControl(t *testing.T) {
	t.Parallel()
	c := startControl(t, unreachableMember(t), nil)
	c.sleepPastLease()
	c.peerRemoved.Store(true)
	revision := c.createService(t, "first")
	rollout := c.awaitRollout(t, revision, watch.DefaultLease/4)
	assert.Assert(t, !rollout.InForce, rollout)
	assert.DeepEqual(t, rollout.Unknown, []ident.VMName{"b"})
	rollout = c.awaitRollout(t, revision, 2*watch.DefaultLease)
	assert.Assert(t, rollout.InForce, rollout)
}

// Leases that an unreachable control process granted may run for one lease
// duration after the commit.
func TestRolloutWaitsForLeasesOfUnreachableControl(t *testing.T) {
	t.Parallel()
	c := startControl(t, unreachableMember(t), nil)
	c.sleepPastLease()
	revision := c.createService(t, "first")
	rollout := c.awaitRollout(t, revision, watch.DefaultLease/2)
	assert.Assert(t, !rollout.InForce, rollout)
	assert.DeepEqual(t, rollout.Unknown, []ident.VMName{"b"})
	began := c.clock.Now()
	rollout = c.awaitRollout(t, revision, 3*watch.DefaultLease)
	assert.Assert(t, rollout.InForce, rollout)
	assert.Assert(t, c.clock.Now().Sub(began) >= watch.DefaultLease, c.clock.Now().Sub(began))
}

// A restarted control process does not know the leases that it granted before.
func TestRolloutWaitsForLeasesOfRestartedControl(t *testing.T) {
	t.Parallel()
	c := startControl(t, group.Member{}, nil)
	revision := c.createService(t, "first")
	rollout := c.awaitRollout(t, revision, watch.DefaultLease/4)
	assert.Assert(t, !rollout.InForce, rollout)
	assert.DeepEqual(t, rollout.Unknown, []ident.VMName{"a"})
}
