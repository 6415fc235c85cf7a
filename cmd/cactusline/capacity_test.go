package main_test

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
	"cactusline.dev/cactusline/internal/version/store"
)

const (
	warmTime   = 4 * time.Second
	sampleTime = 4 * time.Second
)

// BenchmarkCapacity measures each role at several sizes, for
// docs/capacity.txt. Run it with -benchtime 1x.
func BenchmarkCapacity(b *testing.B) {
	each := func(role string, sizes []int, run func(b *testing.B, size int)) {
		for _, size := range sizes {
			b.Run(fmt.Sprintf("role=%s/size=%d", role, size), func(b *testing.B) {
				for range b.N {
					run(b, size)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
	each("watch", []int{205, 410, 820}, benchWatch)
	each("sums", []int{175, 350, 700}, benchSums)
	each("commits", []int{50, 100, 200}, benchCommits)
	each("router", []int{350, 700, 1400}, benchRouter)
	each("probes", []int{175, 350, 700}, benchProbes)
	each("chats", []int{16, 32, 64}, benchChats)
	each("force", []int{100, 205, 410}, benchForce)
	each("herd-1", []int{278, 555, 1110}, func(b *testing.B, size int) { benchHerd(b, 1, size) })
	each("herd-3", []int{278, 555, 1110}, func(b *testing.B, size int) { benchHerd(b, 3, size) })
	each("failover", []int{278, 555, 1110}, benchFailover)
}

// benchWatch has one control process feed watchers.
func benchWatch(b *testing.B, size int) {
	s := startScale(b, 1, planTargets, nil)
	time.Sleep(warmTime)
	base := usageOf(b, s.controls[0].cmd.Process.Pid)
	awaitLeased(b, s.watchers(size))
	time.Sleep(warmTime)
	m := s.measure(sampleTime, s.controls)
	b.ReportMetric(m.core(0), "control-%core")
	b.ReportMetric(m.after[0].resident-base.resident, "control-added-MB")
	b.ReportMetric(100*m.own.Seconds()/m.seconds/float64(size), "watcher-%core")
	b.ReportMetric(m.traffic.bytes()/m.seconds/float64(size), "watcher-B/s")
	b.ReportMetric(float64(m.traffic.packets)/m.seconds/float64(size), "watcher-packets/s")
}

// benchSums has one control process sum the loads of idle sidecars.
func benchSums(b *testing.B, size int) {
	s := startScale(b, 1, size, nil)
	followers := s.sidecars(size)
	await(b, time.Minute, "every sidecar has a lease", func() bool {
		return !slices.ContainsFunc(followers, func(f *watch.Follower) bool { return !f.HasLease() })
	})
	time.Sleep(warmTime)
	m := s.measure(sampleTime, s.controls)
	b.ReportMetric(m.core(0), "control-%core")
	b.ReportMetric(m.after[0].resident, "control-MB")
	b.ReportMetric(100*m.own.Seconds()/m.seconds/float64(size), "sidecar-%core")
	b.ReportMetric(m.traffic.bytes()/m.seconds/float64(size), "sidecar-B/s")
	b.ReportMetric(float64(m.traffic.packets)/m.seconds/float64(size), "sidecar-packets/s")
}

// benchCommits has three control processes commit a claim and a settlement
// for each of some paid steps a second.
func benchCommits(b *testing.B, size int) {
	s := startScale(b, 3, planTargets, nil)
	time.Sleep(warmTime)
	client := remote.NewClient(remote.Config{Addresses: s.controlAddresses, Link: s.links("router"), Clock: clock.System{}})
	ctx, cancel := context.WithCancel(s.ctx)
	var work sync.WaitGroup
	var done, failed atomic.Int64
	work.Go(func() {
		for i := 0; (clock.System{}).Sleep(ctx, time.Second/time.Duration(size)) == nil; i++ {
			work.Go(func() {
				if payStep(s.ctx, client, i) != nil {
					failed.Add(1)
				}
				done.Add(1)
			})
		}
	})
	time.Sleep(time.Second)
	before := done.Load()
	m := s.measure(sampleTime, s.controls)
	rate := float64(done.Load()-before) / m.seconds
	cancel()
	work.Wait()
	cores := []float64{m.core(0), m.core(1), m.core(2)}
	slices.Sort(cores)
	b.ReportMetric(rate, "steps/s")
	b.ReportMetric(float64(failed.Load()), "failed")
	b.ReportMetric(cores[2], "leader-%core")
	b.ReportMetric((cores[0]+cores[1])/2, "follower-%core")
}

// payStep claims and settles one key.
func payStep(ctx context.Context, client *remote.Client, i int) error {
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	key, attempt := fmt.Sprintf("key-%016x", i), fmt.Sprintf("attempt-%016x", i)
	claim := &cmdpb.Claim{Customer: "customer-0001", Key: key, Request: "r-" + attempt, Attempt: attempt, Target: "t", Incarnation: 1}
	settle := &cmdpb.Settle{Customer: "customer-0001", Key: key, Attempt: attempt, Answer: &cmdpb.Answer{Status: 200, Body: make([]byte, 300)}}
	for _, command := range []*cmdpb.Command{
		{Actor: "router-1", Body: &cmdpb.Command_Claim{Claim: claim}},
		{Actor: "router-1", Body: &cmdpb.Command_Settle{Settle: settle}},
	} {
		entry, err := store.EncodeCommand(command)
		if err != nil {
			return err
		}
		if _, err := client.ProposeEntry(ctx, entry, ""); err != nil {
			return err
		}
	}
	return nil
}

// standIn answers the probes of one target.
type standIn struct{ target ident.TargetName }

// ServeCall implements link.Handler.
func (h standIn) ServeCall(_ context.Context, call *wire.Call, stream *link.Stream) {
	if call.GetProbe() != nil {
		_ = stream.Send(&wire.ProbeReply{Load: &wire.Load{Incarnation: 1}, Target: string(h.target), Revision: 1})
	}
}

// standIns starts n targets' sidecars that only answer probes, and returns
// their addresses.
func standIns(b *testing.B, n int) []string {
	var addresses []string
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		server := link.NewServer(standIn{target: planTarget(i)})
		go func() { _ = server.Serve(context.Background(), listener) }()
		b.Cleanup(func() { _ = listener.Close(); _ = server.Close() })
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// benchRouter runs one idle router that knows some targets.
func benchRouter(b *testing.B, size int) {
	s := startScale(b, 1, size, standIns(b, size))
	s.startRouter("router-1")
	s.awaitReady(s.routerAddresses[0])
	time.Sleep(warmTime)
	m := s.measure(3*sampleTime, s.routers)
	b.ReportMetric(m.core(0), "router-%core")
	b.ReportMetric(m.after[0].resident, "router-MB")
	b.ReportMetric(m.after[0].peak, "router-peak-MB")
}

// benchProbes probes each target once over a fresh connection and once over
// one that stands.
func benchProbes(b *testing.B, size int) {
	addresses := standIns(b, size)
	links := link.NewClient(link.Config{Clock: clock.System{}, Caller: "router-0001", SessionsPerPeer: 1})
	defer links.Close()
	ports := make(map[int]bool)
	for _, address := range addresses {
		ports[portIn(b, address)] = true
	}
	round := func() float64 {
		passed := trafficOf(b, ports)
		for _, address := range addresses {
			call := &wire.Call{Body: &wire.Call_Probe{Probe: new(wire.Probe)}}
			assert.NilError(b, links.Ask(context.Background(), address, call, new(wire.ProbeReply)))
		}
		time.Sleep(time.Second)
		// Both ends of each connection are in this process.
		return trafficOf(b, ports).minus(passed).bytes() / 2
	}
	b.ReportMetric(round(), "fresh-B")
	b.ReportMetric(round(), "again-B")
}

// benchChats has one router and one sidecar relay streamed answers, one token
// each 37 ms.
func benchChats(b *testing.B, size int) {
	const tokens = 64
	f := startFleet(b, fleetConfig{
		controls: 1, engines: 1, routers: 1, untraced: true,
		engineArgs: []string{"--batch", "1024", "--step-time", "37ms"},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &scale{fleet: f, ctx: ctx, ports: make(map[int]bool)}
	var answered, refused atomic.Int64
	var work sync.WaitGroup
	c := newCaller(f.routerAddresses[0])
	for i := range size {
		work.Go(func() {
			for ctx.Err() == nil {
				r := c.chat(ctx, newChat(fmt.Sprint("question of ", i), tokens, true), nil)
				if r.err == nil && r.status == 200 {
					answered.Add(1)
				} else if ctx.Err() == nil {
					refused.Add(1)
				}
			}
		})
	}
	time.Sleep(warmTime)
	before := answered.Load()
	m := s.measure(2*sampleTime, []*process{f.routers[0], f.sidecars[0]})
	count := answered.Load() - before
	cancel()
	work.Wait()
	b.ReportMetric(float64(count*tokens)/m.seconds, "tokens/s")
	b.ReportMetric(float64(refused.Load()), "refused")
	b.ReportMetric(m.core(0), "router-%core")
	b.ReportMetric(m.after[0].resident, "router-MB")
	b.ReportMetric(m.core(1), "sidecar-%core")
	b.ReportMetric(m.after[1].resident, "sidecar-MB")
}

// benchForce commits changes and watches them come into force.
func benchForce(b *testing.B, size int) {
	const changes = 30
	s := startScale(b, 3, planTargets, nil)
	watchers := s.watchers(size)
	awaitLeased(b, watchers)
	time.Sleep(warmTime)
	var took []time.Duration
	passed, begun := trafficOf(b, s.ports), time.Now()
	for i := range changes {
		asked := time.Now()
		s.submit(&record.Service{
			Header: record.Header{Version: ident.Version(i)}, Name: service,
			Timeout: record.Duration{Duration: time.Duration(i+1) * time.Second},
		})
		revision := ident.Revision(i + 2)
		await(b, 10*time.Second, "the change is in force", func() bool {
			return !slices.ContainsFunc(watchers, func(w *watcher) bool { _, ok := w.reachedAt(revision); return !ok })
		})
		for _, w := range watchers {
			at, ok := w.reachedAt(revision)
			assert.Assert(b, ok)
			took = append(took, at.Sub(asked))
		}
		time.Sleep(100 * time.Millisecond)
	}
	seconds := time.Since(begun).Seconds()
	moved := trafficOf(b, s.ports).minus(passed)
	slices.Sort(took)
	b.ReportMetric(milliseconds(took[len(took)/2]), "median-ms")
	b.ReportMetric(milliseconds(took[len(took)-1]), "max-ms")
	b.ReportMetric(changes/seconds, "changes/s")
	b.ReportMetric(moved.bytes()/seconds/float64(size), "watcher-B/s")
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// benchHerd starts all watchers at once, each of which needs the full set.
func benchHerd(b *testing.B, controls, size int) {
	s := startScale(b, controls, planTargets, nil)
	time.Sleep(warmTime)
	before := make([]usage, controls)
	for i, p := range s.controls {
		before[i] = usageOf(b, p.cmd.Process.Pid)
	}
	own := ownCPU(b)
	took := awaitLeased(b, s.watchers(size))
	b.ReportMetric(milliseconds(took), "all-ready-ms")
	moved := trafficOf(b, s.ports)
	b.ReportMetric(moved.bytes()/float64(size)/1024, "watcher-KB")
	b.ReportMetric(milliseconds(ownCPU(b)-own)/float64(size), "watcher-cpu-ms")
	var most, peak float64
	for i, p := range s.controls {
		after := usageOf(b, p.cmd.Process.Pid)
		most = max(most, milliseconds(after.cpu-before[i].cpu))
		peak = max(peak, after.peak)
	}
	b.ReportMetric(most, "busiest-control-cpu-ms")
	b.ReportMetric(peak, "peak-control-MB")
	runtime.GC()
}

// benchFailover kills one of three control processes and looks how long each
// watcher goes without news. Without a failure that is about a second.
func benchFailover(b *testing.B, size int) {
	s := startScale(b, 3, planTargets, nil)
	watchers := s.watchers(size)
	awaitLeased(b, watchers)
	time.Sleep(warmTime)
	for _, w := range watchers {
		w.resetGap()
	}
	s.controls[0].kill()
	lost := 0
	deadline := time.Now().Add(2 * sampleTime)
	unleased := make([]bool, size)
	for time.Now().Before(deadline) {
		for i, w := range watchers {
			unleased[i] = unleased[i] || !w.HasLease()
		}
		time.Sleep(pollInterval)
	}
	gaps := make([]time.Duration, 0, size)
	for i, w := range watchers {
		gaps = append(gaps, w.longestGap())
		if unleased[i] {
			lost++
		}
	}
	slices.Sort(gaps)
	b.ReportMetric(milliseconds(gaps[size/2]), "gap-median-ms")
	b.ReportMetric(milliseconds(gaps[size-1]), "gap-max-ms")
	b.ReportMetric(float64(lost), "lapsed-leases")
}
