package member_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/member"
	"cactusline.dev/cactusline/internal/version/ident"
)

// announceInterval is the time between two rounds of announcements.
const announceInterval = 2 * time.Second

// discoveryFleet is a fleet of control processes that announce themselves to each other
// over links, on a clock that the test advances.
type discoveryFleet struct {
	t         *testing.T
	clock     *steppingClock
	processes []*discoveryProcess
}

type discoveryProcess struct {
	*member.Discovery
	address string
	stop    context.CancelFunc
	running bool
}

// ServeCall implements link.Handler.
func (p *discoveryProcess) ServeCall(_ context.Context, call *wire.Call, stream *link.Stream) {
	_ = stream.Send(p.Answer(call.GetQuery()))
}

// start starts a process, with a data folder if id is not empty. One without other seeds is
// the first seed of a new system.
func (f *discoveryFleet) start(vm ident.VMName, id group.MemberID, seeds ...*discoveryProcess) *discoveryProcess {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(f.t, err)
	links := link.NewClient(link.Config{Clock: clock.System{}, DialTimeout: time.Second})
	f.t.Cleanup(func() { _ = links.Close() })
	ctx, cancel := context.WithCancel(f.t.Context())
	p := &discoveryProcess{address: listener.Addr().String(), running: true}
	var addresses []string
	for _, seed := range seeds {
		addresses = append(addresses, seed.address)
	}
	if len(seeds) == 0 {
		addresses = []string{p.address}
	}
	p.Discovery = member.NewDiscovery(member.DiscoveryConfig{
		Self:  member.Process{VM: vm, ID: id, Address: p.address, Fresh: len(seeds) == 0},
		Seeds: addresses, Link: links, Clock: f.clock, Logger: log.NewNopLogger(),
	})
	server := link.NewServer(p)
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = server.Serve(ctx, listener) // fails when the listener is closed
	}()
	p.stop = func() {
		p.running = false
		cancel()
		_ = listener.Close()
		_ = server.Close()
		<-served
	}
	f.t.Cleanup(p.stop)
	f.processes = append(f.processes, p)
	return p
}

// run runs rounds of announcements for a time.
func (f *discoveryFleet) run(d time.Duration) {
	for range d / announceInterval {
		f.clock.now = f.clock.now.Add(announceInterval)
		for _, p := range f.processes {
			if p.running {
				p.Announce(f.t.Context())
			}
		}
	}
}

func newDiscoveryFleet(t *testing.T) *discoveryFleet {
	return &discoveryFleet{t: t, clock: &steppingClock{now: time.Unix(1000, 0)}}
}

func (p *discoveryProcess) names() []string {
	var names []string
	for _, known := range p.Known() {
		names = append(names, string(known.VM))
	}
	return names
}

// Guards against operators' calls that fail for as long as a fleet runs after machines were
// replaced, because the processes go on naming the dead to each other.
func TestReplacedProcessesAreForgotten(t *testing.T) {
	f := newDiscoveryFleet(t)
	b, c := f.start("b", "b/1"), f.start("c", "c/1")
	contact := f.start("d", "d/1", b, c)
	relay, otherRelay := f.start("r1", "", b, c, contact), f.start("r2", "", b, c, contact)
	// More than one process announces itself to each, as members do.
	f.start("e", "e/1", b, c, contact)
	var dead []string
	for i := range 4 {
		vm := ident.VMName(fmt.Sprintf("a%d", i))
		replaced := f.start(vm, group.MemberID(vm), b, c, contact)
		f.run(8 * time.Second)
		assert.Assert(t, slices.Contains(relay.ReplicaAddresses(), replaced.address), "%s runs", vm)
		replaced.stop()
		dead = append(dead, string(vm))
		f.run(12 * time.Second)
		for _, p := range []*discoveryProcess{relay, otherRelay} {
			assert.Assert(t, !slices.Contains(p.ReplicaAddresses(), replaced.address), "%s is gone", vm)
			assert.Equal(t, len(p.ReplicaAddresses()), 4, "the others run")
		}
	}
	f.run(80 * time.Second)
	for _, p := range []*discoveryProcess{b, c, contact, relay, otherRelay} {
		for _, name := range p.names() {
			assert.Assert(t, !slices.Contains(dead, name), "%s is still known", name)
		}
	}
}

