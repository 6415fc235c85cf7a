package cmds_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/cmds"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/store"
	"cactusline.dev/cactusline/platform"
)

// Bounds of the platform's smallest deployments.
const (
	contactTime = 3 * time.Second
	applyTime   = 2 * time.Second
	ackTime     = 4 * time.Second
)

// forwarder forwards connections to a backend. Once silenced, a connection accepts
// data and delivers none, and its ends are not told when the other one closes.
type forwarder struct {
	listener net.Listener
	backend  string

	mu    sync.Mutex
	conns []*atomic.Bool
}

func startForwarder(t *testing.T, backend string) *forwarder {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	f := &forwarder{listener: listener, backend: backend}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			f.forward(t, conn)
		}
	}()
	return f
}

func (f *forwarder) address() string { return f.listener.Addr().String() }

func (f *forwarder) forward(t *testing.T, conn net.Conn) {
	backend, err := net.Dial("tcp", f.backend)
	if err != nil {
		_ = conn.Close()
		return
	}
	t.Cleanup(func() { _ = conn.Close(); _ = backend.Close() })
	silent := new(atomic.Bool)
	f.mu.Lock()
	f.conns = append(f.conns, silent)
	f.mu.Unlock()
	go copyUntilSilent(conn, backend, silent)
	go copyUntilSilent(backend, conn, silent)
}

func copyUntilSilent(dst, src net.Conn, silent *atomic.Bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := src.Read(buffer)
		if silent.Load() {
			_, _ = io.Copy(io.Discard, src)
			return
		}
		if err == nil {
			_, err = dst.Write(buffer[:n])
		}
		if err != nil {
			_ = dst.Close()
			_ = src.Close()
			return
		}
	}
}

// silence silences the connections that are open now.
func (f *forwarder) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, silent := range f.conns {
		silent.Store(true)
	}
	f.conns = nil
}

// silenceFleet is a group of cores and the followers of gates, with the settings of
// the platform, whose connections to cores can be silenced.
type silenceFleet struct {
	t          *testing.T
	forwarders []*forwarder
	controls   []*ctrl.Control
	followers  []*watch.Follower

	mu sync.Mutex
	// ackedAt is when each version was acknowledged.
	ackedAt map[ident.Version]time.Time
}

// startSilenceFleet starts a fleet. If peersForwarded is not set, connections between
// cores that carry the replicated log can't be silenced.
func startSilenceFleet(t *testing.T, cores, gates int, peersForwarded bool) *silenceFleet {
	t.Helper()
	f := &silenceFleet{t: t, ackedAt: make(map[ident.Version]time.Time)}
	var listeners []net.Listener
	var members, peers []group.Member
	var addresses []string
	for i := range cores {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		forwarder := startForwarder(t, listener.Addr().String())
		listeners, f.forwarders = append(listeners, listener), append(f.forwarders, forwarder)
		members = append(members, group.Member{VM: ident.VMName(fmt.Sprint("core-", i)), Address: forwarder.address()})
		peers = append(peers, group.Member{VM: members[i].VM, Address: listener.Addr().String()})
		addresses = append(addresses, forwarder.address())
	}
	if peersForwarded {
		peers = members
	}
	for i := range cores {
		f.controls = append(f.controls, startSilenceCore(t, members, peers, i, listeners[i]))
	}
	for i := range gates {
		settings := &platform.Settings{VM: ident.VMName(fmt.Sprint("gate-", i)), Seeds: addresses, ContactTime: contactTime}
		links := cmds.PlatformLinks(settings)
		t.Cleanup(func() { _ = links.Close() })
		// A gate that has been redirected keeps sessions to cores that it does not watch.
		for _, address := range addresses {
			assert.NilError(t, links.Ask(t.Context(), address, &wire.Call{Body: &wire.Call_Probe{Probe: new(wire.Probe)}}, new(wire.ProbeReply)))
		}
		follower := watch.NewFollower(cmds.GateFollowerConfig(settings, links, log.NewNopLogger()))
		f.followers = append(f.followers, follower)
		go follower.Run(t.Context())
	}
	return f
}

