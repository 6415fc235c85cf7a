package group_test

import (
	"context"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/group"
	"cactusline.dev/cactusline/internal/process/raft"
	"cactusline.dev/cactusline/internal/process/seeds"
	"cactusline.dev/cactusline/internal/version/ident"
)

// TestRandomisedLossOfLeaderIsShort measures, in simulated time and with
// 5 ms for each message, how long a group is without a leader.
func TestRandomisedLossOfLeaderIsShort(t *testing.T) {
	var gaps []time.Duration
	seeds.Run(t, seeds.Range{First: 1, Last: 200}, func(t *testing.T, seed uint64) {
		s := newSim(seed)
		s.loss, s.double, s.delay = 0, 0, 5*time.Millisecond
		s.run(1000)
		old := s.leading()
		assert.Assert(t, old != nil)
		old.up = false
		old.life++
		lost := s.now
		for s.leading() == nil && s.now < lost+10*time.Second {
			s.run(1)
		}
		assert.Assert(t, len(s.broken) == 0, "%v", s.broken)
		assert.Assert(t, s.now-lost < 1500*time.Millisecond, "%v without a leader", s.now-lost)
		gaps = append(gaps, s.now-lost)
	})
	slices.Sort(gaps)
	t.Logf("without a leader: median %v, p99 %v, max %v of %d", gaps[len(gaps)/2], gaps[len(gaps)*99/100], gaps[len(gaps)-1], len(gaps))
	assert.Assert(t, gaps[len(gaps)/2] < 700*time.Millisecond)
}

func TestRestartAfterManyChangesIsQuick(t *testing.T) {
	const changes = 10_000
	net := newNetwork(t, 0)
	cfg := group.Config{VM: "c1", Folder: t.TempDir(), Bootstrap: bootstrap(1), StateMachine: &counter{}, SnapshotThreshold: 3 * changes}
	g := net.open(cfg)
	net.awaitLeader(time.Second)
	ctx := withTimeout(t, 30*time.Second)
	proposeAll(ctx, t, g, changes)
	assert.NilError(t, g.Close())

	machine := &counter{}
	cfg.StateMachine = machine
	start := time.Now()
	g = net.open(cfg)
	defer g.Close()
	_, err := g.Barrier(ctx)
	took := time.Since(start)
	assert.NilError(t, err)
	assert.Equal(t, machine.value(), uint64(changes))
	t.Logf("ready %v after a restart with %d changes in the log", took, changes)
	assert.Assert(t, took < time.Second)
}

func proposeAll(ctx context.Context, t *testing.T, g *group.Group, changes int) {
	const proposers = 100
	var work sync.WaitGroup
	for range proposers {
		work.Go(func() {
			for range changes / proposers {
				_, err := g.Propose(ctx, add(1))
				assert.Check(t, err)
			}
		})
	}
	work.Wait()
}

func TestSlowApplyKeepsLeader(t *testing.T) {
	net := newNetwork(t, time.Millisecond)
	var nodes []*group.Group
	folder := t.TempDir()
	for _, member := range bootstrap(3) {
		nodes = append(nodes, net.open(group.Config{
			VM: member.VM, Folder: folder + "/" + string(member.VM), Bootstrap: bootstrap(3),
			StateMachine: &counter{delay: time.Second},
		}))
	}
	leader := net.awaitLeader(5 * time.Second)
	term := leader.Status().Term
	_, err := leader.Propose(withTimeout(t, 10*time.Second), add(1))
	assert.NilError(t, err)
	assert.Equal(t, leader.Status().Role, raft.Leader)
	assert.Equal(t, leader.Status().Term, term)
	for _, g := range nodes {
		defer g.Close()
	}
}

// socket is a transport over UDP on the loopback interface.
type socket struct {
	conn  net.PacketConn
	peers map[ident.VMName]net.Addr
}

func (s *socket) Send(to group.MemberID, message []byte) {
	_, _ = s.conn.WriteTo(message, s.peers[to.VM()])
}

func (s *socket) serve(g *group.Group) {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := s.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		for vm, addr := range s.peers {
			if addr.String() == from.String() {
				g.Receive(group.UnresolvedID(vm), slices.Clone(buf[:n]))
			}
		}
	}
}

// BenchmarkCommit measures one proposer on three members with real syncs.
func BenchmarkCommit(b *testing.B) {
	peers := map[ident.VMName]net.Addr{}
	var sockets []*socket
	for _, member := range bootstrap(3) {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		assert.NilError(b, err)
		defer conn.Close()
		peers[member.VM] = conn.LocalAddr()
		sockets = append(sockets, &socket{conn: conn, peers: peers})
	}
	var nodes []*group.Group
	folder := b.TempDir()
	for i, member := range bootstrap(3) {
		g, err := group.Open(group.Config{
			VM: member.VM, Folder: folder + "/" + string(member.VM), Bootstrap: bootstrap(3),
			StateMachine: &counter{}, Transport: sockets[i], Clock: clock.System{},
		})
		assert.NilError(b, err)
		defer g.Close()
		go sockets[i].serve(g)
		nodes = append(nodes, g)
	}
	var leader *group.Group
	for leader == nil {
		for _, g := range nodes {
			if g.Status().Role == raft.Leader {
				leader = g
			}
		}
	}
	took := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for b.Loop() {
		start := time.Now()
		_, err := leader.Propose(context.Background(), add(1))
		assert.NilError(b, err)
		assert.NilError(b, took.RecordValue(time.Since(start).Microseconds()))
	}
	b.ReportMetric(float64(took.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(took.ValueAtQuantile(99))/1000, "p99-ms")
}
