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
	warmupTime = 4 * time.Second
	sampleTime = 4 * time.Second
)

// BenchmarkCapacity measures the resource use of each role at several sizes. Its
// output is recorded in docs/capacity.txt. Run it with -benchtime 1x.
func BenchmarkCapacity(b *testing.B) {
	runSizes := func(role string, sizes []int, run func(b *testing.B, size int)) {
		for _, size := range sizes {
			b.Run(fmt.Sprintf("role=%s/size=%d", role, size), func(b *testing.B) {
				for range b.N {
					run(b, size)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
	// The recorded output in docs/capacity.txt has these role names. The size is the
	// number of sidecars for sums, of claims per second for commits, of targets for
	// router and probes, of concurrent chats for chats, and of watchers otherwise.
	runSizes("watch", []int{205, 410, 820}, benchWatch)
	runSizes("sums", []int{175, 350, 700}, benchLoadReports)
	runSizes("commits", []int{50, 100, 200}, benchCommits)
	runSizes("router", []int{350, 700, 1400}, benchRouter)
	runSizes("probes", []int{175, 350, 700}, benchProbes)
	runSizes("chats", []int{16, 32, 64}, benchChats)
	runSizes("force", []int{100, 205, 410}, benchPropagation)
	runSizes("herd-1", []int{278, 555, 1110}, func(b *testing.B, size int) { benchHerd(b, 1, size) })
	runSizes("herd-3", []int{278, 555, 1110}, func(b *testing.B, size int) { benchHerd(b, 3, size) })
	runSizes("failover", []int{278, 555, 1110}, benchFailover)
}

// benchWatch measures one control process that serves watchers.
func benchWatch(b *testing.B, size int) {
	s := startScaleFleet(b, 1, planTargets, nil)
	time.Sleep(warmupTime)
	base := readUsage(b, s.controls[0].cmd.Process.Pid)
	awaitWatchers(b, s.startWatchers(size))
	time.Sleep(warmupTime)
	m := s.measure(sampleTime, s.controls)
	b.ReportMetric(m.corePercent(0), "control-%core")
	b.ReportMetric(m.after[0].resident-base.resident, "control-added-MB")
	b.ReportMetric(100*m.testCPU.Seconds()/m.seconds/float64(size), "watcher-%core")
	b.ReportMetric(m.traffic.bytes()/m.seconds/float64(size), "watcher-B/s")
	b.ReportMetric(float64(m.traffic.packets)/m.seconds/float64(size), "watcher-packets/s")
}

// benchLoadReports measures one control process that aggregates the load reports
// of idle sidecars.
func benchLoadReports(b *testing.B, size int) {
	s := startScaleFleet(b, 1, size, nil)
	followers := s.startIdleSidecars(size)
	await(b, time.Minute, "every sidecar has a lease", func() bool {
		return !slices.ContainsFunc(followers, func(f *watch.Follower) bool { return !f.HasLease() })
	})
	time.Sleep(warmupTime)
	m := s.measure(sampleTime, s.controls)
	b.ReportMetric(m.corePercent(0), "control-%core")
	b.ReportMetric(m.after[0].resident, "control-MB")
	b.ReportMetric(100*m.testCPU.Seconds()/m.seconds/float64(size), "sidecar-%core")
	b.ReportMetric(m.traffic.bytes()/m.seconds/float64(size), "sidecar-B/s")
	b.ReportMetric(float64(m.traffic.packets)/m.seconds/float64(size), "sidecar-packets/s")
}

// benchCommits measures three control processes that commit a claim and a
// settlement for each of size idempotency keys per second.
func benchCommits(b *testing.B, size int) {
	s := startScaleFleet(b, 3, planTargets, nil)
	time.Sleep(warmupTime)
	client := remote.NewClient(remote.Config{Addresses: s.controlAddresses, Link: s.newLinkClient("router"), Clock: clock.System{}})
	ctx, cancel := context.WithCancel(s.ctx)
	var workers sync.WaitGroup
	var finished, failed atomic.Int64
	workers.Go(func() {
		for i := 0; (clock.System{}).Sleep(ctx, time.Second/time.Duration(size)) == nil; i++ {
			workers.Go(func() {
				if claimAndSettle(s.ctx, client, i) != nil {
					failed.Add(1)
				}
				finished.Add(1)
			})
		}
	})
	time.Sleep(time.Second)
	before := finished.Load()
	m := s.measure(sampleTime, s.controls)
	rate := float64(finished.Load()-before) / m.seconds
	cancel()
	workers.Wait()
	cores := []float64{m.corePercent(0), m.corePercent(1), m.corePercent(2)}
	slices.Sort(cores)
	b.ReportMetric(rate, "steps/s")
	b.ReportMetric(float64(failed.Load()), "failed")
	b.ReportMetric(cores[2], "leader-%core")
	b.ReportMetric((cores[0]+cores[1])/2, "follower-%core")
}

// claimAndSettle commits a claim and a settlement of one idempotency key.
func claimAndSettle(ctx context.Context, client *remote.Client, i int) error {
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

// fakeSidecar answers the probes of one target.
type fakeSidecar struct{ target ident.TargetName }

// ServeCall implements link.Handler.
func (h fakeSidecar) ServeCall(_ context.Context, call *wire.Call, stream *link.Stream) {
	if call.GetProbe() != nil {
		_ = stream.Send(&wire.ProbeReply{Load: &wire.Load{Incarnation: 1}, Target: string(h.target), Revision: 1})
	}
}

// startFakeSidecars starts the sidecars of n targets, which only answer probes,
// and returns their addresses.
func startFakeSidecars(b *testing.B, n int) []string {
	var addresses []string
	for i := range n {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(b, err)
		server := link.NewServer(fakeSidecar{target: planTarget(i)})
		go func() { _ = server.Serve(context.Background(), listener) }()
		b.Cleanup(func() { _ = listener.Close(); _ = server.Close() })
		addresses = append(addresses, listener.Addr().String())
	}
	return addresses
}

// benchRouter measures one idle router that probes size targets.
func benchRouter(b *testing.B, size int) {
	s := startScaleFleet(b, 1, size, startFakeSidecars(b, size))
	s.startRouter("router-1")
	s.awaitReady(s.routerAddresses[0])
	time.Sleep(warmupTime)
	m := s.measure(3*sampleTime, s.routers)
	b.ReportMetric(m.corePercent(0), "router-%core")
	b.ReportMetric(m.after[0].resident, "router-MB")
	b.ReportMetric(m.after[0].peak, "router-peak-MB")
}

// benchProbes measures the bytes on the wire for one probe of each of size targets,
// first over new and then over established connections.
func benchProbes(b *testing.B, size int) {
	addresses := startFakeSidecars(b, size)
	links := link.NewClient(link.Config{Clock: clock.System{}, Caller: "router-0001", SessionsPerPeer: 1})
	defer links.Close()
	ports := make(map[int]bool)
	for _, address := range addresses {
		ports[addressPort(b, address)] = true
	}
	probeAll := func() float64 {
		trafficBefore := readTraffic(b, ports)
		for _, address := range addresses {
			call := &wire.Call{Body: &wire.Call_Probe{Probe: new(wire.Probe)}}
			assert.NilError(b, links.Ask(context.Background(), address, call, new(wire.ProbeReply)))
		}
		time.Sleep(time.Second)
		// Both ends of each connection are in this process.
		return readTraffic(b, ports).sub(trafficBefore).bytes() / 2
	}
	b.ReportMetric(probeAll(), "fresh-B")
	b.ReportMetric(probeAll(), "again-B")
}

// benchChats measures one router and one sidecar that relay size concurrent
// streamed answers, each with one token every 37 ms.
func benchChats(b *testing.B, size int) {
	const tokens = 64
	f := startFleet(b, fleetConfig{
		controls: 1, engines: 1, routers: 1, untraced: true,
		engineArgs: []string{"--batch", "1024", "--step-time", "37ms"},
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &scaleFleet{fleet: f, ctx: ctx, ports: make(map[int]bool)}
	var answered, unsuccessful atomic.Int64
	var workers sync.WaitGroup
	c := newCaller(f.routerAddresses[0])
	for i := range size {
		workers.Go(func() {
			for ctx.Err() == nil {
				r := c.chat(ctx, newChat(fmt.Sprint("question of ", i), tokens, true), nil)
				if r.err == nil && r.status == 200 {
					answered.Add(1)
				} else if ctx.Err() == nil {
					unsuccessful.Add(1)
				}
			}
		})
	}
	time.Sleep(warmupTime)
	before := answered.Load()
	m := s.measure(2*sampleTime, []*process{f.routers[0], f.sidecars[0]})
	count := answered.Load() - before
	cancel()
	workers.Wait()
	b.ReportMetric(float64(count*tokens)/m.seconds, "tokens/s")
	b.ReportMetric(float64(unsuccessful.Load()), "refused")
	b.ReportMetric(m.corePercent(0), "router-%core")
	b.ReportMetric(m.after[0].resident, "router-MB")
	b.ReportMetric(m.corePercent(1), "sidecar-%core")
	b.ReportMetric(m.after[1].resident, "sidecar-MB")
}

// benchPropagation measures how long committed changes take to come into force at
// every watcher.
func benchPropagation(b *testing.B, size int) {
	const changes = 30
	s := startScaleFleet(b, 3, planTargets, nil)
	watchers := s.startWatchers(size)
	awaitWatchers(b, watchers)
	time.Sleep(warmupTime)
	var took []time.Duration
	trafficBefore, start := readTraffic(b, s.ports), time.Now()
	for i := range changes {
		submitted := time.Now()
		s.submit(&record.Service{
			Header: record.Header{Version: ident.Version(i)}, Name: serviceName,
			Timeout: record.Duration{Duration: time.Duration(i+1) * time.Second},
		})
		// Revision 1 holds the initial records.
		revision := ident.Revision(i + 2)
		await(b, 10*time.Second, "the change is in force", func() bool {
			return !slices.ContainsFunc(watchers, func(w *watcher) bool { _, ok := w.inForceSince(revision); return !ok })
		})
		for _, w := range watchers {
			at, ok := w.inForceSince(revision)
			assert.Assert(b, ok)
			took = append(took, at.Sub(submitted))
		}
		time.Sleep(100 * time.Millisecond)
	}
	seconds := time.Since(start).Seconds()
	delta := readTraffic(b, s.ports).sub(trafficBefore)
	slices.Sort(took)
	b.ReportMetric(milliseconds(took[len(took)/2]), "median-ms")
	b.ReportMetric(milliseconds(took[len(took)-1]), "max-ms")
	b.ReportMetric(changes/seconds, "changes/s")
	b.ReportMetric(delta.bytes()/seconds/float64(size), "watcher-B/s")
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// benchHerd measures the simultaneous start of all watchers (a thundering herd),
// each of which needs the full set of records.
func benchHerd(b *testing.B, controls, size int) {
	s := startScaleFleet(b, controls, planTargets, nil)
	time.Sleep(warmupTime)
	before := make([]usage, controls)
	for i, p := range s.controls {
		before[i] = readUsage(b, p.cmd.Process.Pid)
	}
	cpuBefore := testCPU(b)
	took := awaitWatchers(b, s.startWatchers(size))
	b.ReportMetric(milliseconds(took), "all-ready-ms")
	delta := readTraffic(b, s.ports)
	b.ReportMetric(delta.bytes()/float64(size)/1024, "watcher-KB")
	b.ReportMetric(milliseconds(testCPU(b)-cpuBefore)/float64(size), "watcher-cpu-ms")
	var maxCPU, peak float64
	for i, p := range s.controls {
		after := readUsage(b, p.cmd.Process.Pid)
		maxCPU = max(maxCPU, milliseconds(after.cpu-before[i].cpu))
		peak = max(peak, after.peak)
	}
	b.ReportMetric(maxCPU, "busiest-control-cpu-ms")
	b.ReportMetric(peak, "peak-control-MB")
	runtime.GC()
}

// benchFailover kills one of three control processes and measures the longest time
// that each watcher goes without an update. Updates normally arrive about once a
// second.
func benchFailover(b *testing.B, size int) {
	s := startScaleFleet(b, 3, planTargets, nil)
	watchers := s.startWatchers(size)
	awaitWatchers(b, watchers)
	time.Sleep(warmupTime)
	for _, w := range watchers {
		w.resetGap()
	}
	s.controls[0].kill()
	lapsedLeases := 0
	deadline := time.Now().Add(2 * sampleTime)
	leaseLost := make([]bool, size)
	for time.Now().Before(deadline) {
		for i, w := range watchers {
			leaseLost[i] = leaseLost[i] || !w.HasLease()
		}
		time.Sleep(pollInterval)
	}
	gaps := make([]time.Duration, 0, size)
	for i, w := range watchers {
		gaps = append(gaps, w.longestGap())
		if leaseLost[i] {
			lapsedLeases++
		}
	}
	slices.Sort(gaps)
	b.ReportMetric(milliseconds(gaps[size/2]), "gap-median-ms")
	b.ReportMetric(milliseconds(gaps[size-1]), "gap-max-ms")
	b.ReportMetric(float64(lapsedLeases), "lapsed-leases")
}
