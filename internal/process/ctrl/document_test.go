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

// docRig is one control process that keeps routing documents.
type docRig struct {
	control *ctrl.Control
	book    *roster.Publisher
	address string
	links   *link.Client
}

func startDocRig(t *testing.T, founded bool, minVoters int, elsewhere func() []string) *docRig {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	r := &docRig{
		address: listener.Addr().String(), book: roster.NewPublisher("book"),
		links: link.NewClient(link.Config{Clock: clock.System{}, Caller: "test"}),
	}
	state := store.New(store.Config{})
	replicas, err := group.Open(group.Config{VM: "a", Folder: t.TempDir(), StateMachine: state, Clock: clock.System{}})
	assert.NilError(t, err)
	if founded {
		assert.Assert(t, replicas.BootstrapSingle(r.address))
		assert.Assert(t, !replicas.BootstrapSingle(r.address), "a group is founded once")
	}
	r.control = ctrl.New(ctrl.Config{
		VM: "a", Listener: listener, Clock: clock.System{}, Logger: log.NewNopLogger(),
		Log: replicas, Store: state, Link: r.links, Group: replicas, Receive: replicas.Receive,
		Roster: r.book, MinVoters: minVoters, RedirectAddresses: elsewhere,
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- r.control.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		<-done
		_ = r.links.Close()
		_ = replicas.Close()
	})
	return r
}

func document(version ident.Version, text string) store.Document {
	return store.Document{Version: version, Body: []byte(text)}
}

func within(t *testing.T, d time.Duration) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), d)
	t.Cleanup(cancel)
	return ctx
}

func TestHighestDocumentIsHeld(t *testing.T) {
	r := startDocRig(t, true, 0, nil)
	ctx := within(t, 10*time.Second)
	assert.NilError(t, r.control.PutDocument(ctx, document(3, `{"a":{"b":3}}`)))
	assert.NilError(t, r.control.PutDocument(ctx, document(3, `{"other":3}`)), "the same version again is acknowledged")
	assert.NilError(t, r.control.PutDocument(ctx, document(2, `{"older":2}`)), "an older one too")
	held, err := r.control.Document(ctx)
	assert.NilError(t, err)
	assert.Equal(t, held.Version, ident.Version(3))
	assert.Equal(t, string(held.Body), `{"a":{"b":3}}`)
	assert.NilError(t, r.control.PutDocument(ctx, document(9, `{"a":{"b":9}}`)))
	held, err = r.control.Document(ctx)
	assert.NilError(t, err)
	assert.Equal(t, string(held.Body), `{"a":{"b":9}}`)
}

// One disk can't bear a loss: nothing is acknowledged that could be lost.
func TestNoDocumentIsTakenByTooFewVoters(t *testing.T) {
	r := startDocRig(t, true, 3, nil)
	err := r.control.PutDocument(within(t, 300*time.Millisecond), document(1, `{}`))
	assert.ErrorContains(t, err, "1 voters of 3")
	held, err := r.control.Document(within(t, time.Second))
	assert.NilError(t, err)
	assert.Equal(t, held.Version, ident.Version(0))
}

func TestWithoutQuorumADocumentIsNeitherTakenNorRead(t *testing.T) {
	r := startDocRig(t, false, 0, nil)
	assert.Assert(t, r.control.PutDocument(within(t, 200*time.Millisecond), document(1, `{}`)) != nil)
	_, err := r.control.Document(within(t, 200*time.Millisecond))
	assert.Assert(t, err != nil)
}

func TestRelayPutsAndReadsElsewhere(t *testing.T) {
	r := startDocRig(t, true, 0, nil)
	relay := &ctrl.Relay{
		Link: r.links, ControlAddresses: func() []string { return []string{"127.0.0.1:1", r.address} }, Logger: log.NewNopLogger(),
	}
	ctx := within(t, 10*time.Second)
	assert.NilError(t, relay.PutDocument(ctx, document(5, `{"a":5}`)))
	held, err := relay.Document(ctx)
	assert.NilError(t, err)
	assert.Equal(t, string(held.Body), `{"a":5}`)
	documents := &ctrl.DocumentService{Control: startDocRig(t, false, 0, nil).control, Relay: relay}
	held, err = documents.Document(ctx)
	assert.NilError(t, err)
	assert.Equal(t, held.Version, ident.Version(5), "a process that is no member asks one that is")
}

// A follower gets the document, the roster and what others have in flight, and
// is sent on by a process that is no member.
func TestFollowersGetDocumentRosterAndLoads(t *testing.T) {
	r := startDocRig(t, true, 0, nil)
	outside := startDocRig(t, false, 0, func() []string { return []string{r.address} })
	r.book.Replace([]roster.Target{{Name: "t1", Service: "s", Address: "10.0.0.1:1"}})
	assert.NilError(t, r.control.PutDocument(within(t, 10*time.Second), document(1, `{"a":{"b":1}}`)))

	follow := func(name string, loads func(bool) *wire.TargetLoads) (*watch.Follower, chan *wire.Update) {
		updates := make(chan *wire.Update, 1000)
		follower := watch.NewFollower(watch.Config{
			Addresses: []string{outside.address}, Link: r.links, Clock: clock.System{}, Logger: log.NewNopLogger(),
			Process: name, Role: "router", FollowLeader: true, CollectLoads: loads, LoadInterval: 20 * time.Millisecond,
			OnUpdate: func(update *wire.Update, _ *record.Set) { updates <- update },
		})
		go follower.Run(t.Context())
		return follower, updates
	}
	one, updates := follow("one", nil)
	var told atomic.Bool
	_, _ = follow("other", func(fresh bool) *wire.TargetLoads {
		if told.Swap(true) && !fresh {
			return nil
		}
		return &wire.TargetLoads{RosterSource: "book", Targets: []uint32{1}, Requests: []uint32{7}}
	})
	limit := time.After(10 * time.Second)
	for loaded := false; !loaded; {
		select {
		case update := <-updates:
			loaded = len(update.GetLoads().GetRequests()) == 1 && update.GetLoads().GetRequests()[0] == 7
		case <-limit:
			t.Fatal("the loads of the other process never came")
		}
	}
	version, body := one.Document()
	assert.Equal(t, version, ident.Version(1))
	assert.Equal(t, string(body), `{"a":{"b":1}}`)
	source, targets := one.Targets()
	assert.Equal(t, source, "book")
	assert.Equal(t, targets[0].Name, ident.TargetName("t1"))
	for v := ident.Version(2); v < 14; v++ {
		assert.NilError(t, r.control.PutDocument(within(t, 10*time.Second), document(v, `{"a":{"b":2}}`)))
	}
	for version != 13 {
		select {
		case <-updates:
			version, body = one.Document()
		case <-limit:
			t.Fatalf("stays at document %d", version)
		}
	}
	assert.Equal(t, string(body), `{"a":{"b":2}}`)
	for !one.Confirmed() {
		select {
		case <-updates:
		case <-limit:
			t.Fatal("no quorum confirms what the follower holds")
		}
	}
}
