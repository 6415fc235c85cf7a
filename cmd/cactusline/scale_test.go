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

// The fleet that capacity is planned for.
const (
	planRouters   = 410
	planTargets   = 700
	planCustomers = 920
	planModels    = 11
	planDomains   = 6
	planRegions   = 2
)

// scale is control processes under test, and what watches them from within
// the test process.
type scale struct {
	*fleet
	ctx   context.Context
	ports map[int]bool
}

// startScale starts control processes that hold the records of a fleet.
func startScale(b *testing.B, controls, targets int, addresses []string) *scale {
	b.Helper()
	f := &fleet{t: b, cfg: fleetConfig{controls: controls, untraced: true}, folder: b.TempDir()}
	b.Cleanup(f.close)
	f.startControls()
	s := &scale{fleet: f, ports: make(map[int]bool)}
	var cancel context.CancelFunc
	s.ctx, cancel = context.WithCancel(context.Background())
	b.Cleanup(cancel)
	for _, address := range f.controlAddresses {
		s.ports[portIn(b, address)] = true
	}
	f.submit(planRecords(targets, addresses)...)
	return s
}

func portIn(t testing.TB, address string) int {
	t.Helper()
	port, err := strconv.Atoi(address[strings.LastIndexByte(address, ':')+1:])
	assert.NilError(t, err)
	return port
}

// planRecords returns the records of a fleet in the proportions of the plan.
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

// watcher is a process that watches the records, in the test process.
type watcher struct {
	*watch.Follower
	mu sync.Mutex
	// heard is when the last update came, gap the longest time between two
	// since it was last reset.
	heard time.Time
	gap   time.Duration
	// reached is when each revision came into force.
	reached map[ident.Revision]time.Time
}

func (w *watcher) update(_ *wire.Update, set *record.Set) {
	now := time.Now()
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.heard.IsZero() {
		w.gap = max(w.gap, now.Sub(w.heard))
	}
	w.heard = now
	if _, ok := w.reached[set.Revision()]; !ok {
		w.reached[set.Revision()] = now
	}
}

func (w *watcher) resetGap() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.gap = 0
}

func (w *watcher) longestGap() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return max(w.gap, time.Since(w.heard))
}

func (w *watcher) reachedAt(revision ident.Revision) (time.Time, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at, ok := w.reached[revision]
	return at, ok
}

// links returns the client of one process of its own.
func (s *scale) links(name string) *link.Client {
	links := link.NewClient(link.Config{Clock: clock.System{}, Caller: name})
	s.t.Cleanup(func() { _ = links.Close() })
	return links
}

// watchers starts n processes that watch as routers do, all at once.
func (s *scale) watchers(n int) []*watcher {
	watchers := make([]*watcher, n)
	for i := range watchers {
		name := fmt.Sprintf("router-%04d", i)
		w := &watcher{reached: make(map[ident.Revision]time.Time)}
		w.Follower = watch.NewFollower(watch.Config{
			Addresses: s.controlAddresses, Link: s.links(name), Clock: clock.System{}, Logger: log.NewNopLogger(),
			Process: name, Role: "router", OnUpdate: w.update,
		})
		watchers[i] = w
		go w.Run(s.ctx)
	}
	return watchers
}

// awaitLeased returns once every watcher holds the records under a lease.
func awaitLeased(b *testing.B, watchers []*watcher) time.Duration {
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

// sidecars starts n sidecars of idle targets.
func (s *scale) sidecars(n int) []*watch.Follower {
	followers := make([]*watch.Follower, n)
	for i := range followers {
		followers[i] = s.sidecar(i)
	}
	return followers
}

func (s *scale) sidecar(i int) *watch.Follower {
	name := planTarget(i)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(s.t, err)
	links := s.links(string(name))
	sidecar, err := side.New(side.Config{
		TargetName: name, TargetURL: &url.URL{Scheme: "http", Host: "127.0.0.1:1"}, Listener: listener,
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
	go func() { _ = sidecar.Run(s.ctx) }()
	return follower
}

// sample is what a span of time cost.
type sample struct {
	seconds float64
	own     time.Duration
	traffic traffic
	before  []usage
	after   []usage
}

// measure lets the fleet run for a while.
func (s *scale) measure(length time.Duration, processes []*process) sample {
	s.t.Helper()
	var m sample
	for _, p := range processes {
		m.before = append(m.before, usageOf(s.t, p.cmd.Process.Pid))
	}
	own, passed, begun := ownCPU(s.t), trafficOf(s.t, s.ports), time.Now()
	time.Sleep(length)
	m.seconds = time.Since(begun).Seconds()
	m.own = ownCPU(s.t) - own
	m.traffic = trafficOf(s.t, s.ports).minus(passed)
	for _, p := range processes {
		m.after = append(m.after, usageOf(s.t, p.cmd.Process.Pid))
	}
	return m
}

// core returns the processor time of one process in percent of a core.
func (m sample) core(i int) float64 {
	return 100 * (m.after[i].cpu - m.before[i].cpu).Seconds() / m.seconds
}
