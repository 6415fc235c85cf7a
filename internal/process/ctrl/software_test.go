package ctrl_test

import (
	"context"
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/store"
)

// applyLog applies what is proposed at once, unless it fails.
type applyLog struct {
	fakeLog
	state *store.Store

	mu    sync.Mutex
	index uint64
	err   error
}

func (l *applyLog) Propose(_ context.Context, entry []byte) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.err != nil {
		return nil, l.err
	}
	l.index++
	return l.state.Apply(l.index, entry), nil
}

func (l *applyLog) setError(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.err = err
	l.set(func() error { return err })
}

// softwareHarness is a control process that reads the platform's list.
type softwareHarness struct {
	*sendPermitHarness
	applied *applyLog
}

func newSoftwareHarness(t *testing.T) *softwareHarness {
	state := store.New(store.Config{})
	applied := &applyLog{state: state}
	applied.setError(nil)
	return &softwareHarness{sendPermitHarness: newControlHarness(t, applied, state), applied: applied}
}

// admit returns the versions of the listed ones that may be published.
func (h *softwareHarness) admit(versions ...string) []string {
	var list []roster.Target
	for _, version := range versions {
		list = append(list, roster.Target{Name: ident.TargetName("t-" + version), Service: "s", Version: ident.SoftwareVersion(version)})
	}
	admitted := []string{}
	for _, target := range h.control.AdmitTargets(h.ctx, list) {
		admitted = append(admitted, string(target.Version))
	}
	return admitted
}

// possible returns the versions that may have begun a stream that is not named, and how
// long they have been absent.
func (h *softwareHarness) possible() map[string]time.Duration {
	reply, answer := h.askOrigin(0)
	assert.Equal(h.t, reply.GetError(), "")
	ages := map[string]time.Duration{}
	for _, possible := range answer.GetPossible() {
		ages[possible.GetVersion()] = time.Duration(possible.GetAbsentMs()) * time.Millisecond
	}
	return ages
}

// Guards against streams that begin at a version which a restarted control does not know.
func TestTargetsAreListedOnceTheirVersionIsRecorded(t *testing.T) {
	h := newSoftwareHarness(t)
	assert.DeepEqual(t, h.admit("v1"), []string{"v1"})
	h.applied.setError(errors.New("no quorum"))
	assert.DeepEqual(t, h.admit("v1", "v2"), []string{"v1"})
	h.applied.setError(nil)
	assert.DeepEqual(t, h.admit("v1", "v2"), []string{"v1", "v2"})
	snapshot, err := h.applied.state.Snapshot()
	assert.NilError(t, err)
	restored := store.New(store.Config{})
	assert.NilError(t, restored.Restore(snapshot))
	assert.DeepEqual(t, restored.Software(), []store.Software{{Service: "s", Version: "v1"}, {Service: "s", Version: "v2"}})
}

// Guards against targets that get no requests while another writer lists them under a service
// of its own, and against their loss when a document comes to name that service.
func TestEntriesOfAnotherWriterTakeNoTargets(t *testing.T) {
	h := newSoftwareHarness(t)
	admit := func() []ident.ServiceName {
		services := []ident.ServiceName{}
		for _, target := range h.control.AdmitTargets(h.ctx, []roster.Target{
			{Name: "i-1", Service: "monitor", Version: "v1"}, {Name: "i-1", Service: "app", Version: "v1"},
		}) {
			services = append(services, target.Service)
		}
		return services
	}
	put := func(version ident.Version, services string) {
		assert.NilError(t, h.control.PutDocument(h.ctx, store.Document{Version: version, Body: []byte(services)}))
	}
	put(1, "app")
	assert.DeepEqual(t, admit(), []ident.ServiceName{"app"})
	// Nothing is recorded of the other entry.
	assert.DeepEqual(t, h.applied.state.Software(), []store.Software{{Service: "app", Version: "v1"}})
	put(2, "app monitor")
	assert.DeepEqual(t, admit(), []ident.ServiceName{"app"})
	put(3, "monitor")
	// No document names the other service.
	assert.DeepEqual(t, admit(), []ident.ServiceName{"monitor"})
}

