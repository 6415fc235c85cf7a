package main_test

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/link"
	"cactusline.dev/cactusline/internal/conn/remote"
	"cactusline.dev/cactusline/internal/conn/watch"
	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/side"
	"cactusline.dev/cactusline/internal/process/trace"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// Sizes of the fleet that capacity is planned for. planRouters and planTargets are
// the same as sizing.PlanRouters and sizing.PlanTargets.
const (
	planRouters   = 410
	planTargets   = 700
	planCustomers = 920
	planModels    = 11
	planDomains   = 6
	planRegions   = 2
)

// scaleFleet is a set of control processes under test, with watchers and sidecars
// that run in the test process.
type scaleFleet struct {
	*fleet
	ctx context.Context
	// ports are the listening ports whose traffic is counted.
	ports map[int]bool
}

// startScaleFleet starts control processes that hold the records of a fleet with
// the given number of targets. The first targets get the given addresses.
func startScaleFleet(b *testing.B, controls, targets int, addresses []string) *scaleFleet {
	b.Helper()
	f := &fleet{t: b, cfg: fleetConfig{controls: controls, untraced: true}, folder: b.TempDir()}
	b.Cleanup(f.close)
	f.startControls()
	s := &scaleFleet{fleet: f, ports: make(map[int]bool)}
	var cancel context.CancelFunc
	s.ctx, cancel = context.WithCancel(context.Background())
	b.Cleanup(cancel)
	for _, address := range f.controlAddresses {
		s.ports[addressPort(b, address)] = true
	}
	f.submit(planRecords(targets, addresses)...)
	return s
}

func addressPort(t testing.TB, address string) int {
	t.Helper()
	port, err := strconv.Atoi(address[strings.LastIndexByte(address, ':')+1:])
	assert.NilError(t, err)
	return port
}

// planRecords returns the records of a fleet with the given number of targets, and
// customers in the planned proportion.
func planRecords(targets int, addresses []string) []any {
	var values []any
	for i := range planCustomers * targets / planTargets {
		name := fmt.Sprintf("customer-%04d", i)
		values = append(values, &record.Customer{
			Name: ident.CustomerName(name), Weight: uint32(i%8 + 1),
			Keys:   []record.KeyHash{record.HashKey(name), record.HashKey(name + "-next")},
			Limits: record.Limits{InFlight: 100, TokensPerMinute: 500_000},
		})
	}
	for i := range planModels {
		values = append(values,
			&record.Model{Name: planModel(i), Versions: []record.ModelVersion{{Name: "v1", Weights: "w1"}}},
			&record.Route{Name: string(planModel(i)), Model: planModel(i), ModelVersion: "v1"})
	}
	for i := range targets {
		address := fmt.Sprintf("10.%d.%d.%d:7070", i%planDomains, i/250, i%250)
		if i < len(addresses) {
			address = addresses[i]
		}
		values = append(values, &record.Target{
			Name: planTarget(i), VM: ident.VMName(fmt.Sprintf("vm-%04d", i)), Address: address,
			Domain:   ident.DomainName(fmt.Sprintf("domain-%d", i%planDomains)),
			Region:   ident.RegionName(fmt.Sprintf("region-%d", i%planRegions)),
			Models:   []record.TargetModel{{Name: planModel(i % planModels), Version: "v1"}},
			Capacity: record.Capacity{Requests: 64, Tokens: 400_000},
		})
	}
	return values
}

func planModel(i int) ident.ModelName   { return ident.ModelName(fmt.Sprintf("model-%02d", i)) }
func planTarget(i int) ident.TargetName { return ident.TargetName(fmt.Sprintf("engine-%04d", i)) }

// watcher watches the records as a router does, in the test process.
type watcher struct {
	*watch.Follower
	mu sync.Mutex
	// lastUpdate is when the last update arrived, and maxGap the longest time
	// between two updates since the last reset.
	lastUpdate time.Time
	maxGap     time.Duration
	// inForce holds the time at which each revision came into force.
	inForce map[ident.Revision]time.Time
}

func (w *watcher) recordUpdate(_ *wire.Update, set *record.Set) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.lastUpdate.IsZero() {
		w.maxGap = max(w.maxGap, now.Sub(w.lastUpdate))
	}
	w.lastUpdate = now
	if _, ok := w.inForce[set.Revision()]; !ok {
		w.inForce[set.Revision()] = now
	}
}

