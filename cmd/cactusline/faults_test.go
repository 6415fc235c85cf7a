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

// faultsVariable sets how long TestRandomisedFaults goes on for each seed, as
// a duration; without it, one that suits CI.
const faultsVariable = "CACTUSLINE_TEST_FAULTS"

const (
	defaultFaultsTime = 20 * time.Second
	chatWorkers       = 12
	stepWorkers       = 6
	maxSends          = 6
	// settleTime is how long the fleet is given to recover at the end.
	settleTime = 30 * time.Second
	// slowReply is longer than any fault and the recovery from it take.
	slowReply = 15 * time.Second
)

// load keeps chats and steps going and judges every reply.
type load struct {
	t       *testing.T
	callers []*caller
	ctx     context.Context
	wg      sync.WaitGroup

	mu     sync.Mutex
	counts map[string]int
	steps  []*stepLog
}

// stepLog is what the callers of one key were told, in the order of their
// answers.
type stepLog struct {
	key     string
	replies []*reply
	// crossed says that several callers asked at once, so that the last
	// answer need not be the last word.
	crossed bool
}

func startLoad(ctx context.Context, t *testing.T, f *fleet, seed uint64) *load {
	l := &load{t: t, ctx: ctx, counts: make(map[string]int)}
	for _, address := range f.routerAddresses {
		l.callers = append(l.callers, newCaller(address))
	}
	for i := range chatWorkers {
		l.wg.Go(func() { l.chats(i, rand.New(rand.NewPCG(seed, uint64(i)))) })
	}
	for i := range stepWorkers {
		l.wg.Go(func() { l.runSteps(i, rand.New(rand.NewPCG(seed, uint64(100+i)))) })
	}
	return l
}

func (l *load) count(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[name]++
}

