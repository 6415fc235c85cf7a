package tries_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

// simulation runs routers, sidecars, targets and a ledger in virtual time. Its
// seed determines everything that happens.
type simulation struct {
	rng            *rand.Rand
	now            time.Time
	queue          events
	sequence       int
	steps          int
	ledger         ledger
	sidecars       []*sidecar
	routers        []*router
	tracker        *poison.Tracker
	ops            []*operation
	calls          []*call
	executionCount int
	faultScale     float64
	violation      string
	joins          int
	outcomes       map[string]int
}

// event is a function to run at a point in virtual time.
type event struct {
	at       time.Time
	sequence int
	fn       func()
}

// events is a heap, ordered by time and then by the order of scheduling.
type events []event

func (q events) Len() int      { return len(q) }
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q events) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].sequence < q[j].sequence
	}
	return q[i].at.Before(q[j].at)
}
func (q *events) Push(x any) { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// at schedules a function to run at a point in virtual time.
func (sim *simulation) at(when time.Time, run func()) {
	sim.sequence++
	heap.Push(&sim.queue, event{at: when, sequence: sim.sequence, fn: run})
}

func (sim *simulation) after(d time.Duration, run func()) { sim.at(sim.now.Add(d), run) }

func (sim *simulation) chance(p float64) bool { return sim.rng.Float64() < p }

// faultOccurs reports whether a fault of probability p, scaled by faultScale,
// occurs.
func (sim *simulation) faultOccurs(p float64) bool { return sim.chance(p * sim.faultScale) }

func (sim *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(sim.rng.Int64N(int64(high-low)+1))
}

func (sim *simulation) delay() time.Duration {
	return sim.between(time.Millisecond, 9*time.Millisecond)
}

// fail records a violation, unless there is one already.
func (sim *simulation) fail(format string, args ...any) {
	if sim.violation == "" {
		sim.violation = fmt.Sprintf(format, args...)
	}
}

// operation is a request of one caller, with all its resends.
type operation struct {
	name          string
	once          bool
	key           string
	crashesTarget bool
	fingerprint   ident.Fingerprint
	size          int
	chunk         int
	sends         int
	executions    []*execution
	crashes       int
	// runsAfterRouterRestart counts runs that began after the router of their
	// call was restarted.
	runsAfterRouterRestart int
}

// execution is one run of an operation at a target.
type execution struct {
	op       *operation
	attempt  ident.AttemptID
	response []byte
	stopped  bool
}

// router is the state of a simulated router besides its calls.
type router struct {
	frozenUntil time.Time
	verdicts    poison.VerdictSet
}

// call is one send of an operation through a router.
type call struct {
	sim         *simulation
	op          *operation
	router      *router
	machine     *tries.Machine
	streams     map[tries.StreamID]*stream
	attempts    map[ident.AttemptID]bool
	nextTimeout time.Time
	frame       frame
	execution   *execution
	received    []byte
	headWritten bool
	// runsAtRelease is the number of executions when the ledger claim was
	// released, or else when the call finished. Later ones belong to resends.
	runsAtRelease int
	released      bool
	finished      bool
	outcome       wire.Outcome
	// routerLost says that the router was restarted during the call.
	routerLost bool
}

// frame is an event on its way to a router, with the data that it carries.
type frame struct {
	event tries.Event
	data  []byte
	run   *execution
}

const (
	requestTimeout = 20 * time.Second
	// maxVerdictDelay is the longest time until a new verdict is known everywhere.
	maxVerdictDelay = 300 * time.Millisecond
)

func newSimulation(seed uint64) *simulation {
	rng := rand.New(rand.NewPCG(seed, 1))
	sim := &simulation{
		rng:        rng,
		now:        time.Unix(0, 0),
		tracker:    poison.NewTracker(poison.Config{}),
		faultScale: []float64{0, 0.3, 1, 2.5}[rng.IntN(4)],
		ledger:     ledger{claims: make(map[string]*claim)},
		outcomes:   make(map[string]int),
	}
	for i := range 4 {
		sim.sidecars = append(sim.sidecars, newSidecar(sim, fmt.Sprintf("t%d", i)))
	}
	for range 3 {
		sim.routers = append(sim.routers, &router{})
	}
	for i := range 10 {
		sim.addOperation(i)
	}
	sim.scheduleFailures()
	return sim
}

func (sim *simulation) addOperation(i int) {
	op := &operation{
		name:        fmt.Sprintf("op%d", i),
		fingerprint: ident.Fingerprint(i + 1),
		size:        sim.rng.IntN(90),
		chunk:       1 + sim.rng.IntN(20),
	}
	switch kind := sim.rng.IntN(10); {
	case kind < 4:
		op.once, op.key = true, op.name
	case kind < 6:
		op.once = true
	case kind == 6:
		op.crashesTarget = true
		if sim.chance(0.3) {
			op.once, op.key = true, op.name
		}
	}
	sim.ops = append(sim.ops, op)
	sim.after(sim.between(0, 2*time.Second), func() { sim.submit(op) })
}

// scheduleFailures schedules restarts, crashes and freezes, which may overlap.
func (sim *simulation) scheduleFailures() {
	for range int(sim.faultScale * 4) {
		sidecar := sim.sidecars[sim.rng.IntN(len(sim.sidecars))]
		router := sim.routers[sim.rng.IntN(len(sim.routers))]
		failure := sim.rng.IntN(4)
		sim.after(sim.between(0, 4*time.Second), func() {
			switch failure {
			case 0:
				sidecar.restart()
			case 1:
				sidecar.crash()
			case 2:
				router.frozenUntil = sim.now.Add(sim.between(0, 25*time.Second))
			case 3:
				sim.restartRouter(router)
			}
		})
	}
}

// restartRouter drops all calls of a router. Their callers see a broken
// connection and resend.
func (sim *simulation) restartRouter(r *router) {
	r.verdicts = poison.VerdictSet{}
	r.verdicts.Replace(sim.tracker.ActiveVerdicts(sim.now))
	for _, c := range sim.calls {
		if c.router != r || c.finished {
			continue
		}
		c.finished, c.routerLost = true, true
		for _, s := range c.streams {
			s.closed = true
		}
		sim.resend(c.op, maxVerdictDelay)
	}
}

// submit sends an operation once more through a random router.
func (sim *simulation) submit(op *operation) {
	op.sends++
	r := sim.routers[sim.rng.IntN(len(sim.routers))]
	c := &call{
		sim:      sim,
		op:       op,
		router:   r,
		streams:  make(map[tries.StreamID]*stream),
		attempts: make(map[ident.AttemptID]bool),
	}
	sim.calls = append(sim.calls, c)
	verdict := r.verdicts.Verdict(op.fingerprint)
	cfg := tries.Config{
		Request:         ident.RequestID(fmt.Sprintf("%s-%d", op.name, op.sends)),
		Customer:        "c",
		Once:            op.once,
		LedgerKey:       op.key,
		Deadline:        sim.now.Add(requestTimeout),
		Random:          sim.rng,
		InFlightAtCrash: verdict >= poison.VerdictWatched,

		IdleTimeout: 3 * time.Second,
	}
	if sim.chance(0.3) {
		cfg.HedgeAfter = sim.between(time.Millisecond, 60*time.Millisecond)
	}
	if sim.chance(0.3) {
		cfg.Plan = &plan{candidates: append(sim.rank(), sim.rank()...)}
	}
	c.machine = tries.New(cfg)
	if r.verdicts.Quarantined(op.fingerprint) {
		c.step(frame{event: tries.Event{Kind: tries.EventQuarantined}})
		return
	}
	c.step(frame{event: tries.Event{Kind: tries.EventStart, Candidates: sim.rank()}})
	if !c.finished && sim.faultOccurs(0.05) {
		sim.after(sim.between(0, time.Second), func() { c.receive(frame{event: tries.Event{Kind: tries.EventCallerGone}}) })
	}
	if op.key != "" && sim.faultOccurs(0.15) {
		sim.after(sim.between(0, 100*time.Millisecond), func() { sim.resend(op, 0) })
	}
}

// rank lists some of the targets, with incarnations that may be out of date.
func (sim *simulation) rank() []tries.Candidate {
	candidates := make([]tries.Candidate, 0, len(sim.sidecars))
	for _, i := range sim.rng.Perm(len(sim.sidecars)) {
		s := sim.sidecars[i]
		incarnation := s.incarnation
		if sim.faultOccurs(0.1) && incarnation > 1 {
			incarnation--
		}
		candidates = append(candidates, tries.Candidate{Target: s.name, Incarnation: incarnation})
	}
	if sim.faultOccurs(0.02) {
		return nil
	}
	return candidates[:1+sim.rng.IntN(len(candidates))]
}

// plan proposes targets, possibly more than once.
type plan struct {
	candidates []tries.Candidate
}

func (p *plan) Next() (tries.Candidate, bool) {
	if len(p.candidates) == 0 {
		return tries.Candidate{}, false
	}
	next := p.candidates[0]
	p.candidates = p.candidates[1:]
	return next, true
}

// maxSends limits how often an operation is sent.
const maxSends = 5

// resend submits an operation again after wait, unless it was sent maxSends
// times or is neither idempotent nor has a ledger key.
func (sim *simulation) resend(op *operation, wait time.Duration) {
	if op.sends < maxSends && (!op.once || op.key != "") {
		sim.after(wait, func() {
			if op.sends < maxSends {
				sim.submit(op)
			}
		})
	}
}

// propagateVerdicts sends new verdicts to routers and sidecars, with random
// delays.
func (sim *simulation) propagateVerdicts(changes []poison.VerdictChange) {
	if len(changes) == 0 {
		return
	}
	for _, r := range sim.routers {
		sim.after(sim.between(0, maxVerdictDelay), func() { r.verdicts.Replace(sim.tracker.ActiveVerdicts(sim.now)) })
	}
	for _, s := range sim.sidecars {
		sim.after(sim.between(0, maxVerdictDelay), func() { s.verdicts.Replace(sim.tracker.ActiveVerdicts(sim.now)) })
	}
}

// run runs the simulation to its end and returns the first violation, or "".
func (sim *simulation) run() string {
	for len(sim.queue) > 0 && sim.violation == "" {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		sim.steps++
		next.fn()
	}
	if sim.violation == "" {
		sim.checkEnd()
	}
	return sim.violation
}