// Guards against a second group, which a process forms that is named founder after another one
// has formed the group: one that starts late, or finds no place among the members.
func TestOneFounderIsNamed(t *testing.T) {
	f := newDiscoveryFleet(t)
	seed := f.start("s", "")
	named := func(vm ident.VMName, id group.MemberID) ident.VMName {
		argument, err := json.Marshal(member.Process{VM: vm, ID: id, Address: "127.0.0.1:1", Fresh: true})
		assert.NilError(t, err)
		var reply struct{ Founder ident.VMName }
		assert.NilError(t, json.Unmarshal(seed.Answer(&wire.Query{Kind: "announce", Argument: argument}).GetResult(), &reply))
		return reply.Founder
	}
	assert.Equal(t, named("d", "d/1"), ident.VMName(""), "others may still start")
	f.clock.now = f.clock.now.Add(900 * time.Millisecond)
	assert.Equal(t, named("c", "c/1"), ident.VMName("c"))
	assert.Equal(t, named("a", "a/1"), ident.VMName("c"), "one that started late")
	f.clock.now = f.clock.now.Add(time.Minute)
	assert.Equal(t, named("b", "b/1"), ident.VMName("c"), "the founder announces itself no more")
}

// Guards against calls that go first to processes that are gone.
func TestProcessHeardOfLastIsAskedFirst(t *testing.T) {
	f := newDiscoveryFleet(t)
	b, c := f.start("b", "b/1"), f.start("c", "c/1")
	contact := f.start("d", "d/1", b, c)
	relay := f.start("r", "", contact)
	f.start("e", "e/1", contact)
	f.run(8 * time.Second)
	b.stop()
	c.stop()
	f.run(6 * time.Second)
	addresses := relay.ReplicaAddresses()
	assert.Equal(t, len(addresses), 4, "nothing is left out so soon")
	assert.Assert(t, !slices.Contains(addresses[:2], b.address) && !slices.Contains(addresses[:2], c.address))
}

// Guards against old data of a process that takes the place of newer data, as after the loss of
// its disk.
func TestOlderReportChangesNothing(t *testing.T) {
	f := newDiscoveryFleet(t)
	seed := f.start("s", "s/1")
	p := f.start("p", "p/1", seed)
	tell := func(process member.Process) {
		argument, err := json.Marshal(process)
		assert.NilError(t, err)
		seed.Answer(&wire.Query{Kind: "announce", Argument: argument})
	}
	address := func() string {
		for _, known := range p.Known() {
			if known.VM == "x" {
				return known.Address
			}
		}
		return ""
	}
	// p hears of x through other seeds, one of which was told long ago.
	other := f.start("o", "o/1")
	tell(member.Process{VM: "x", ID: "x/1", Address: "127.0.0.1:1"})
	f.clock.now = f.clock.now.Add(30 * time.Second)
	argument, err := json.Marshal(member.Process{VM: "x", ID: "x/2", Address: "127.0.0.1:2"})
	assert.NilError(t, err)
	other.Answer(&wire.Query{Kind: "announce", Argument: argument})
	p.SetSeeds([]string{other.address})
	p.Announce(t.Context())
	assert.Equal(t, address(), "127.0.0.1:2")
	other.stop()
	p.SetSeeds([]string{seed.address})
	p.Announce(t.Context())
	assert.Equal(t, address(), "127.0.0.1:2")
	// What the process itself has just said goes before what others have heard.
	argument, err = json.Marshal(member.Process{VM: "x", ID: "x/3", Address: "127.0.0.1:3"})
	assert.NilError(t, err)
	p.Answer(&wire.Query{Kind: "announce", Argument: argument})
	f.clock.now = f.clock.now.Add(500 * time.Millisecond)
	tell(member.Process{VM: "x", ID: "x/1", Address: "127.0.0.1:1"})
	p.Announce(t.Context())
	assert.Equal(t, address(), "127.0.0.1:3")
}

// Guards against a process that knows nobody any more after it was cut off for long.
func TestProcessThatHearsOfNobodyForgetsNobody(t *testing.T) {
	f := newDiscoveryFleet(t)
	b, c := f.start("b", "b/1"), f.start("c", "c/1")
	relay := f.start("r", "", b, c)
	f.run(8 * time.Second)
	known := relay.ReplicaAddresses()
	assert.Equal(t, len(known), 2)
	b.stop()
	c.stop()
	f.run(4 * time.Minute)
	assert.Equal(t, len(relay.ReplicaAddresses()), 2)
}

// Guards against a process without a disk that follows no change once all seeds of its
// settings are gone.
func TestProcessOutlivesItsSeeds(t *testing.T) {
	f := newDiscoveryFleet(t)
	seed := f.start("a", "a/1")
	b := f.start("b", "b/1", seed)
	relay := f.start("r", "", seed)
	f.run(8 * time.Second)
	seed.stop()
	f.run(8 * time.Second)
	added := f.start("c", "c/1", b)
	f.run(80 * time.Second)
	addresses := relay.ReplicaAddresses()
	slices.Sort(addresses)
	want := []string{b.address, added.address}
	slices.Sort(want)
	assert.DeepEqual(t, addresses, want)
}
