package ctrl_test

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/store"
)

// sendPermitHarness runs a control process that is asked for permits.
type sendPermitHarness struct {
	t          *testing.T
	ctx        context.Context
	links      *link.Client
	address    string
	control    *ctrl.Control
	clock      *suspendableClock
	membership *fakeMembership
	log        *fakeLog
}

func newSendPermitHarness(t *testing.T) *sendPermitHarness {
	barriers := new(fakeLog)
	barriers.set(func() error { return nil })
	h := newControlHarness(t, barriers, store.New(store.Config{}))
	h.log = barriers
	return h
}

// splitServices returns the services of a document that is a list of them.
func splitServices(document []byte) ([]ident.ServiceName, error) {
	var services []ident.ServiceName
	for name := range strings.FieldsSeq(string(document)) {
		services = append(services, ident.ServiceName(name))
	}
	return services, nil
}

// newControlHarness runs a control process with a log and its state.
func newControlHarness(t *testing.T, replicated ctrl.Log, state *store.Store) *sendPermitHarness {
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h := &sendPermitHarness{
		t: t, ctx: ctx, links: link.NewClient(link.Config{Clock: clock.System{}}), address: listener.Addr().String(),
		membership: new(fakeMembership), clock: new(suspendableClock),
	}
	t.Cleanup(func() { _ = h.links.Close() })
	h.membership.set("self", 1)
	h.control = ctrl.New(ctrl.Config{
		VM: "self", Listener: listener, Clock: h.clock, Logger: log.NewNopLogger(), Tracer: trace.NewNoop(),
		Log: replicated, Store: state, Link: h.links, Group: h.membership, Roster: roster.NewPublisher("self"), DocumentServices: splitServices,
		Remote: remote.NewClient(remote.Config{Addresses: []string{"127.0.0.1:1"}, Link: h.links, Clock: clock.System{}}),
	})
	go func() { _ = h.control.Run(ctx) }()
	return h
}

func (h *sendPermitHarness) ask(request *wire.SendPermit) (*wire.QueryReply, *wire.SendPermitReply) {
	argument, err := proto.Marshal(request)
	assert.NilError(h.t, err)
	reply, result := new(wire.QueryReply), new(wire.SendPermitReply)
	call := &wire.Call{Body: &wire.Call_Query{Query: &wire.Query{Kind: ctrl.QuerySendPermit, Argument: argument}}}
	assert.NilError(h.t, h.links.Ask(h.ctx, h.address, call, reply))
	assert.NilError(h.t, proto.Unmarshal(reply.GetResult(), result))
	return reply, result
}

func askFor(target string, rate float64) *wire.SendPermit {
	return &wire.SendPermit{
		Candidates: []string{target}, Urgent: true, Limits: []*wire.RateLimit{{Target: target, Limited: true, Rate: rate}},
	}
}

// waitUntilGranted asks until a permit is granted.
func (h *sendPermitHarness) waitUntilGranted(request *wire.SendPermit) {
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if _, result := h.ask(request); result.GetTarget() != "" {
			return
		}
		assert.Assert(h.t, time.Since(began) < 3*time.Second, "no permit")
	}
}

func TestSendPermitNeedsConfirmedLeadership(t *testing.T) {
	h := newSendPermitHarness(t)
	h.waitUntilGranted(askFor("t", 100))
	assert.DeepEqual(t, h.control.Fleet(h.ctx).Limits[0].Target, ident.TargetName("t"))

	h.log.set(func() error { return errors.New("no quorum") })
	time.Sleep(1300 * time.Millisecond)
	reply, result := h.ask(askFor("t", 100))
	assert.Assert(t, result.GetTarget() == "" && reply.GetRetry(), "granted without a quorum")

	h.membership.set("other", 3)
	reply, result = h.ask(askFor("t", 100))
	assert.Assert(t, result.GetTarget() == "" && reply.GetRetry())
	assert.Equal(t, reply.GetLeader(), "192.0.2.1:7000")
}

// suspendableClock is the system clock of a machine that was suspended for a time.
type suspendableClock struct {
	clock.System
	suspended atomic.Int64
}

