package rank_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/request/rank"
	"cactusline.dev/cactusline/internal/version/ident"
)

// event is something that happens at a simulated time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

type events []event

func (q events) Len() int      { return len(q) }
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || (q[i].at == q[j].at && q[i].seq < q[j].seq)
}

func (q *events) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// router is one router with its own view of the engines.
type router struct {
	id, domain int
	pool       *rank.Pool
	// reported is the last reported load of each engine, sentSince the number of
	// requests sent to it since then.
	reported, sentSince []int
	hidden              []bool
	roundRobin          int
}

// sim is one run of a scenario under a policy.
type sim struct {
	size     size
	scenario string
	policy   policy
	rng      *rand.Rand
	now      time.Duration
	queue    events
	seq      int
	engines  []*engine
	routers  []*router
	table    *digest.Table
	stats    stats
	fail     func(error)
}

func newSim(s size, scenario string, p policy, seed uint64, fail func(error)) *sim {
	m := &sim{size: s, scenario: scenario, policy: p, rng: rand.New(rand.NewPCG(seed, 9)), fail: fail}
	m.table = digest.NewTable(digest.Config{})
	m.stats = newStats()
	for i := range s.engines {
		m.engines = append(m.engines, m.newEngine(i, true))
	}
	for i := range s.routers {
		m.routers = append(m.routers, &router{
			id: i, domain: i % s.domains, reported: make([]int, s.engines), sentSince: make([]int, s.engines), hidden: make([]bool, s.engines),
		})
	}
	if p.sidecar {
		m.startSidecars()
	}
	m.schedule(makeWorkload(s, scenario, seed))
	return m
}

func (m *sim) newEngine(i int, joined bool) *engine {
	return &engine{sim: m, id: i, domain: i % m.size.domains, live: true, joined: joined, cache: newPrefixCache(m.size.cache)}
}

// after schedules do to run at simulated time now plus d.
func (m *sim) after(d time.Duration, do func()) {
	m.seq++
	heap.Push(&m.queue, event{m.now + d, m.seq, do})
}

// clock returns the simulated time as a time.Time.
func (m *sim) clock() time.Time { return time.Unix(1_000_000, 0).Add(m.now) }

// delay returns a random one-way delay between two failure domains.
func (m *sim) delay(a, b int) time.Duration {
	base := m.size.remoteDelay
	if a == b {
		base = m.size.localDelay
	}
	return time.Duration(float64(base) * (0.8 + m.rng.ExpFloat64()/4))
}

// schedule schedules the requests, the samples and the faults of the scenario.
func (m *sim) schedule(work []*request) {
	for _, r := range work {
		m.after(r.at, func() { m.arrive(r) })
	}
	for at := 50 * time.Millisecond; at < m.size.duration; at += 50 * time.Millisecond {
		m.after(at, m.sample)
	}
	switch m.scenario {
	case "churn":
		faults := max(3, int(0.02*float64(m.size.engines)*m.size.duration.Minutes()*3))
		for i := range faults {
			at := m.size.warmUp + time.Duration(m.rng.Int64N(int64(m.size.duration-m.size.warmUp-6*time.Second)))
			e := m.engines[m.rng.IntN(len(m.engines))]
			m.after(at, func() { m.injectFault(e, i%3) })
		}
	case "views":
		for at := time.Duration(0); at < m.size.duration; at += 3 * time.Second {
			m.after(at, m.hideEngines)
		}
	}
}

// injectFault makes an engine crash and restart if kind is 0, otherwise leave and
// be replaced by a new one. It does nothing to an engine that does not serve.
func (m *sim) injectFault(e *engine, kind int) {
	if !e.serves() {
		return
	}
	if kind == 0 {
		e.crash()
		m.after(3*time.Second, e.restart)
		return
	}
	e.leaving = true
	m.startLeaving(e)
	m.after(5*time.Second, func() {
		if e.leaving {
			e.crash()
			e.restart()
		}
	})
}

// hideEngines hides a random fifth of the engines from each router, so that the
// routers' views differ.
func (m *sim) hideEngines() {
	for _, r := range m.routers {
		for i := range r.hidden {
			r.hidden[i] = m.rng.IntN(5) == 0
		}
		m.updatePool(r)
	}
}

// visible reports whether a router sees an engine and the engine serves.
func (m *sim) visible(r *router, i int) bool {
	return !r.hidden[i] && m.engines[i].serves()
}

