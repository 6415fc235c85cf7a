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

// world runs routers, sidecars, targets and a ledger on virtual time. All that
// happens follows from its seed.
type world struct {
	rng      *rand.Rand
	now      time.Time
	queue    events
	sequence int
	steps    int
	ledger   ledger
	sidecars []*sidecar
	routers  []*router
	tracker  *poison.Tracker
	ops      []*operation
	calls    []*call
	runs     int
	faults   float64
	fault    string
	joins    int
	settled  map[string]int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

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

func (w *world) at(when time.Time, run func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: when, sequence: w.sequence, run: run})
}

func (w *world) after(d time.Duration, run func()) { w.at(w.now.Add(d), run) }

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

// bad reports whether a fault of probability p, scaled by the world's, occurs.
func (w *world) bad(p float64) bool { return w.chance(p * w.faults) }

func (w *world) between(low, high time.Duration) time.Duration {
	return low + time.Duration(w.rng.Int64N(int64(high-low)+1))
}

func (w *world) delay() time.Duration { return w.between(time.Millisecond, 9*time.Millisecond) }

func (w *world) fail(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

// operation is what one caller wants, with all its resends.
type operation struct {
	name        string
	once        bool
	key         string
	deadly      bool
	fingerprint ident.Fingerprint
	size        int
	chunk       int
	sends       int
	runs        []*execution
	crashes     int
	// orphans counts runs that began after the router of their send was lost.
	orphans int
}

// execution is one run of an operation at a target.
type execution struct {
	op      *operation
	attempt ident.AttemptID
	answer  []byte
	stopped bool
}

type router struct {
	frozen time.Time
	set    poison.Set
}

// call is one send of an operation through a router.
type call struct {
	w        *world
	op       *operation
	router   *router
	machine  *tries.Machine
	streams  map[tries.StreamID]*stream
	attempts map[ident.AttemptID]bool
	wake     time.Time
	frame    frame
	source   *execution
	got      []byte
	headed   bool
	ranAt    int
	released bool
	finished bool
	outcome  wire.Outcome
	// lost says that the router went down with the call.
	lost bool
}

// frame is what travels to a router: the event and what it carries.
type frame struct {
	event tries.Event
	data  []byte
	run   *execution
}

const (
	virtualDeadline = 20 * time.Second
	spreadVerdicts  = 300 * time.Millisecond
)

func newWorld(seed uint64) *world {
	rng := rand.New(rand.NewPCG(seed, 1))
	w := &world{
		rng:     rng,
		now:     time.Unix(0, 0),
		tracker: poison.NewTracker(poison.Config{}),
		faults:  []float64{0, 0.3, 1, 2.5}[rng.IntN(4)],
		ledger:  ledger{claims: make(map[string]*claim)},
		settled: make(map[string]int),
	}
	for i := range 4 {
		w.sidecars = append(w.sidecars, newSidecar(w, fmt.Sprintf("t%d", i)))
	}
	for range 3 {
		w.routers = append(w.routers, &router{})
	}
	for i := range 10 {
		w.addOperation(i)
	}
	w.addMishaps()
	return w
}

func (w *world) addOperation(i int) {
	op := &operation{
		name:        fmt.Sprintf("op%d", i),
		fingerprint: ident.Fingerprint(i + 1),
		size:        w.rng.IntN(90),
		chunk:       1 + w.rng.IntN(20),
	}
	switch kind := w.rng.IntN(10); {
	case kind < 4:
		op.once, op.key = true, op.name
	case kind < 6:
		op.once = true
	case kind == 6:
		op.deadly = true
		if w.chance(0.3) {
			op.once, op.key = true, op.name
		}
	}
	w.ops = append(w.ops, op)
	w.after(w.between(0, 2*time.Second), func() { w.submit(op) })
}

// addMishaps plans restarts, crashes and freezes, also several at once.
func (w *world) addMishaps() {
	for range int(w.faults * 4) {
		sidecar := w.sidecars[w.rng.IntN(len(w.sidecars))]
		router := w.routers[w.rng.IntN(len(w.routers))]
		mishap := w.rng.IntN(4)
		w.after(w.between(0, 4*time.Second), func() {
			switch mishap {
			case 0:
				sidecar.restart()
			case 1:
				sidecar.crash()
			case 2:
				router.frozen = w.now.Add(w.between(0, 25*time.Second))
			case 3:
				w.restartRouter(router)
			}
		})
	}
}

// restartRouter loses all calls of a router, whose callers see a broken link.
func (w *world) restartRouter(r *router) {
	r.set = poison.Set{}
	r.set.Replace(w.tracker.ActiveVerdicts(w.now))
	for _, c := range w.calls {
		if c.router != r || c.finished {
			continue
		}
		c.finished, c.lost = true, true
		for _, s := range c.streams {
			s.dead = true
		}
		w.resend(c.op, spreadVerdicts)
	}
}

// submit sends an operation once more through some router.
func (w *world) submit(op *operation) {
	op.sends++
	r := w.routers[w.rng.IntN(len(w.routers))]
	c := &call{
		w:        w,
		op:       op,
		router:   r,
		streams:  make(map[tries.StreamID]*stream),
		attempts: make(map[ident.AttemptID]bool),
	}
	w.calls = append(w.calls, c)
	verdict := r.set.Verdict(op.fingerprint)
	cfg := tries.Config{
		Request:      ident.RequestID(fmt.Sprintf("%s-%d", op.name, op.sends)),
		Customer:     "c",
		Once:         op.once,
		LedgerKey:    op.key,
		Deadline:     w.now.Add(virtualDeadline),
		Random:       w.rng,
		CrashSuspect: verdict >= poison.VerdictWatched,

		IdleTimeout: 3 * time.Second,
	}
	if w.chance(0.3) {
		cfg.HedgeAfter = w.between(time.Millisecond, 60*time.Millisecond)
	}
	if w.chance(0.3) {
		cfg.Plan = &plan{candidates: append(w.rank(), w.rank()...)}
	}
	c.machine = tries.New(cfg)
	if r.set.Quarantined(op.fingerprint) {
		c.step(frame{event: tries.Event{Kind: tries.EventQuarantined}})
		return
	}
	c.step(frame{event: tries.Event{Kind: tries.EventStart, Candidates: w.rank()}})
	if !c.finished && w.bad(0.05) {
		w.after(w.between(0, time.Second), func() { c.take(frame{event: tries.Event{Kind: tries.EventCallerGone}}) })
	}
	if op.key != "" && w.bad(0.15) {
		w.after(w.between(0, 100*time.Millisecond), func() { w.resend(op, 0) })
	}
}

// rank lists the targets, with incarnations that may be out of date.
func (w *world) rank() []tries.Candidate {
	candidates := make([]tries.Candidate, 0, len(w.sidecars))
	for _, i := range w.rng.Perm(len(w.sidecars)) {
		s := w.sidecars[i]
		incarnation := s.incarnation
		if w.bad(0.1) && incarnation > 1 {
			incarnation--
		}
		candidates = append(candidates, tries.Candidate{Target: s.name, Incarnation: incarnation})
	}
	if w.bad(0.02) {
		return nil
	}
	return candidates[:1+w.rng.IntN(len(candidates))]
}

// plan proposes targets, some twice.
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

const maxSends = 5

func (w *world) resend(op *operation, wait time.Duration) {
	if op.sends < maxSends && (!op.once || op.key != "") {
		w.after(wait, func() {
			if op.sends < maxSends {
				w.submit(op)
			}
		})
	}
}

// spread tells routers and sidecars of new verdicts after a while.
func (w *world) spread(changes []poison.VerdictChange) {
	if len(changes) == 0 {
		return
	}
	for _, r := range w.routers {
		w.after(w.between(0, spreadVerdicts), func() { r.set.Replace(w.tracker.ActiveVerdicts(w.now)) })
	}
	for _, s := range w.sidecars {
		w.after(w.between(0, spreadVerdicts), func() { s.set.Replace(w.tracker.ActiveVerdicts(w.now)) })
	}
}

// run plays the world to its end and returns the first violation.
func (w *world) run() string {
	for len(w.queue) > 0 && w.fault == "" {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		w.steps++
		next.run()
	}
	if w.fault == "" {
		w.checkEnd()
	}
	return w.fault
}
