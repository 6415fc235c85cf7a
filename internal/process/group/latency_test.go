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

// TestRandomisedFailoverTime bounds, in simulated time and with a delay of 5
// ms per message, how long a group has no leader after its leader stops.
func TestRandomisedFailoverTime(t *testing.T) {
	var gaps []time.Duration
	seeds.Run(t, seeds.Range{First: 1, Last: 200}, func(t *testing.T, seed uint64) {
		s := newSim(seed)
		s.lossRate, s.duplicateRate, s.fixedDelay = 0, 0, 5*time.Millisecond
		s.run(1000)
		oldLeader := s.leader()
		assert.Assert(t, oldLeader != nil)
		oldLeader.up = false
		oldLeader.incarnation++
		lostAt := s.now
		for s.leader() == nil && s.now < lostAt+10*time.Second {
			s.run(1)
		}
		assert.Assert(t, len(s.violations) == 0, "%v", s.violations)
		assert.Assert(t, s.now-lostAt < 1500*time.Millisecond, "%v without a leader", s.now-lostAt)
		gaps = append(gaps, s.now-lostAt)
	})
	slices.Sort(gaps)
	t.Logf("without a leader: median %v, p99 %v, max %v of %d", gaps[len(gaps)/2], gaps[len(gaps)*99/100], gaps[len(gaps)-1], len(gaps))
	assert.Assert(t, gaps[len(gaps)/2] < 700*time.Millisecond)
}

// A member whose log holds 10000 entries since the last snapshot must be ready
// within one second of a restart.
func TestRestartReplaysLongLogQuickly(t *testing.T) {
	const entries = 10_000
	nw := newNetwork(t, 0)
	cfg := group.Config{VM: "c1", Folder: t.TempDir(), Bootstrap: bootstrapMembers(1), StateMachine: &counter{}, SnapshotThreshold: 3 * entries}
	g := nw.open(cfg)
	nw.awaitLeader(time.Second)
	ctx := withTimeout(t, 30*time.Second)
	proposeAll(ctx, t, g, entries)
	assert.NilError(t, g.Close())

	machine := &counter{}
	cfg.StateMachine = machine
	start := time.Now()
	g = nw.open(cfg)
	defer g.Close()
	_, err := g.Barrier(ctx)
	took := time.Since(start)
	assert.NilError(t, err)
	assert.Equal(t, machine.value(), uint64(entries))
	t.Logf("ready %v after a restart with %d entries in the log", took, entries)
	assert.Assert(t, took < time.Second)
}

func proposeAll(ctx context.Context, t *testing.T, g *group.Group, entries int) {
	const proposers = 100
	var work sync.WaitGroup
	for range proposers {
		work.Go(func() {
			for range entries / proposers {
				_, err := g.Propose(ctx, addEntry(1))
				assert.Check(t, err)
			}
		})
	}
	work.Wait()
}

// An Apply that takes longer than the election timeout must not delay
// heartbeats and so cause an election.
func TestSlowApplyKeepsLeader(t *testing.T) {
	nw := newNetwork(t, time.Millisecond)
	var groups []*group.Group
	folder := t.TempDir()
	for _, member := range bootstrapMembers(3) {
		groups = append(groups, nw.open(group.Config{
			VM: member.VM, Folder: folder + "/" + string(member.VM), Bootstrap: bootstrapMembers(3),
			StateMachine: &counter{delay: time.Second},
		}))
	}
	leader := nw.awaitLeader(5 * time.Second)
	term := leader.Status().Term
	_, err := leader.Propose(withTimeout(t, 10*time.Second), addEntry(1))
	assert.NilError(t, err)
	assert.Equal(t, leader.Status().Role, raft.Leader)
	assert.Equal(t, leader.Status().Term, term)
	for _, g := range groups {
		defer g.Close()
	}
}

// udpTransport is a Transport over UDP on the loopback interface.
type udpTransport struct {
	conn      net.PacketConn
	addresses map[ident.VMName]net.Addr
}

func (s *udpTransport) Send(to group.MemberID, message []byte) {
	_, _ = s.conn.WriteTo(message, s.addresses[to.VM()])
}

func (s *udpTransport) serve(g *group.Group) {
	buf := make([]byte, 1<<16)
	for {
		n, from, err := s.conn.ReadFrom(buf)
		if err != nil {
			return
		}
		for vm, addr := range s.addresses {
			if addr.String() == from.String() {
				g.Receive(group.UnresolvedID(vm), slices.Clone(buf[:n]))
			}
		}
	}
}

// BenchmarkCommit measures the commit latency of one proposer on three members
// with real disk syncs.
func BenchmarkCommit(b *testing.B) {
	peers := map[ident.VMName]net.Addr{}
	var transports []*udpTransport
	for _, member := range bootstrapMembers(3) {
		conn, err := net.ListenPacket("udp", "127.0.0.1:0")
		assert.NilError(b, err)
		defer conn.Close()
		peers[member.VM] = conn.LocalAddr()
		transports = append(transports, &udpTransport{conn: conn, addresses: peers})
	}
	var groups []*group.Group
	folder := b.TempDir()
	for i, member := range bootstrapMembers(3) {
		g, err := group.Open(group.Config{
			VM: member.VM, Folder: folder + "/" + string(member.VM), Bootstrap: bootstrapMembers(3),
			StateMachine: &counter{}, Transport: transports[i], Clock: clock.System{},
		})
		assert.NilError(b, err)
		defer g.Close()
		go transports[i].serve(g)
		groups = append(groups, g)
	}
	var leader *group.Group
	for leader == nil {
		for _, g := range groups {
			if g.Status().Role == raft.Leader {
				leader = g
			}
		}
	}
	latencies := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for b.Loop() {
		start := time.Now()
		_, err := leader.Propose(context.Background(), addEntry(1))
		assert.NilError(b, err)
		assert.NilError(b, latencies.RecordValue(time.Since(start).Microseconds()))
	}
	b.ReportMetric(float64(latencies.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
}
