package ctrl_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/internal/version/store"
)

// documentControl runs one control process that stores routing documents.
type documentControl struct {
	control   *ctrl.Control
	publisher *roster.Publisher
	address   string
	links     *link.Client
}

func startDocumentControl(t *testing.T, bootstrapped bool, minVoters int, redirect func() []string) *documentControl {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	c := &documentControl{
		address: listener.Addr().String(), publisher: roster.NewPublisher("source"),
		links: link.NewClient(link.Config{Clock: clock.System{}, Caller: "test"}),
	}
	state := store.New(store.Config{})
	controlGroup, err := group.Open(group.Config{VM: "a", Folder: t.TempDir(), StateMachine: state, Clock: clock.System{}})
	assert.NilError(t, err)
	if bootstrapped {
		assert.Assert(t, controlGroup.BootstrapSingle(c.address))
		assert.Assert(t, !controlGroup.BootstrapSingle(c.address), "a group is bootstrapped once")
	}
	c.control = ctrl.New(ctrl.Config{
		VM: "a", Listener: listener, Clock: clock.System{}, Logger: log.NewNopLogger(),
		Log: controlGroup, Store: state, Link: c.links, Group: controlGroup, Receive: controlGroup.Receive,
		Roster: c.publisher, MinVoters: minVoters, RedirectAddresses: redirect,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- c.control.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = c.links.Close()
		_ = controlGroup.Close()
	})
	return c
}

func document(version ident.Version, text string) store.Document {
	return store.Document{Version: version, Body: []byte(text)}
}

