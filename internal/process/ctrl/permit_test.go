package ctrl_test

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/permit"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/version/store"
)

// fakeMembership is a group whose leader and term are set by a test.
type fakeMembership struct {
	ctrl.Membership

	mu     sync.Mutex
	status group.Status
}

func (m *fakeMembership) Status() group.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status
}

func (m *fakeMembership) set(leader group.MemberID, term uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status = group.Status{
		ID: "self", Leader: leader, Term: term,
		Members: []group.MemberStatus{{Member: group.Member{ID: "self"}}, {Member: group.Member{ID: "other", Address: "192.0.2.1:7000"}}},
	}
}

func (m *fakeMembership) replace(status group.Status) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status = status
}

// fakeLog is a log whose barriers are implemented by a test.
type fakeLog struct {
	mu      sync.Mutex
	barrier func() error
}

func (l *fakeLog) Propose(context.Context, []byte) ([]byte, error) {
	return nil, errors.New("unexpected proposal")
}

func (l *fakeLog) Barrier(context.Context) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 0, l.barrier()
}

func (l *fakeLog) set(barrier func() error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.barrier = barrier
}

// A process must not grant permits if it is cut off from the quorum, or if it
// loses the leadership between the grant and the confirmation.
func TestPermitNeedsConfirmedLeadership(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	links := link.NewClient(link.Config{Clock: clock.System{}})
	defer func() { _ = links.Close() }()
	membership, barrierLog := new(fakeMembership), new(fakeLog)
	membership.set("self", 1)
	confirm := func() error { return nil }
	barrierLog.set(confirm)
	control := ctrl.New(ctrl.Config{
		VM: "self", Listener: listener, Clock: clock.System{}, Logger: log.NewNopLogger(), Tracer: trace.NewNoop(),
		Log: barrierLog, Store: store.New(store.Config{}), Link: links, Group: membership,
		WeightFetchLimit: permit.Limit{Rate: 1000, Burst: 1},
	})
	go func() { _ = control.Run(ctx) }()
	argument, err := proto.Marshal(&wire.Permit{Kind: string(permit.KindWeights), Amount: 1})
	assert.NilError(t, err)
	requestPermit := func() (*wire.QueryReply, *wire.PermitReply) {
		reply, result := new(wire.QueryReply), new(wire.PermitReply)
		assert.NilError(t, links.Ask(ctx, listener.Addr().String(), &wire.Call{
			Body: &wire.Call_Query{Query: &wire.Query{Kind: ctrl.QueryPermit, Argument: argument}},
		}, reply))
		assert.NilError(t, proto.Unmarshal(reply.GetResult(), result))
		return reply, result
	}
	// fillBucket requests a permit, so that the bucket of the term is created, and
	// waits until the bucket is full.
	fillBucket := func() {
		requestPermit()
		time.Sleep(20 * time.Millisecond)
	}

	_, result := requestPermit()
	assert.Assert(t, !result.GetGranted() && result.GetRetryAfterMs() > 0, "the first bucket starts empty")
	fillBucket()
	_, result = requestPermit()
	assert.Assert(t, result.GetGranted())

	fillBucket()
	barrierLog.set(func() error { return errors.New("no quorum") })
	reply, result := requestPermit()
	assert.Assert(t, !result.GetGranted() && reply.GetRetry())

	fillBucket()
	barrierLog.set(func() error { membership.set("self", 2); return nil })
	reply, result = requestPermit()
	assert.Assert(t, !result.GetGranted() && reply.GetRetry(), "permit of an older term")

	barrierLog.set(confirm)
	_, result = requestPermit()
	assert.Assert(t, !result.GetGranted(), "the bucket of a new term starts empty")

	membership.set("other", 3)
	reply, result = requestPermit()
	assert.Assert(t, !result.GetGranted() && reply.GetRetry())
	assert.Equal(t, reply.GetLeader(), "192.0.2.1:7000")
}
