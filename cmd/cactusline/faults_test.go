package main_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/seeds"
	"cactusline.dev/cactusline/internal/version/ident"
)

// faultsDurationVariable is the environment variable for how long
// TestRandomisedFaults runs per seed. Its default, defaultFaultsDuration, suits CI.
const faultsDurationVariable = "CACTUSLINE_TEST_FAULTS"

const (
	defaultFaultsDuration = 20 * time.Second
	chatWorkers           = 12
	registrationWorkers   = 6
	maxAttempts           = 6
	// recoveryLimit is how soon the fleet must recover from the last fault.
	recoveryLimit = 30 * time.Second
	// maxReplyTime is how soon every reply must arrive. It is longer than any fault
	// and the recovery from it take together.
	maxReplyTime = 15 * time.Second
)

// workload keeps chats and registrations running and checks every reply.
type workload struct {
	t       *testing.T
	callers []*caller
	ctx     context.Context
	wg      sync.WaitGroup

	mu            sync.Mutex
	counts        map[string]int
	registrations []*registrationLog
}

// registrationLog holds the replies for one idempotency key. They are in the order
// received unless concurrent is set.
type registrationLog struct {
	key     string
	replies []*reply
	// concurrent is set if several callers sent the registration concurrently, so
	// that the last reply need not describe the final state.
	concurrent bool
}

