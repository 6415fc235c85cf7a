package ctrl_test

import (
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/ctrl"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/patch"
	"cactusline.dev/cactusline/internal/version/store"
)

// replacedDocumentStore is a store whose document can be replaced.
type replacedDocumentStore struct {
	*store.Store
	document atomic.Pointer[store.Document]
}

func (s *replacedDocumentStore) Document() store.Document { return *s.document.Load() }

// Guards against a confirmation that goes out without the document that it is of, or that
// the follower can't apply.
func TestConfirmationIsOfTheDocumentHeld(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	links := link.NewClient(link.Config{Clock: clock.System{}})
	defer links.Close()
	state := &replacedDocumentStore{Store: store.New(store.Config{})}
	putAt := []time.Time{time.Now()}
	put := func(body string) {
		next := document(ident.Version(len(putAt)), body)
		state.document.Store(&next)
		putAt = append(putAt, time.Now())
	}
	put(`{"a":1}`)
	controlGroup, err := group.Open(group.Config{VM: "a", Folder: t.TempDir(), StateMachine: state.Store, Clock: clock.System{}})
	assert.NilError(t, err)
	defer controlGroup.Close()
	assert.Assert(t, controlGroup.BootstrapSingle(listener.Addr().String()))
	control := ctrl.New(ctrl.Config{
		VM: "a", Listener: listener, Clock: clock.System{}, Logger: log.NewNopLogger(),
		Log: controlGroup, Store: state, Link: links, Group: controlGroup, Roster: roster.NewPublisher("a"),
	})
	go func() { _ = control.Run(t.Context()) }()
	follower := watch.NewFollower(watch.Config{
		Addresses: []string{listener.Addr().String()}, Link: links, Clock: clock.System{}, Logger: log.NewNopLogger(),
		Process: "gate", FollowLeader: true, ReportInterval: 5 * time.Millisecond, SilenceTimeout: time.Minute,
	})
	go follower.Run(t.Context())
	for began := time.Now(); !follower.Confirmed(); time.Sleep(time.Millisecond) {
		assert.Assert(t, time.Since(began) < 10*time.Second, "not confirmed")
	}
	// Bursts of versions, with pauses that are longer than the time between confirmations.
	for i := range 600 {
		if i%150 < 20 {
			put(fmt.Sprintf(`{"a":%d}`, len(putAt)))
		}
		now := time.Now()
		age, _ := follower.ConfirmedAge()
		confirmedAt := now.Add(-age)
		held, _ := follower.Document()
		if next := int(held) + 1; next < len(putAt) {
			assert.Assert(t, confirmedAt.Before(putAt[next]), "version %d is confirmed %s after the next one", held, confirmedAt.Sub(putAt[next]))
		}
		time.Sleep(5 * time.Millisecond)
	}
	put(strings.Repeat("x", patch.MaxBytes+1))
	tooLongAt := time.Now()
	time.Sleep(1200 * time.Millisecond)
	age, _ := follower.ConfirmedAge()
	assert.Assert(t, age > time.Since(tooLongAt), "an older version was confirmed %s ago", age)
}