func startSilenceCore(t *testing.T, members, peers []group.Member, i int, listener net.Listener) *ctrl.Control {
	t.Helper()
	vm := members[i].VM
	links := cmds.PlatformLinks(&platform.Settings{VM: vm})
	transport := ctrl.NewPeerTransport(ctrl.PeerTransportConfig{Self: vm, Members: peers, Link: links, Clock: clock.System{}})
	state := store.New(store.Config{})
	tracer, err := trace.New(t.Context(), trace.Config{Process: string(vm), Role: "control"})
	assert.NilError(t, err)
	controlGroup, err := group.Open(group.Config{
		VM: vm, Folder: t.TempDir(), Bootstrap: members, StateMachine: state, Transport: transport, Clock: clock.System{},
		HeartbeatInterval: cmds.CoreHeartbeatInterval, ElectionTimeout: cmds.CoreElectionTimeout,
	})
	assert.NilError(t, err)
	control := ctrl.New(ctrl.Config{
		VM: vm, Listener: listener, Clock: clock.System{}, Logger: log.NewNopLogger(), Tracer: tracer,
		Log: controlGroup, Store: state, Link: links, Group: controlGroup, Receive: controlGroup.Receive,
		Roster: roster.NewPublisher(string(vm)), DeadPeerTimeout: cmds.PlatformDeadPeerTimeout,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go transport.Run(ctx)
	go func() { done <- control.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = links.Close()
		_ = controlGroup.Close()
	})
	return control
}

// putDocuments puts a new version every 100 ms until ctx ends, at one core after the
// other until one acknowledges it.
func (f *silenceFleet) putDocuments(ctx context.Context) {
	for version := ident.Version(1); ctx.Err() == nil; version++ {
		next := store.Document{Version: version, Body: fmt.Appendf(nil, `{"version":%d}`, version)}
		for i := 0; ctx.Err() == nil; i++ {
			putCtx, cancel := context.WithTimeout(ctx, 900*time.Millisecond)
			err := f.controls[(int(version)+i)%len(f.controls)].PutDocument(putCtx, next)
			cancel()
			if err == nil {
				f.mu.Lock()
				f.ackedAt[version] = time.Now()
				f.mu.Unlock()
				break
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// newestAcked returns the newest version that was acknowledged before a time, and when.
func (f *silenceFleet) newestAcked(before time.Time) (newest ident.Version, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for version, ackedAt := range f.ackedAt {
		if version > newest && ackedAt.Before(before) {
			newest, at = version, ackedAt
		}
	}
	return newest, at
}

// checkDocuments checks until the given time that each follower has what was
// acknowledged longer than applyTime ago.
func (f *silenceFleet) checkDocuments(until time.Time) {
	f.t.Helper()
	late := make(map[int]time.Duration)
	for time.Now().Before(until) {
		due, ackedAt := f.newestAcked(time.Now().Add(-applyTime))
		for i, follower := range f.followers {
			if version, _ := follower.Document(); version < due {
				late[i] = max(late[i], time.Since(ackedAt))
			}
		}
		time.Sleep(10 * time.Millisecond)
	}
	for i, lag := range late {
		f.t.Errorf("gate %d lacks a document for more than %s, %s after a later one was acknowledged", i, applyTime, lag)
	}
}

// Guards against gates and cores that keep using connections which have fallen silent.
func TestDocumentReachesGatesAfterConnectionsFallSilent(t *testing.T) {
	for name, peersForwarded := range map[string]bool{"of_gates": false, "of_gates_and_cores": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testSilencedConnections(t, startSilenceFleet(t, 4, 6, peersForwarded))
		})
	}
}

func testSilencedConnections(t *testing.T, f *silenceFleet) {
	go f.putDocuments(t.Context())
	for version, began := ident.Version(0), time.Now(); version < 5; version, _ = f.newestAcked(time.Now()) {
		assert.Assert(t, time.Since(began) < 10*time.Second, "no document is acknowledged")
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for range 2 {
		silencedAt := time.Now()
		for _, forwarder := range f.forwarders {
			forwarder.silence()
		}
		time.Sleep(contactTime)
		f.checkDocuments(silencedAt.Add(contactTime + ackTime))
		_, ackedAt := f.newestAcked(time.Now())
		assert.Check(t, time.Since(ackedAt) < ackTime, "no document was acknowledged for %s", time.Since(ackedAt))
	}
}