// Guards against targets that are never listed and commands that are never carried out by a
// process that isn't the leader, because the settings of its start name only processes that
// are gone.
func TestCommandReachesTheLeaderWhenAllSeedsAreGone(t *testing.T) {
	leader, follower := newSoftwareHarness(t), newSoftwareHarness(t)
	follower.membership.replace(group.Status{
		ID: "self", Leader: "other", Term: 1,
		Members: []group.MemberStatus{
			{Member: group.Member{ID: "self"}}, {Member: group.Member{ID: "other", Address: leader.address}}, {Member: group.Member{ID: "third", Address: silentAddress(t)}},
		},
	})
	follower.applied.setError(&group.NotLeaderError{Address: leader.address})
	follower.admit("v1")
	assert.DeepEqual(t, leader.applied.state.Software(), []store.Software{{Service: "s", Version: "v1"}})
	// A leader that is named but gone doesn't hide the other members.
	follower.membership.replace(group.Status{
		ID: "self", Leader: "third", Term: 2,
		Members: []group.MemberStatus{
			{Member: group.Member{ID: "self"}}, {Member: group.Member{ID: "other", Address: leader.address}}, {Member: group.Member{ID: "third", Address: "127.0.0.1:1"}},
		},
	})
	follower.applied.setError(&group.NotLeaderError{Address: "127.0.0.1:1"})
	follower.admit("v1", "v2")
	assert.Equal(t, len(leader.applied.state.Software()), 2)
}

// Guards against one target with a name that is too long to be recorded, which keeps all
// others from being listed.
func TestLongNameKeepsNoOtherTargetFromTheList(t *testing.T) {
	long := strings.Repeat("x", 600)
	for name, odd := range map[string]roster.Target{
		"service":    {Name: "odd", Service: ident.ServiceName(long), Version: "v1"},
		"version":    {Name: "odd", Service: "s", Version: ident.SoftwareVersion(long)},
		"no service": {Name: "odd", Version: "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			h := newSoftwareHarness(t)
			admitted := h.control.AdmitTargets(h.ctx, []roster.Target{odd, {Name: "sound", Service: "s", Version: "v1"}})
			assert.Equal(t, len(admitted), 1)
			assert.Equal(t, admitted[0].Name, ident.TargetName("sound"))
		})
	}
}

func TestVersionStaysPossibleAfterItLeftTheList(t *testing.T) {
	h := newSoftwareHarness(t)
	h.admit("v1")
	assert.DeepEqual(t, h.possible(), map[string]time.Duration{"v1": 0})
	h.admit("v1", "v2")
	h.admit("v2")
	time.Sleep(100 * time.Millisecond)
	ages := h.possible()
	assert.Assert(t, len(ages) == 2 && ages["v2"] == 0 && ages["v1"] >= 90*time.Millisecond, "%v", ages)

	// Another process may have listed it before this one led again.
	h.membership.set("self", 3)
	ages = h.possible()
	assert.Assert(t, len(ages) == 2 && ages["v1"] == 0, "%v", ages)
	h.admit("v2")
	time.Sleep(30 * time.Millisecond)
	ages = h.possible()
	assert.Assert(t, ages["v1"] >= 20*time.Millisecond && ages["v1"] < 90*time.Millisecond, "%v", ages)
	h.admit("v1", "v2")
	assert.DeepEqual(t, h.possible(), map[string]time.Duration{"v1": 0, "v2": 0})
}

func TestOnlyAConfirmedLeaderNamesPossibleVersions(t *testing.T) {
	h := newSoftwareHarness(t)
	h.admit("v1")
	h.applied.setError(errors.New("no quorum"))
	reply, answer := h.askOrigin(0)
	assert.Assert(t, reply.GetRetry() && len(answer.GetPossible()) == 0)
	h.membership.set("other", 2)
	reply, answer = h.askOrigin(0)
	assert.Assert(t, reply.GetRetry() && reply.GetLeader() != "" && len(answer.GetPossible()) == 0)
}

// recordingLog is an OriginLog in memory.
type recordingLog struct{ streams chan *wire.StreamOrigins }

func (r *recordingLog) Append(origins []*wire.StreamOrigins) {
	for _, batch := range origins {
		r.streams <- batch
	}
}

func TestReportedStreamsAreKept(t *testing.T) {
	h := newSendPermitHarness(t)
	kept := &recordingLog{streams: make(chan *wire.StreamOrigins, 8)}
	listener := listenLocal(t)
	control := ctrl.New(ctrl.Config{
		VM: "self", Listener: listener, Clock: clock.System{}, Logger: log.NewNopLogger(), Tracer: trace.NewNoop(),
		Log: h.log, Store: store.New(store.Config{}), Link: h.links, Group: h.membership, Roster: roster.NewPublisher("self"), OriginLog: kept,
	})
	go func() { _ = control.Run(h.ctx) }()
	stream, err := h.links.Open(h.ctx, listener.Addr().String(), &wire.Call{Body: &wire.Call_Watch{Watch: &wire.Watch{Process: "g", Role: "router"}}})
	assert.NilError(t, err)
	defer func() { _ = stream.Close() }()
	assert.NilError(t, stream.Send(&wire.Watch{Process: "g", Role: "router", Streams: []*wire.StreamOrigins{{Service: "s", Version: "v2", Streams: []uint64{7}}}}))
	select {
	case batch := <-kept.streams:
		assert.Equal(t, batch.GetVersion(), "v2")
	case <-time.After(2 * time.Second):
		t.Fatal("not kept")
	}
}