func startWorkload(ctx context.Context, t *testing.T, f *fleet, seed uint64) *workload {
	w := &workload{t: t, ctx: ctx, counts: make(map[string]int)}
	for _, address := range f.routerAddresses {
		w.callers = append(w.callers, newCaller(address))
	}
	for i := range chatWorkers {
		w.wg.Go(func() { w.runChats(i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	for i := range registrationWorkers {
		w.wg.Go(func() { w.runRegistrations(i, rand.New(rand.NewPCG(seed, uint64(100+i)))) })
	}
	return w
}

func (w *workload) count(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.counts[name]++
}

// runChats sends one chat after another until the workload ends.
func (w *workload) runChats(worker int, random *rand.Rand) {
	for n := 0; w.ctx.Err() == nil; n++ {
		request := newChat(fmt.Sprintf("worker %d question %d", worker, n), ident.Tokens(1+random.IntN(150)), random.IntN(2) == 0)
		r := w.callers[random.IntN(len(w.callers))].chat(context.WithoutCancel(w.ctx), request, nil)
		assert.Check(w.t, r.checkAnswer(request), "%v", r)
		w.checkLatency(r, request.Messages[0].Content.Text)
		w.count("chats")
		switch {
		case r.complete(request):
			w.count("chats complete")
		case r.status == 0:
			w.count("chats not connected")
		case r.status == http.StatusOK:
			w.count("chats truncated with an error")
		default:
			w.count("chats refused " + r.outcome)
		}
		if r.status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// runRegistrations sends one registration after another until the workload ends. A
// third are sent once by every caller concurrently. The others are retried until
// they ran or the caller gives up; for half of them the caller may hang up early.
func (w *workload) runRegistrations(worker int, random *rand.Rand) {
	for n := 0; w.ctx.Err() == nil; n++ {
		registration := &registrationLog{key: fmt.Sprintf("worker-%d-step-%d", worker, n)}
		if kind := random.IntN(3); kind == 0 {
			w.sendConcurrently(registration)
		} else {
			w.sendWithRetries(registration, random, kind == 1)
		}
		w.count("registrations")
		w.mu.Lock()
		w.registrations = append(w.registrations, registration)
		w.mu.Unlock()
	}
}

func (w *workload) sendConcurrently(registration *registrationLog) {
	registration.concurrent = true
	replies := make([]*reply, len(w.callers))
	var wg sync.WaitGroup
	for i, c := range w.callers {
		wg.Go(func() { replies[i] = c.register(context.WithoutCancel(w.ctx), registration.key, nil) })
	}
	wg.Wait()
	registration.replies = replies
	for _, r := range replies {
		w.checkLatency(r, registration.key)
	}
}

func (w *workload) sendWithRetries(registration *registrationLog, random *rand.Rand, hangUp bool) {
	for range 1 + random.IntN(maxAttempts) {
		ctx := context.WithoutCancel(w.ctx)
		cancel := context.CancelFunc(func() {})
		if hangUp && random.IntN(2) == 0 {
			ctx, cancel = context.WithTimeout(ctx, time.Duration(random.IntN(int(2*hangUpAfter))))
		}
		r := w.callers[random.IntN(len(w.callers))].register(ctx, registration.key, nil)
		cancel()
		w.checkLatency(r, registration.key)
		registration.replies = append(registration.replies, r)
		if r.outcome == outcomeRan {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// finish waits for the workload to end and compares the replies that callers got
// with what the service ran.
func (w *workload) finish(f *fleet) {
	w.wg.Wait()
	runs := f.runCounts()
	for _, registration := range w.registrations {
		w.checkRegistration(registration, runs[registration.key])
		delete(runs, registration.key)
	}
	assert.Check(w.t, len(runs) == 0, "the service ran registrations that nobody sent: %v", runs)
	w.t.Logf("%v", w.counts)
}

// checkRegistration compares the replies for one registration with how often it ran.
func (w *workload) checkRegistration(registration *registrationLog, runs int) {
	assert.Check(w.t, runs <= 1, "%s ran %d times: %v", registration.key, runs, registration.replies)
	allNotRun := true
	for _, r := range registration.replies {
		allNotRun = allNotRun && r.outcome == outcomeNotRun
		if r.outcome != outcomeRan {
			continue
		}
		w.count("replies with outcome ran")
		assert.Check(w.t, r.status == http.StatusCreated && r.err == nil, "%s: %v", registration.key, r)
		assert.Check(w.t, r.entry.Key == registration.key && r.entry.Runs == 1 && r.entry.Body == registrationBody(registration.key), "%s: %v", registration.key, r)
		assert.Check(w.t, runs == 1, "%s was reported as run and ran %d times", registration.key, runs)
	}
	last := registration.replies[len(registration.replies)-1]
	w.count("registrations with last outcome " + last.outcome)
	if allNotRun || (!registration.concurrent && last.outcome == outcomeNotRun) {
		assert.Check(w.t, runs == 0, "%s ran but was reported as not run: %v", registration.key, registration.replies)
	}
}

// checkLatency fails the test if a reply took longer than maxReplyTime.
func (w *workload) checkLatency(r *reply, what string) {
	if r.took > maxReplyTime {
		w.count("slow replies")
		w.t.Errorf("%s slow reply to %s: %v", time.Now().Format(time.TimeOnly), what, r)
	}
}

// fault is a kind of failure. apply injects it and returns once it is over.
type fault struct {
	name  string
	apply func(f *fleet, random *rand.Rand)
}

func pick(processes []*process, random *rand.Rand) *process {
	return processes[random.IntN(len(processes))]
}

func sleepUpTo(random *rand.Rand, limit time.Duration) {
	time.Sleep(time.Duration(random.Int64N(int64(limit))))
}

func killAndRestart(p *process, random *rand.Rand) {
	p.kill()
	sleepUpTo(random, time.Second)
	p.start()
}

func freezeFor(p *process, random *rand.Rand, limit time.Duration) {
	p.freeze()
	sleepUpTo(random, limit)
	p.thaw()
}

func processFaults() []fault {
	return []fault{
		{"kill control", func(f *fleet, random *rand.Rand) { killAndRestart(pick(f.controls, random), random) }},
		{"freeze control", func(f *fleet, random *rand.Rand) { freezeFor(pick(f.controls, random), random, 4*time.Second) }},
		{"kill sidecar", func(f *fleet, random *rand.Rand) { killAndRestart(pick(f.sidecars, random), random) }},
		{"freeze sidecar", func(f *fleet, random *rand.Rand) { freezeFor(pick(f.sidecars, random), random, 2*time.Second) }},
		{"kill engine", func(f *fleet, random *rand.Rand) { killAndRestart(pick(f.engines, random), random) }},
		{"freeze engine", func(f *fleet, random *rand.Rand) { freezeFor(pick(f.engines, random), random, 2*time.Second) }},
		{"kill router", func(f *fleet, random *rand.Rand) { killAndRestart(pick(f.routers, random), random) }},
		{"freeze router", func(f *fleet, random *rand.Rand) { freezeFor(pick(f.routers, random), random, 2*time.Second) }},
		{"stop router", func(f *fleet, _ *rand.Rand) { stopAndStart(f.routers[0]) }},
		{"stop sidecar", func(f *fleet, random *rand.Rand) { stopAndStart(pick(f.sidecars, random)) }},
		{"stop control", func(f *fleet, random *rand.Rand) { stopAndStart(pick(f.controls, random)) }},
	}
}

func stopAndStart(p *process) {
	p.stop()
	p.start()
}

// linkFaults returns the faults of the connections between processes.
func linkFaults(relays *relays) []fault {
	return []fault{
		{"stall links to control", func(_ *fleet, random *rand.Rand) { stallFor(relays.pick(relays.toControl, random), random) }},
		{"close links to control", func(_ *fleet, random *rand.Rand) { relays.pick(relays.toControl, random).closeConns() }},
		{"stall links from peers to control", func(_ *fleet, random *rand.Rand) { stallFor(relays.pick(relays.betweenControls, random), random) }},
		{"close links from peers to control", func(_ *fleet, random *rand.Rand) { relays.pick(relays.betweenControls, random).closeConns() }},
	}
}

func stallFor(r *relay, random *rand.Rand) {
	r.stall()
	sleepUpTo(random, 4*time.Second)
	r.resume()
}

// relays holds the relays of a fleet, through which its links can be disturbed.
type relays struct {
	t    *testing.T
	seed uint64
	// toControl are the relays from other roles to control processes.
	toControl []*relay
	// betweenControls are the relays through which control processes reach each other.
	betweenControls []*relay
}

func (r *relays) pick(from []*relay, random *rand.Rand) *relay { return from[random.IntN(len(from))] }

// install routes the links of the fleet through new relays.
func (r *relays) install(cfg *fleetConfig) {
	cfg.controlAddress = func(_, control string) string {
		r.toControl = append(r.toControl, startRelay(r.t, control, r.seed))
		return r.toControl[len(r.toControl)-1].address()
	}
	cfg.peerAddress = func(control string) string {
		r.betweenControls = append(r.betweenControls, startRelay(r.t, control, r.seed))
		return r.betweenControls[len(r.betweenControls)-1].address()
	}
}

// TestRandomisedFaults kills, freezes and stops processes of every role and breaks
// links at random while chats and registrations run. No answer may be wrong or
// silently truncated, no registration may run twice, and none that ran may be
// reported as not run.
func TestRandomisedFaults(t *testing.T) {
	length := defaultFaultsDuration
	if text := os.Getenv(faultsDurationVariable); text != "" {
		var err error
		length, err = time.ParseDuration(text)
		assert.NilError(t, err)
	}
	seeds.Run(t, seeds.Range{First: 1, Last: 1}, func(t *testing.T, seed uint64) {
		runFaults(t, seed, length)
	})
}

func runFaults(t *testing.T, seed uint64, length time.Duration) {
	cfg := acceptanceConfig()
	links := &relays{t: t, seed: seed}
	links.install(&cfg)
	f := startFleet(t, cfg)
	random := rand.New(rand.NewPCG(seed, 0))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	w := startWorkload(ctx, t, f, seed)
	list := append(processFaults(), linkFaults(links)...)
	for end := time.Now().Add(length); time.Now().Before(end); {
		fault := list[random.IntN(len(list))]
		t.Logf("%s %s", time.Now().Format(time.TimeOnly), fault.name)
		fault.apply(f, random)
		w.count("faults")
		sleepUpTo(random, time.Second)
	}
	cancel()
	w.finish(f)
	checkRecovered(t, f)
}

// checkRecovered checks that the fleet serves again within recoveryLimit.
func checkRecovered(t *testing.T, f *fleet) {
	t.Helper()
	for _, address := range f.routerAddresses {
		c := newCaller(address)
		took := await(t, recoveryLimit, "router "+address+" serves again", func() bool {
			request := newChat("is all well again", 10, true)
			return c.chat(t.Context(), request, nil).complete(request) &&
				c.register(t.Context(), "recovered-"+address, nil).outcome == outcomeRan
		})
		t.Logf("router %s serves again after %v", address, took)
	}
}
