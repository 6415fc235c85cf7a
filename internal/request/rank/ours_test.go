package rank_test

import (
	"math/rand/v2"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/request/admit"
	"cactusline.dev/cactusline/internal/request/rank"
	"cactusline.dev/cactusline/internal/version/ident"
)

// How often load news travels.
const (
	reportEvery   = 50 * time.Millisecond
	routerDigests = 20
	// announce is how long a joining engine is known before it serves.
	announce = 500 * time.Millisecond
)

// Bytes on a router's links. A segment of TCP over IPv4 with timestamps takes
// 52 bytes, as does its acknowledgement, and a yamux header takes 12. A refused
// Submit without its body opens and closes a yamux stream: 5 segments where
// the link sends small writes together.
const (
	segment      = 52 + 52 + 12
	digestFrame  = segment + 11*26
	digestNews   = 24
	loadNews     = 14
	refusalFrame = 474
	noteFrame    = segment + 40
)

// startControl gives each engine a sidecar, each router a pool, and a process
// that sums the sidecars' reports.
func (m *sim) startControl() {
	for _, e := range m.engines {
		m.newControl(e)
		phase := time.Duration(m.rng.Int64N(int64(reportEvery)))
		m.after(phase, func() { m.reportLoad(e) })
	}
	for _, r := range m.routers {
		r.pool = rank.New(rank.Config{Domain: domainName(r.domain), Seed: uint64(r.id)})
		m.updatePool(r)
	}
	m.after(reportEvery, m.spread)
}

func (m *sim) newControl(e *engine) {
	control, err := admit.New(admit.Config{
		Target: engineName(e.id), OnInvariantBroken: m.failed, Rand: rand.New(rand.NewPCG(uint64(e.id), 3)),
	})
	if err != nil {
		m.failed(err)
	}
	e.control = control
}

// updatePool tells a router's pool which engines it sees.
func (m *sim) updatePool(r *router) {
	if r.pool == nil {
		return
	}
	targets := make([]rank.Target, len(m.engines))
	for i, e := range m.engines {
		targets[i] = rank.Target{Name: engineName(i), Domain: domainName(e.domain), Leaving: !m.visible(r, i), JoinedAt: e.since}
	}
	r.pool.Update(targets)
}

func domainName(i int) ident.DomainName { return ident.DomainName(rune('a' + i)) }

// updatePools tells all routers within a second.
func (m *sim) updatePools() {
	for _, r := range m.routers {
		m.after(time.Duration(m.rng.Int64N(int64(time.Second))), func() { m.updatePool(r) })
	}
}

// reportLoad has a sidecar report to the summing process, again and again.
func (m *sim) reportLoad(e *engine) {
	m.after(reportEvery, func() { m.reportLoad(e) })
	if !e.live {
		return
	}
	taken, load, leaving := m.clock(), e.control.Load(), e.leaving
	m.after(m.delay(e.domain, 0), func() {
		now := m.clock()
		m.table.Put(now, digest.Report{Target: engineName(e.id), Load: load, Leaving: leaving, Age: now.Sub(taken)})
	})
}

// spread has the summing process send digests, to the routers more rarely.
func (m *sim) spread() {
	m.after(reportEvery, m.spread)
	d := m.table.Sum(m.clock())
	for _, e := range m.engines {
		m.after(m.delay(0, e.domain), func() { m.settle(e, e.control.SetDigest(m.clock(), d)) })
	}
	if d.Stamp%routerDigests == 0 {
		m.stats.control += digestFrame * len(m.routers)
		for _, r := range m.routers {
			m.after(m.delay(0, r.domain), func() { r.pool.SetDigest(d) })
		}
	}
}

