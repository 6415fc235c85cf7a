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

// members is a group of which a test sets the state.
type members struct {
	ctrl.Membership

	mu     sync.Mutex
	status group.Status
}

func (m *members) Status() group.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.status
}

func (m *members) set(leader group.MemberID, term uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.status = group.Status{
		ID: "self", Leader: leader, Term: term,
		Members: []group.MemberStatus{{Member: group.Member{ID: "other", Address: "192.0.2.1:7000"}}},
	}
}

// barrierLog is a log whose reads a test decides on.
type barrierLog struct {
	mu      sync.Mutex
	barrier func() error
}

func (l *barrierLog) Propose(context.Context, []byte) ([]byte, error) {
	return nil, errors.New("nothing is proposed")
}

func (l *barrierLog) Barrier(context.Context) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return 0, l.barrier()
}

func (l *barrierLog) set(barrier func() error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.barrier = barrier
}

// TestPermitNeedsAConfirmedLeader asks a process for permits while it leads,
// is cut off, and loses the lead between the grant and its confirmation.
func TestPermitNeedsAConfirmedLeader(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	links := link.NewClient(link.Config{Clock: clock.System{}})
	defer func() { _ = links.Close() }()
	peers, reads := new(members), new(barrierLog)
	peers.set("self", 1)
	confirm := func() error { return nil }
	reads.set(confirm)
	control := ctrl.New(ctrl.Config{
		VM: "self", Listener: listener, Clock: clock.System{}, Logger: log.NewNopLogger(), Tracer: trace.NewNoop(),
		Log: reads, Store: store.New(store.Config{}), Link: links, Group: peers,
		WeightFetchLimit: permit.Limit{Rate: 1000, Burst: 1},
	})
	go func() { _ = control.Run(ctx) }()
	argument, err := proto.Marshal(&wire.Permit{Kind: string(permit.KindWeights), Amount: 1})
	assert.NilError(t, err)
	ask := func() (*wire.QueryReply, *wire.PermitReply) {
		reply, granted := new(wire.QueryReply), new(wire.PermitReply)
		assert.NilError(t, links.Ask(ctx, listener.Addr().String(), &wire.Call{
			Body: &wire.Call_Query{Query: &wire.Query{Kind: ctrl.QueryPermit, Argument: argument}},
		}, reply))
		assert.NilError(t, proto.Unmarshal(reply.GetResult(), granted))
		return reply, granted
	}
	// full asks for a first permit, so that the term's bucket is there, and
	// waits until it is full.
	full := func() {
		ask()
		time.Sleep(20 * time.Millisecond)
	}

	_, granted := ask()
	assert.Assert(t, !granted.GetGranted() && granted.GetRetryAfterMs() > 0, "the first bucket starts empty")
	full()
	_, granted = ask()
	assert.Assert(t, granted.GetGranted())

	full()
	reads.set(func() error { return errors.New("no quorum") })
	reply, granted := ask()
	assert.Assert(t, !granted.GetGranted() && reply.GetRetry())

	full()
	reads.set(func() error { peers.set("self", 2); return nil })
	reply, granted = ask()
	assert.Assert(t, !granted.GetGranted() && reply.GetRetry(), "a grant of an older term")

	reads.set(confirm)
	_, granted = ask()
	assert.Assert(t, !granted.GetGranted(), "a new term starts empty")

	peers.set("other", 3)
	reply, granted = ask()
	assert.Assert(t, !granted.GetGranted() && reply.GetRetry())
	assert.Equal(t, reply.GetLeader(), "192.0.2.1:7000")
}