// chats makes one chat after another.
func (l *load) chats(worker int, random *rand.Rand) {
	for n := 0; l.ctx.Err() == nil; n++ {
		request := newChat(fmt.Sprintf("worker %d question %d", worker, n), ident.Tokens(1+random.IntN(150)), random.IntN(2) == 0)
		r := l.callers[random.IntN(len(l.callers))].chat(context.WithoutCancel(l.ctx), request, nil)
		assert.Check(l.t, r.wrong(request), "%v", r)
		l.check(r, request.Messages[0].Content.Text)
		l.count("chats")
		switch {
		case r.whole(request):
			l.count("chats whole")
		case r.status == 0:
			l.count("chats not connected")
		case r.status == http.StatusOK:
			l.count("chats visibly cut")
		default:
			l.count("chats refused " + r.outcome)
		}
		if r.status != http.StatusOK {
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// runSteps runs one step after another. A third are sent by two callers at
// once, a third by callers that may hang up; all are sent again until they ran
// or the caller gives up.
func (l *load) runSteps(worker int, random *rand.Rand) {
	for n := 0; l.ctx.Err() == nil; n++ {
		step := &stepLog{key: fmt.Sprintf("worker-%d-step-%d", worker, n)}
		if kind := random.IntN(3); kind == 0 {
			l.cross(step)
		} else {
			l.resend(step, random, kind == 1)
		}
		l.count("steps")
		l.mu.Lock()
		l.steps = append(l.steps, step)
		l.mu.Unlock()
	}
}

func (l *load) cross(step *stepLog) {
	step.crossed = true
	replies := make([]*reply, len(l.callers))
	var wg sync.WaitGroup
	for i, c := range l.callers {
		wg.Go(func() { replies[i] = c.step(context.WithoutCancel(l.ctx), step.key, nil) })
	}
	wg.Wait()
	step.replies = replies
	for _, r := range replies {
		l.check(r, step.key)
	}
}

func (l *load) resend(step *stepLog, random *rand.Rand, hangUp bool) {
	for range 1 + random.IntN(maxSends) {
		ctx := context.WithoutCancel(l.ctx)
		cancel := context.CancelFunc(func() {})
		if hangUp && random.IntN(2) == 0 {
			ctx, cancel = context.WithTimeout(ctx, time.Duration(random.IntN(int(2*cutAfter))))
		}
		r := l.callers[random.IntN(len(l.callers))].step(ctx, step.key, nil)
		cancel()
		l.check(r, step.key)
		step.replies = append(step.replies, r)
		if r.outcome == outcomeRan {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// finish waits for the load to end, settles what is open and compares what
// callers were told with what the service did.
func (l *load) finish(f *fleet) {
	l.wg.Wait()
	runs := f.runs()
	for _, step := range l.steps {
		l.judge(step, runs[step.key])
		delete(runs, step.key)
	}
	assert.Check(l.t, len(runs) == 0, "the service ran what nobody asked for: %v", runs)
	l.t.Logf("%v", l.counts)
}

// judge compares the replies of one step with its runs.
func (l *load) judge(step *stepLog, runs int) {
	assert.Check(l.t, runs <= 1, "%s ran %d times: %v", step.key, runs, step.replies)
	allNotRun := true
	for _, r := range step.replies {
		allNotRun = allNotRun && r.outcome == outcomeNotRun
		if r.outcome != outcomeRan {
			continue
		}
		l.count("answers to steps that ran")
		assert.Check(l.t, r.status == http.StatusCreated && r.err == nil, "%s: %v", step.key, r)
		assert.Check(l.t, r.entry.Key == step.key && r.entry.Runs == 1 && r.entry.Body == stepBody(step.key), "%s: %v", step.key, r)
		assert.Check(l.t, runs == 1, "%s was said to have run and ran %d times", step.key, runs)
	}
	last := step.replies[len(step.replies)-1]
	l.count("steps that end " + last.outcome)
	if allNotRun || (!step.crossed && last.outcome == outcomeNotRun) {
		assert.Check(l.t, runs == 0, "%s was said not to have run: %v", step.key, step.replies)
	}
}

// check notes a reply that took long.
func (l *load) check(r *reply, what string) {
	if r.took > slowReply {
		l.count("slow replies")
		l.t.Errorf("%s %s: %v", time.Now().Format(time.TimeOnly), what, r)
	}
}

// fault is one thing that goes wrong, and is right again when it returns.
type fault struct {
	name  string
	apply func(f *fleet, random *rand.Rand)
}

func pick(processes []*process, random *rand.Rand) *process {
	return processes[random.IntN(len(processes))]
}

func pause(random *rand.Rand, most time.Duration) {
	time.Sleep(time.Duration(random.Int64N(int64(most))))
}

func restart(p *process, random *rand.Rand) {
	p.kill()
	pause(random, time.Second)
	p.start()
}

func freezeFor(p *process, random *rand.Rand, most time.Duration) {
	p.freeze()
	pause(random, most)
	p.thaw()
}

func faults() []fault {
	return []fault{
		{"kill control", func(f *fleet, random *rand.Rand) { restart(pick(f.controls, random), random) }},
		{"freeze control", func(f *fleet, random *rand.Rand) { freezeFor(pick(f.controls, random), random, 4*time.Second) }},
		{"kill sidecar", func(f *fleet, random *rand.Rand) { restart(pick(f.sidecars, random), random) }},
		{"freeze sidecar", func(f *fleet, random *rand.Rand) { freezeFor(pick(f.sidecars, random), random, 2*time.Second) }},
		{"kill engine", func(f *fleet, random *rand.Rand) { restart(pick(f.engines, random), random) }},
		{"freeze engine", func(f *fleet, random *rand.Rand) { freezeFor(pick(f.engines, random), random, 2*time.Second) }},
		{"kill router", func(f *fleet, random *rand.Rand) { restart(pick(f.routers, random), random) }},
		{"freeze router", func(f *fleet, random *rand.Rand) { freezeFor(pick(f.routers, random), random, 2*time.Second) }},
	}
}

// TestRandomisedFaults kills and freezes processes of every role at random
// while chats and steps go on. No answer may be wrong or silently short, no
// step may run twice, and none that ran may be said not to have run.
func TestRandomisedFaults(t *testing.T) {
	length := defaultFaultsTime
	if text := os.Getenv(faultsVariable); text != "" {
		var err error
		length, err = time.ParseDuration(text)
		assert.NilError(t, err)
	}
	seeds.Run(t, seeds.Range{First: 1, Last: 1}, func(t *testing.T, seed uint64) {
		runFaults(t, seed, length)
	})
}

func runFaults(t *testing.T, seed uint64, length time.Duration) {
	f := startFleet(t, acceptanceConfig())
	random := rand.New(rand.NewPCG(seed, 0))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := startLoad(ctx, t, f, seed)
	list := faults()
	for end := time.Now().Add(length); time.Now().Before(end); {
		fault := list[random.IntN(len(list))]
		t.Logf("%s %s", time.Now().Format(time.TimeOnly), fault.name)
		fault.apply(f, random)
		l.count("faults")
		pause(random, time.Second)
	}
	cancel()
	l.finish(f)
	checkRecovered(t, f)
}

// checkRecovered wants the fleet to serve again soon after the last fault.
func checkRecovered(t *testing.T, f *fleet) {
	t.Helper()
	for _, address := range f.routerAddresses {
		c := newCaller(address)
		took := await(t, settleTime, "router "+address+" serves again", func() bool {
			request := newChat("is all well again", 10, true)
			return c.chat(t.Context(), request, nil).whole(request) &&
				c.step(t.Context(), "recovered-"+address, nil).outcome == outcomeRan
		})
		t.Logf("router %s serves again after %v", address, took)
	}
}