// offer asks the engine's sidecar to admit a request.
func (m *sim) offer(r *request, e *engine, step rank.Offer) {
	m.stats.control += digestNews
	d, evicted := e.control.Offer(m.clock(), admit.Work{
		Attempt: attemptOf(r), Customer: ident.CustomerName(rune('a' + r.customer)), Chat: ident.ChatKey(r.chat),
		Tokens: ident.Tokens(r.prefix + r.fresh + r.output), WarmTokens: ident.Tokens(min(e.cache.get(r.chat), r.prefix)),
		Deadline: time.Unix(1_000_000, 0).Add(r.at + 5*time.Second), Final: step.Final, Redirected: step.Redirected, NoSpill: step.NoSpill,
	})
	if d.Kind == admit.Queued {
		e.held = append(e.held, r)
		r.held = step
	}
	m.answer(r, e, step, d)
	m.settle(e, evicted)
}

// answer acts on a sidecar's decision.
func (m *sim) answer(r *request, e *engine, step rank.Offer, d admit.Decision) {
	switch d.Kind {
	case admit.Admitted:
		r.urgent = d.Urgent
		m.admitted(r, e)
		m.note(r, e)
	case admit.Refused:
		m.stats.control += refusalFrame
		m.stats.turnAway(e, r, d)
		rt := m.routers[r.router]
		m.after(m.delay(rt.domain, e.domain), func() {
			rt.pool.ObserveLoad(m.clock(), engineName(e.id), d.Load)
			r.steps.Refused(step, rank.Refusal{
				Load: d.Load, LastServedBy: d.ChatLocation.Target, LessLoaded: d.LessLoaded, Moved: d.Reason == admit.Moved, Unavailable: d.Reason == admit.Leaving,
			})
			m.follow(r)
		})
	}
}

// follow offers the request to the next target of its plan.
func (m *sim) follow(r *request) {
	step, ok := r.steps.Next()
	if !ok {
		m.refused(r)
		return
	}
	rt, e := m.routers[r.router], m.engines[step.Index]
	m.after(m.delay(rt.domain, e.domain), func() {
		if e.serves() {
			m.offer(r, e, step)
			return
		}
		m.after(m.delay(rt.domain, e.domain), func() {
			r.steps.Refused(step, rank.Refusal{Unavailable: true})
			m.follow(r)
		})
	})
}

// settle acts on verdicts on queued requests.
func (m *sim) settle(e *engine, verdicts []admit.QueuedDecision) {
	for _, v := range verdicts {
		i := slices.IndexFunc(e.held, func(r *request) bool { return attemptOf(r) == v.Work.Attempt })
		r := e.held[i]
		e.held = slices.Delete(e.held, i, i+1)
		if v.Decision.Kind == admit.Refused && v.Decision.Reason == admit.Leaving {
			m.after(m.delay(0, 1), func() { m.arrive(r) })
			continue
		}
		m.answer(r, e, r.held, v.Decision)
	}
}

// note tells the chat's home target that another one served the chat.
func (m *sim) note(r *request, e *engine) {
	rt := m.routers[r.router]
	home, ok := rt.pool.Home(rank.Query{Now: m.clock(), Chat: ident.ChatKey(r.chat)})
	if !ok || home.Index == e.id {
		return
	}
	m.stats.control += noteFrame
	to := m.engines[home.Index]
	f := admit.ChatLocation{Target: engineName(e.id), Tokens: ident.Tokens(r.prefix + r.fresh + r.output)}
	m.after(m.delay(rt.domain, e.domain)+m.delay(rt.domain, to.domain), func() {
		to.control.RecordChatLocation(m.clock(), ident.ChatKey(r.chat), f)
	})
}

// leave has an engine's sidecar refuse new work.
func (m *sim) leave(e *engine) {
	if e.control != nil {
		m.settle(e, e.control.SetLeaving(m.clock(), true))
	}
	m.updatePools()
}

// crashControl restarts the sidecar with its engine.
func (m *sim) crashControl(e *engine) {
	lost := e.held
	e.held = nil
	m.newControl(e)
	m.updatePools()
	for _, r := range lost {
		m.after(m.delay(0, 1), func() { m.arrive(r) })
	}
}

// joining announces an engine before it serves.
func (m *sim) joining(e *engine) {
	starts := e.starts
	m.after(announce, func() {
		if e.starts == starts {
			e.joined, e.since = true, m.clock()
			m.updatePools()
		}
	})
}
