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

// speed is how much faster than the system's the clock of these tests runs.
const speed = 6

type fastClock struct {
	started time.Time
}

func (c fastClock) Now() time.Time                         { return c.started.Add(speed * time.Since(c.started)) }
func (c fastClock) After(d time.Duration) <-chan time.Time { return time.After(d / speed) }
func (c fastClock) Sleep(ctx context.Context, d time.Duration) error {
	return clock.System{}.Sleep(ctx, d/speed)
}

// peered adds a control process to a group of one, until it is taken out.
type peered struct {
	*group.Group
	peer group.Member
	out  *atomic.Bool
}

func (p peered) Status() group.Status {
	status := p.Group.Status()
	if p.peer.VM != "" && !p.out.Load() {
		status.Members = append(status.Members, group.MemberStatus{Member: p.peer})
	}
	return status
}

// rig is one control process under test.
type rig struct {
	clock   fastClock
	address string
	links   *link.Client
	control *ctrl.Control
	// peerOut takes the peer out of the member list.
	peerOut atomic.Bool
}

func startRig(t *testing.T, peer group.Member, folder ctrl.AuditFolder) *rig {
	t.Helper()
	r := &rig{
		clock: fastClock{started: time.Now()},
		links: link.NewClient(link.Config{Clock: clock.System{}, Caller: "test"}),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r.address = listener.Addr().String()
	state := store.New(store.Config{})
	replicas, err := group.Open(group.Config{
		VM: "a", Folder: t.TempDir(), StateMachine: state, Clock: clock.System{},
		Bootstrap: []group.Member{{VM: "a", Address: r.address}},
	})
	assert.NilError(t, err)
	r.control = ctrl.New(ctrl.Config{
		VM: "a", Listener: listener, Clock: r.clock, Logger: log.NewNopLogger(),
		Log: replicas, Store: state, Link: r.links, Group: peered{Group: replicas, peer: peer, out: &r.peerOut}, Audit: folder,
	})
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- r.control.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-served)
		assert.NilError(t, r.links.Close())
		assert.NilError(t, replicas.Close())
	})
	return r
}

// commit creates a service and returns the revision.
func (r *rig) commit(t *testing.T, name ident.ServiceName) ident.Revision {
	t.Helper()
	service, err := record.New(&record.Service{Name: name})
	assert.NilError(t, err)
	entry, err := store.EncodeCommand(&cmdpb.Command{Body: &cmdpb.Command_Apply{
		Apply: &cmdpb.ApplyRecords{Records: [][]byte{service.JSON()}},
	}})
	assert.NilError(t, err)
	reply, err := r.control.Command(t.Context(), entry)
	assert.NilError(t, err)
	result := new(cmdpb.Result)
	assert.NilError(t, proto.Unmarshal(reply, result))
	assert.Equal(t, result.GetStatus(), cmdpb.Status_STATUS_OK, result)
	return ident.Revision(result.GetRevision())
}

// follow runs a process that takes what control sends.
func (r *rig) follow(t *testing.T, name string) *watch.Follower {
	t.Helper()
	follower := watch.NewFollower(watch.Config{
		Addresses: []string{r.address}, Link: r.links, Clock: r.clock, Logger: log.NewNopLogger(),
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

// lag opens a watch that reports what it is told to.
func (r *rig) lag(t *testing.T, revision ident.Revision) *link.Stream {
	t.Helper()
	stream, err := r.links.Open(t.Context(), r.address, &wire.Call{Body: &wire.Call_Watch{Watch: lagging(revision)}})
	assert.NilError(t, err)
	go func() {
		for stream.Receive(new(wire.Update)) == nil {
		}
	}()
	return stream
}

// report sends the revision that acts holds at each second until the test
// ends.
func (r *rig) report(t *testing.T, stream *link.Stream, acts *atomic.Uint64) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		for r.clock.Sleep(t.Context(), time.Second) == nil {
			_ = stream.Send(lagging(ident.Revision(acts.Load())))
		}
	}()
	t.Cleanup(func() { <-done })
}

func lagging(revision ident.Revision) *wire.Watch {
	return &wire.Watch{Process: "slow", Role: "sidecar", Target: "engine-1", InForce: uint64(revision)}
}

// await waits for a revision for so long on the rig's clock.
func (r *rig) await(t *testing.T, revision ident.Revision, limit time.Duration) ctrl.Rollout {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), limit/speed)
	defer cancel()
	return r.control.AwaitRollout(ctx, revision)
}

