package cmds_test

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/cmds"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/patch"
	"cactusline.dev/cactusline/platform"
)

// stubCore is a control process that sends what leads, or nothing but the list of
// control processes if it has no quorum.
type stubCore struct {
	address string
	// controls are the addresses of all control processes.
	controls []string
	// leader is the index of the leader in controls, negative without a quorum.
	leader atomic.Int64
	// document is the version that it sends.
	document atomic.Uint64
	// silent is set once it sends nothing any more.
	silent atomic.Bool
}

func startStubCore(t *testing.T) *stubCore {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	core := &stubCore{address: listener.Addr().String()}
	server := link.NewServer(core)
	go func() { _ = server.Serve(context.Background(), listener) }()
	t.Cleanup(func() { _ = listener.Close(); _ = server.Close() })
	return core
}

func (c *stubCore) ServeCall(ctx context.Context, call *wire.Call, stream *link.Stream) {
	stamps := make(chan int64, 16)
	stamps <- call.GetWatch().GetStamp()
	go func() {
		for report := new(wire.Watch); stream.Receive(report) == nil; report = new(wire.Watch) {
			stamps <- report.GetStamp()
		}
		close(stamps)
	}()
	sent := call.GetWatch().GetDocument()
	for stamp := range stamps {
		if ctx.Err() != nil || c.silent.Load() {
			continue
		}
		update := &wire.Update{Controls: c.controls}
		leader := c.leader.Load()
		if leader >= 0 {
			update.Leader = c.controls[leader]
			if version := c.document.Load(); version > sent {
				body, _ := patch.Diff(nil, fmt.Appendf(nil, `{"version":%d}`, version))
				update.Document = &wire.Document{Version: version, Patch: body}
				sent = version
			}
		}
		if stream.Send(update) != nil {
			return
		}
		if leader >= 0 {
			// What the update holds is confirmed a little later.
			time.Sleep(20 * time.Millisecond)
			if stream.Send(&wire.Update{Leader: update.GetLeader(), Echo: stamp}) != nil {
				return
			}
		}
	}
}

// Guards against gates that spend the whole time of a disruption at cores which answer
// and have no quorum. The followers try the cores in all orders.
func TestNewestDocumentIsFoundPastCoresWithoutQuorum(t *testing.T) {
	for _, test := range []struct {
		withoutQuorum int
		contact       time.Duration
	}{{1, contactTime}, {2, 4 * time.Second}} {
		t.Run(fmt.Sprint(test.withoutQuorum), func(t *testing.T) {
			t.Parallel()
			cores := []*stubCore{startStubCore(t), startStubCore(t)}
			for range test.withoutQuorum {
				cores = append(cores, startStubCore(t))
			}
			var addresses []string
			for _, core := range cores {
				addresses = append(addresses, core.address)
			}
			for _, core := range cores {
				core.controls = addresses
				core.document.Store(1)
			}
			followers := followAll(t, addresses, test.contact)
			awaitDocument(t, followers, 1, 10*time.Second)

			leader, next := cores[0], cores[1]
			next.document.Store(2)
			next.leader.Store(1)
			for _, core := range cores[2:] {
				core.leader.Store(-1)
			}
			leader.silent.Store(true)
			awaitDocument(t, followers, 2, test.contact)
		})
	}
}

// followAll starts followers with the settings of gates. There are enough of them for
// all orders of the cores.
func followAll(t *testing.T, addresses []string, contact time.Duration) []*watch.Follower {
	t.Helper()
	const count = 60
	var followers []*watch.Follower
	for i := range count {
		settings := &platform.Settings{VM: ident.VMName(fmt.Sprint("gate-", i)), Seeds: addresses, ContactTime: contact}
		links := cmds.PlatformLinks(settings)
		t.Cleanup(func() { _ = links.Close() })
		follower := watch.NewFollower(cmds.GateFollowerConfig(settings, links, log.NewNopLogger()))
		followers = append(followers, follower)
		go follower.Run(t.Context())
	}
	return followers
}

// awaitDocument waits until all followers hold the version.
func awaitDocument(t *testing.T, followers []*watch.Follower, version ident.Version, limit time.Duration) {
	t.Helper()
	began := time.Now()
	for {
		lacking := 0
		for _, follower := range followers {
			if held, _ := follower.Document(); held < version {
				lacking++
			}
		}
		if lacking == 0 {
			return
		}
		assert.Assert(t, time.Since(began) < limit, "%d of %d followers lack version %d after %s", lacking, len(followers), version, limit)
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against gates that are sent to a leader which they can't reach, again and again,
// by a core that could tell them the newest document.
func TestNewestDocumentIsFoundWhileTheLeaderIsUnreachable(t *testing.T) {
	t.Parallel()
	cores := []*stubCore{startStubCore(t), startStubCore(t), startStubCore(t)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	unreachable := listener.Addr().String()
	_ = listener.Close()
	addresses := []string{unreachable}
	for _, core := range cores {
		addresses = append(addresses, core.address)
	}
	for _, core := range cores {
		core.controls = addresses
		core.leader.Store(1)
		core.document.Store(1)
	}
	followers := followAll(t, addresses, contactTime)
	awaitDocument(t, followers, 1, 10*time.Second)

	// The first core goes silent. The others follow a leader that no gate reaches.
	cores[0].silent.Store(true)
	for _, core := range cores[1:] {
		core.leader.Store(0)
	}
	time.Sleep(contactTime)
	for _, core := range cores {
		core.document.Store(2)
	}
	awaitDocument(t, followers, 2, applyTime)
	time.Sleep(contactTime)
	for i, follower := range followers {
		age, _ := follower.ConfirmedAge()
		assert.Check(t, age < applyTime, "the document of follower %d was confirmed %s ago", i, age)
	}
}