func (w *watcher) resetGap() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.maxGap = 0
}

func (w *watcher) longestGap() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.maxGap, time.Since(w.lastUpdate))
}

func (w *watcher) inForceSince(revision ident.Revision) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.inForce[revision]
	return at, ok
}

// newLinkClient returns a link client that acts as the named process.
func (s *scaleFleet) newLinkClient(name string) *link.Client {
	links := link.NewClient(link.Config{Clock: clock.System{}, Caller: name})
	s.t.Cleanup(func() { _ = links.Close() })
	return links
}

// startWatchers starts n watchers at once.
func (s *scaleFleet) startWatchers(n int) []*watcher {
	watchers := make([]*watcher, n)
	for i := range watchers {
		name := fmt.Sprintf("router-%04d", i)
		w := &watcher{inForce: make(map[ident.Revision]time.Time)}
		w.Follower = watch.NewFollower(watch.Config{
			Addresses: s.controlAddresses, Link: s.newLinkClient(name), Clock: clock.System{}, Logger: log.NewNopLogger(),
			Process: name, Role: "router", OnUpdate: w.recordUpdate,
		})
		watchers[i] = w
		go w.Run(s.ctx)
	}
	return watchers
}

// awaitWatchers waits until every watcher has records and a lease, and returns how
// long that took.
func awaitWatchers(b *testing.B, watchers []*watcher) time.Duration {
	b.Helper()
	return await(b, time.Minute, "every watcher has a lease", func() bool {
		for _, w := range watchers {
			if !w.HasLease() || w.Set().Revision() == 0 {
				return false
			}
		}
		return true
	})
}

// startIdleSidecars starts the sidecars of n idle targets in the test process.
func (s *scaleFleet) startIdleSidecars(n int) []*watch.Follower {
	followers := make([]*watch.Follower, n)
	for i := range followers {
		followers[i] = s.startIdleSidecar(i)
	}
	return followers
}

func (s *scaleFleet) startIdleSidecar(i int) *watch.Follower {
	name := planTarget(i)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	links := s.newLinkClient(string(name))
	sidecar, err := side.New(side.Config{
		TargetName: name, TargetURL: &url.URL{Scheme: "http", Host: "127.0.0.1:1"},
		Clock: clock.System{}, Logger: log.NewNopLogger(), Tracer: trace.NewNoop(),
		Control:          remote.NewClient(remote.Config{Addresses: s.controlAddresses, Link: links, Clock: clock.System{}}),
		ControlAddresses: s.controlAddresses, Link: links, Incarnation: 1, Seed: uint64(i),
	})
	assert.NilError(s.t, err)
	follower := watch.NewFollower(watch.Config{
		Addresses: s.controlAddresses, Link: links, Clock: clock.System{}, Logger: log.NewNopLogger(),
		Process: string(name), Role: "sidecar", Target: string(name), OnUpdate: sidecar.ApplyUpdate,
	})
	sidecar.SetFollower(follower)
	go follower.Run(s.ctx)
	go func() { _ = sidecar.Run(s.ctx, listener) }()
	return follower
}

// measurement is the resource usage during a measured interval.
type measurement struct {
	seconds float64
	testCPU time.Duration
	traffic traffic
	before  []usage
	after   []usage
}

// measure samples the test process and the given processes while the fleet runs for
// the given time.
func (s *scaleFleet) measure(length time.Duration, processes []*process) measurement {
	s.t.Helper()
	var m measurement
	for _, p := range processes {
		m.before = append(m.before, readUsage(s.t, p.cmd.Process.Pid))
	}
	cpuBefore, trafficBefore, start := testCPU(s.t), readTraffic(s.t, s.ports), time.Now()
	time.Sleep(length)
	m.seconds = time.Since(start).Seconds()
	m.testCPU = testCPU(s.t) - cpuBefore
	m.traffic = readTraffic(s.t, s.ports).sub(trafficBefore)
	for _, p := range processes {
		m.after = append(m.after, readUsage(s.t, p.cmd.Process.Pid))
	}
	return m
}

// corePercent returns the CPU time of process i in percent of one core.
func (m measurement) corePercent(i int) float64 {
	return 100 * (m.after[i].cpu - m.before[i].cpu).Seconds() / m.seconds
}