// settle waits until control may know all to which it granted leases.
func (r *rig) settle() { _ = r.clock.Sleep(context.Background(), watch.DefaultLease+time.Second) }

func TestInForceWaitsForTheOneThatLags(t *testing.T) {
	t.Parallel()
	r := startRig(t, group.Member{}, nil)
	for _, name := range []string{"router-1", "router-2", "router-3"} {
		r.follow(t, name)
	}
	r.settle()
	first := r.commit(t, "first")
	force := r.await(t, first, time.Minute)
	assert.Assert(t, force.InForce, force)

	slow := r.lag(t, first)
	second := r.commit(t, "second")
	var acts atomic.Uint64
	acts.Store(uint64(first))
	r.report(t, slow, &acts)
	force = r.await(t, second, 2*watch.DefaultLease)
	assert.Assert(t, !force.InForce, force)
	assert.Equal(t, len(force.Pending), 1, force)
	assert.Equal(t, force.Pending[0].Name, "slow")
	assert.Equal(t, force.Pending[0].InForce, first)

	acts.Store(uint64(second))
	force = r.await(t, second, time.Minute)
	assert.Assert(t, force.InForce, force)
}

func TestProcessThatLeftMayHoldItsLease(t *testing.T) {
	t.Parallel()
	r := startRig(t, group.Member{}, nil)
	r.settle()
	slow := r.lag(t, 0)
	for len(r.control.Fleet(t.Context()).Processes) == 0 {
		time.Sleep(time.Millisecond)
	}
	slow.Abort()
	for r.control.Fleet(t.Context()).Processes[0].Connected {
		time.Sleep(time.Millisecond)
	}
	revision := r.commit(t, "first")
	force := r.await(t, revision, watch.DefaultLease/4)
	assert.Assert(t, !force.InForce, force)
	force = r.await(t, revision, 2*watch.DefaultLease)
	assert.Assert(t, force.InForce, force)
}

// silent returns a control process on whose address nothing listens.
func silent(t *testing.T) group.Member {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return group.Member{ID: "b/1", VM: "b", Address: listener.Addr().String()}
}

func TestRemovedControlCountsForOneLease(t *testing.T) {
	t.Parallel()
	r := startRig(t, silent(t), nil)
	r.settle()
	r.peerOut.Store(true)
	revision := r.commit(t, "first")
	force := r.await(t, revision, watch.DefaultLease/4)
	assert.Assert(t, !force.InForce, force)
	assert.DeepEqual(t, force.Unknown, []ident.VMName{"b"})
	force = r.await(t, revision, 2*watch.DefaultLease)
	assert.Assert(t, force.InForce, force)
}

func TestUnreachableControlCountsForOneLease(t *testing.T) {
	t.Parallel()
	r := startRig(t, silent(t), nil)
	r.settle()
	revision := r.commit(t, "first")
	force := r.await(t, revision, watch.DefaultLease/2)
	assert.Assert(t, !force.InForce, force)
	assert.DeepEqual(t, force.Unknown, []ident.VMName{"b"})
	began := r.clock.Now()
	force = r.await(t, revision, 3*watch.DefaultLease)
	assert.Assert(t, force.InForce, force)
	assert.Assert(t, r.clock.Now().Sub(began) >= watch.DefaultLease, r.clock.Now().Sub(began))
}

func TestRestartedControlCountsForOneLease(t *testing.T) {
	t.Parallel()
	r := startRig(t, group.Member{}, nil)
	revision := r.commit(t, "first")
	force := r.await(t, revision, watch.DefaultLease/4)
	assert.Assert(t, !force.InForce, force)
	assert.DeepEqual(t, force.Unknown, []ident.VMName{"a"})
}