func (m *sim) run() {
	for len(m.queue) > 0 {
		next := heap.Pop(&m.queue).(event)
		if next.at > m.size.duration {
			return
		}
		m.now = next.at
		next.do()
	}
}

// arrive handles the arrival of a request at its router.
func (m *sim) arrive(r *request) {
	rt := m.routers[r.router]
	if m.policy.sidecar {
		r.plan = rt.pool.NewPlan(rank.Query{Now: m.clock(), Chat: ident.ChatKey(r.chat), PrefixTokens: ident.Tokens(r.prefix)})
		m.offerNext(r)
		return
	}
	i, ok := m.policy.choose(m, rt, r)
	if !ok {
		m.countRefused(r)
		return
	}
	rt.sentSince[i]++
	e := m.engines[i]
	if m.policy.instant {
		m.startAdmitted(r, e)
		return
	}
	m.after(m.delay(rt.domain, e.domain), func() {
		if e.serves() {
			m.startAdmitted(r, e)
			return
		}
		m.after(m.delay(rt.domain, e.domain), func() { m.arrive(r) })
	})
}

// startAdmitted starts an admitted request and checks the load bound by the true
// mean load.
func (m *sim) startAdmitted(r *request, e *engine) {
	load, sum, serving := e.load()+1, 1, 0
	for _, other := range m.engines {
		if other.serves() {
			sum += other.load()
			serving++
		}
	}
	m.stats.admitted++
	if load > max(1, int(math.Ceil(rank.DefaultLoadBound*float64(sum)/float64(serving)))) {
		m.stats.overBound++
	}
	e.start(r)
}

// countRefused counts a request that no target took.
func (m *sim) countRefused(r *request) { m.stats.refused++ }

// firstToken handles the first token of an answer.
func (m *sim) firstToken(r *request) {
	e := r.engine
	back := m.delay(m.routers[r.router].domain, e.domain)
	if m.now > m.size.warmUp {
		m.stats.recordTTFT(m, r, m.now+back-r.at)
	}
	m.reportToRouter(r, e)
}

// reportToRouter sends an engine's load to the router with a reply.
func (m *sim) reportToRouter(r *request, e *engine) {
	rt, load := m.routers[r.router], m.loadOf(e)
	m.stats.controlBytes += loadReplyBytes
	m.after(m.delay(rt.domain, e.domain), func() {
		rt.reported[e.id], rt.sentSince[e.id] = load.Requests+load.Queued, 0
		if rt.pool != nil {
			rt.pool.ObserveLoad(m.clock(), engineName(e.id), load)
		}
	})
}

func (m *sim) loadOf(e *engine) digest.Load {
	if e.controller != nil {
		return e.controller.Load()
	}
	return digest.Load{Requests: e.load()}
}

// handleFinished handles the end of a request at an engine.
func (m *sim) handleFinished(e *engine, r *request) {
	if e.controller != nil {
		m.handleQueuedDecisions(e, e.controller.Done(m.clock(), attemptOf(r)))
	}
	m.reportToRouter(r, e)
}

// retryLost sends the requests that an engine lost to others, each at most
// twice.
func (m *sim) retryLost(e *engine, lost []*request) {
	if m.policy.sidecar {
		m.restartSidecar(e)
	}
	for _, r := range lost {
		r.tries++
		if r.tries < 3 {
			m.after(m.delay(0, 1), func() { m.arrive(r) })
		}
	}
}

// sample records the skew of the load of the serving engines.
func (m *sim) sample() {
	if m.now < settleTime {
		return
	}
	loads := make([]int, 0, len(m.engines))
	sum := 0
	for _, e := range m.engines {
		if e.serves() {
			loads = append(loads, e.load())
			sum += e.load()
		}
	}
	if sum == 0 {
		return
	}
	mean := float64(sum) / float64(len(loads))
	skew := float64(slices.Max(loads)) / mean
	m.stats.skew = append(m.stats.skew, skew)
	m.stats.trace = append(m.stats.trace, tracePoint{m.now, skew, m.stats.prefixTokens, m.stats.warmTokens})
	if skew > rank.DefaultLoadBound+1/mean {
		m.stats.skewExceeded++
	}
	m.stats.meanSum += mean
}

func engineName(i int) ident.TargetName { return ident.TargetName(fmt.Sprint("engine-", i)) }

func attemptOf(r *request) ident.AttemptID {
	return ident.AttemptID(fmt.Sprint(r.id, ".", r.tries))
}