// Elapsed implements ctrl.Clock.
func (s *suspendableClock) Elapsed() time.Duration {
	return s.System.Elapsed() + time.Duration(s.suspended.Load())
}

// Guards against permits of a leader that was suspended while another one took over.
func TestSuspendedLeaderGrantsNoPermit(t *testing.T) {
	h := newSendPermitHarness(t)
	h.waitUntilGranted(askFor("t", 100))
	h.log.set(func() error { return errors.New("no quorum") })
	h.clock.suspended.Add(int64(time.Minute))
	reply, result := h.ask(askFor("t", 100))
	assert.Assert(t, result.GetTarget() == "" && reply.GetRetry(), "granted after a suspension")
}

func TestSendPermitsOfANewTermStartAtZero(t *testing.T) {
	h := newSendPermitHarness(t)
	h.waitUntilGranted(askFor("t", 1))
	time.Sleep(1500 * time.Millisecond)
	h.membership.set("self", 2)
	_, result := h.ask(askFor("t", 1))
	assert.Equal(t, result.GetTarget(), "")
	assert.Assert(t, result.GetNextMs() > 900, "%d", result.GetNextMs())
}

func TestLimitsArePushedToWatchers(t *testing.T) {
	h := newSendPermitHarness(t)
	stream, err := h.links.Open(h.ctx, h.address, &wire.Call{Body: &wire.Call_Watch{Watch: &wire.Watch{Process: "g", Role: "router"}}})
	assert.NilError(t, err)
	defer func() { _ = stream.Close() }()
	h.ask(&wire.SendPermit{Limits: []*wire.RateLimit{{Target: "t", Limited: true, Rate: 2.5}}})
	for {
		update := new(wire.Update)
		assert.NilError(t, stream.Receive(update))
		if limits := update.GetRateLimits(); len(limits) > 0 {
			assert.Equal(t, limits[0].GetTarget(), "t")
			assert.Equal(t, limits[0].GetRate(), 2.5)
			return
		}
	}
}

func (h *sendPermitHarness) askOrigin(key uint64) (*wire.QueryReply, *wire.OriginAnswer) {
	argument, err := proto.Marshal(&wire.OriginQuestion{Service: "s", Stream: key})
	assert.NilError(h.t, err)
	reply, result := new(wire.QueryReply), new(wire.OriginAnswer)
	call := &wire.Call{Body: &wire.Call_Query{Query: &wire.Query{Kind: ctrl.QueryOrigin, Argument: argument}}}
	assert.NilError(h.t, h.links.Ask(h.ctx, h.address, call, reply))
	assert.NilError(h.t, proto.Unmarshal(reply.GetResult(), result))
	return reply, result
}

func TestOriginsOfStreamsAreKeptForAllGates(t *testing.T) {
	h := newSendPermitHarness(t)
	stream, err := h.links.Open(h.ctx, h.address, &wire.Call{Body: &wire.Call_Watch{Watch: &wire.Watch{Process: "g", Role: "router"}}})
	assert.NilError(t, err)
	defer func() { _ = stream.Close() }()
	report := &wire.Watch{Process: "g", Role: "router", Streams: []*wire.StreamOrigins{{Service: "s", Version: "v2", Streams: []uint64{7, 8}}}}
	assert.NilError(t, stream.Send(report))
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		_, answer := h.askOrigin(8)
		if answer.GetKnown() {
			assert.Equal(t, answer.GetVersion(), "v2")
			break
		}
		assert.Assert(t, time.Since(began) < 2*time.Second)
	}
	_, answer := h.askOrigin(9)
	assert.Assert(t, !answer.GetKnown())

	h.membership.set("other", 2)
	_, answer = h.askOrigin(7)
	assert.Equal(t, answer.GetVersion(), "v2", "what is known holds at any process")
	reply, _ := h.askOrigin(9)
	assert.Assert(t, reply.GetRetry() && reply.GetLeader() != "", "only the leader may say that it is not known")
}

func listenLocal(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	return listener
}