func withTimeout(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestDocumentWithHighestVersionWins(t *testing.T) {
	c := startDocumentControl(t, true, 0, nil)
	ctx := withTimeout(t, 10*time.Second)
	assert.NilError(t, c.control.PutDocument(ctx, document(3, `{"a":{"b":3}}`)))
	assert.NilError(t, c.control.PutDocument(ctx, document(3, `{"other":3}`)), "a put of the same version succeeds")
	assert.NilError(t, c.control.PutDocument(ctx, document(2, `{"older":2}`)), "a put of an older version succeeds")
	got, err := c.control.Document(ctx)
	assert.NilError(t, err)
	assert.Equal(t, got.Version, ident.Version(3))
	assert.Equal(t, string(got.Body), `{"a":{"b":3}}`)
	assert.NilError(t, c.control.PutDocument(ctx, document(9, `{"a":{"b":9}}`)))
	got, err = c.control.Document(ctx)
	assert.NilError(t, err)
	assert.Equal(t, string(got.Body), `{"a":{"b":9}}`)
}

// A document that too few voters have stored could be lost, so it must not be
// acknowledged.
func TestDocumentIsRejectedWithTooFewVoters(t *testing.T) {
	c := startDocumentControl(t, true, 3, nil)
	err := c.control.PutDocument(withTimeout(t, 300*time.Millisecond), document(1, `{}`))
	assert.ErrorContains(t, err, "group has 1 voters, needs 3")
	got, err := c.control.Document(withTimeout(t, time.Second))
	assert.NilError(t, err)
	assert.Equal(t, got.Version, ident.Version(0))
}

func TestDocumentNeedsQuorum(t *testing.T) {
	c := startDocumentControl(t, false, 0, nil)
	assert.Assert(t, c.control.PutDocument(withTimeout(t, 200*time.Millisecond), document(1, `{}`)) != nil)
	_, err := c.control.Document(withTimeout(t, 200*time.Millisecond))
	assert.Assert(t, err != nil)
}

func TestRelayPutsAndReadsAtMember(t *testing.T) {
	c := startDocumentControl(t, true, 0, nil)
	relay := &ctrl.Relay{
		Link: c.links, ControlAddresses: func() []string { return []string{"127.0.0.1:1", c.address} }, Logger: log.NewNopLogger(),
	}
	ctx := withTimeout(t, 10*time.Second)
	assert.NilError(t, relay.PutDocument(ctx, document(5, `{"a":5}`)))
	got, err := relay.Document(ctx)
	assert.NilError(t, err)
	assert.Equal(t, string(got.Body), `{"a":5}`)
	documents := &ctrl.DocumentService{Control: startDocumentControl(t, false, 0, nil).control, Relay: relay}
	got, err = documents.Document(ctx)
	assert.NilError(t, err)
	assert.Equal(t, got.Version, ident.Version(5), "a process that is not a member asks a member")
}

// Guards against operators' calls that fail for as long as a process relays them, because it
// asks members that are gone before those that live, and learns nothing from that.
func TestRelayAsksMembersThatAnswerFirst(t *testing.T) {
	const operatorTimeout = 900 * time.Millisecond
	c := startDocumentControl(t, true, 0, nil)
	addresses := []string{silentAddress(t), silentAddress(t), silentAddress(t), c.address}
	relay := &ctrl.Relay{Link: c.links, ControlAddresses: func() []string { return addresses }, Logger: log.NewNopLogger()}
	// The first calls learn which members don't answer.
	for range 2 {
		_, _ = relay.Document(withTimeout(t, operatorTimeout))
	}
	assert.NilError(t, relay.PutDocument(withTimeout(t, operatorTimeout), document(5, `{"a":5}`)))
	_, err := relay.Document(withTimeout(t, operatorTimeout))
	assert.NilError(t, err)
	// Another member takes the place of the one that answered.
	other := startDocumentControl(t, true, 0, nil)
	addresses = []string{addresses[0], addresses[1], silentAddress(t), other.address}
	_, _ = relay.Document(withTimeout(t, operatorTimeout))
	_, err = relay.Document(withTimeout(t, operatorTimeout))
	assert.NilError(t, err)
	// Addresses that were not asked yet don't come before the one that answers.
	addresses = []string{silentAddress(t), silentAddress(t), other.address}
	_, err = relay.Document(withTimeout(t, operatorTimeout))
	assert.NilError(t, err)
}

// slowMember answers queries of control processes after a while.
type slowMember struct{ delay time.Duration }

// ServeCall implements link.Handler.
func (m slowMember) ServeCall(_ context.Context, _ *wire.Call, stream *link.Stream) {
	time.Sleep(m.delay)
	_ = stream.Send(&wire.QueryReply{})
}

// Guards against calls that fail again and again, because a member that is slow counts as
// failed when the time of a call ends first, and is asked after one that is gone from then on.
func TestRelayAsksASlowMemberAgain(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := link.NewServer(slowMember{delay: 300 * time.Millisecond})
	go func() { _ = server.Serve(t.Context(), listener) }()
	t.Cleanup(func() { _ = listener.Close(); _ = server.Close() })
	links := link.NewClient(link.Config{Clock: clock.System{}})
	t.Cleanup(func() { _ = links.Close() })
	addresses := []string{silentAddress(t), listener.Addr().String()}
	relay := &ctrl.Relay{Link: links, ControlAddresses: func() []string { return addresses }, Logger: log.NewNopLogger()}
	const timeout = 650 * time.Millisecond // The one that is gone takes 500 ms of it.
	assert.Assert(t, relay.PutDocument(withTimeout(t, timeout), document(5, `{}`)) != nil)
	assert.NilError(t, relay.PutDocument(withTimeout(t, timeout), document(5, `{}`)))
}

// silentAddress returns an address that accepts connections and never answers.
func silentAddress(t *testing.T) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// A follower gets the document, the roster and the loads that other processes
// report. A process that is not a member redirects it to a member.
func TestFollowersGetDocumentRosterAndLoads(t *testing.T) {
	c := startDocumentControl(t, true, 0, nil)
	nonMember := startDocumentControl(t, false, 0, func() []string { return []string{c.address} })
	c.publisher.Replace(time.Now(), []roster.Target{{Name: "t1", Service: "s", Address: "10.0.0.1:1"}})
	assert.NilError(t, c.control.PutDocument(withTimeout(t, 10*time.Second), document(1, `{"a":{"b":1}}`)))

	startFollower := func(name string, loads func(bool) *wire.TargetLoads) (*watch.Follower, chan *wire.Update) {
		updates := make(chan *wire.Update, 1000)
		follower := watch.NewFollower(watch.Config{
			Addresses: []string{nonMember.address}, Link: c.links, Clock: clock.System{}, Logger: log.NewNopLogger(),
			Process: name, Role: "router", FollowLeader: true, CollectLoads: loads, LoadInterval: 20 * time.Millisecond,
			OnUpdate: func(update *wire.Update, _ *record.Set) { updates <- update },
		})
		go follower.Run(t.Context())
		return follower, updates
	}
	follower, updates := startFollower("one", nil)
	var reported atomic.Bool
	_, _ = startFollower("other", func(fresh bool) *wire.TargetLoads {
		if reported.Swap(true) && !fresh {
			return nil
		}
		return &wire.TargetLoads{RosterSource: "source", Targets: []uint32{1}, Requests: []uint32{7}}
	})
	timeout := time.After(10 * time.Second)
	for loaded := false; !loaded; {
		select {
		case update := <-updates:
			loaded = len(update.GetLoads().GetRequests()) == 1 && update.GetLoads().GetRequests()[0] == 7
		case <-timeout:
			t.Fatal("timed out waiting for the loads of the other process")
		}
	}
	version, body := follower.Document()
	assert.Equal(t, version, ident.Version(1))
	assert.Equal(t, string(body), `{"a":{"b":1}}`)
	source, targets := follower.Targets()
	assert.Equal(t, source, "source")
	assert.Equal(t, targets[0].Name, ident.TargetName("t1"))
	for v := ident.Version(2); v < 14; v++ {
		assert.NilError(t, c.control.PutDocument(withTimeout(t, 10*time.Second), document(v, `{"a":{"b":2}}`)))
	}
	for version != 13 {
		select {
		case <-updates:
			version, body = follower.Document()
		case <-timeout:
			t.Fatalf("timed out at document version %d", version)
		}
	}
	assert.Equal(t, string(body), `{"a":{"b":2}}`)
	for !follower.Confirmed() {
		select {
		case <-updates:
		case <-timeout:
			t.Fatal("timed out waiting for a quorum to confirm the follower's state")
		}
	}
}
