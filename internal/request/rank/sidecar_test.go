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

// Intervals of load reports, and delay before a joining engine serves.
const (
	reportInterval = 50 * time.Millisecond
	// routerDigestEvery is after how many digests to sidecars one goes to routers.
	routerDigestEvery = 20
	// announceDelay is how long a joining engine is announced before it serves.
	announceDelay = 500 * time.Millisecond
)

// Bytes on a router's links. A TCP segment over IPv4 with timestamps has 52 bytes
// of headers, its acknowledgement has 52 bytes and a yamux header has 12. A refused
// Submit, not counting its body, opens and closes a yamux stream, which takes 5
// segments because the link coalesces small writes.
const (
	segmentBytes      = 52 + 52 + 12
	digestFrameBytes  = segmentBytes + 11*26
	digestReplyBytes  = 24
	loadReplyBytes    = 14
	refusalBytes      = 474
	chatLocationBytes = segmentBytes + 40
)

// startSidecars starts a sidecar for each engine, a pool for each router, and a
// control process that sums the sidecars' reports.
func (m *sim) startSidecars() {
	for _, e := range m.engines {
		m.newController(e)
		phase := time.Duration(m.rng.Int64N(int64(reportInterval)))
		m.after(phase, func() { m.reportLoad(e) })
	}
	for _, r := range m.routers {
		r.pool = rank.New(rank.Config{Domain: domainName(r.domain), Seed: uint64(r.id)})
		m.updatePool(r)
	}
	m.after(reportInterval, m.sendDigests)
}

func (m *sim) newController(e *engine) {
	controller, err := admit.New(admit.Config{
		Target: engineName(e.id), OnInvariantBroken: m.fail, Rand: rand.New(rand.NewPCG(uint64(e.id), 3)),
	})
	if err != nil {
		m.fail(err)
	}
	e.controller = controller
}

// updatePool updates a router's pool with the engines that the router sees.
func (m *sim) updatePool(r *router) {
	if r.pool == nil {
		return
	}
	targets := make([]rank.Target, len(m.engines))
	for i, e := range m.engines {
		targets[i] = rank.Target{Name: engineName(i), Domain: domainName(e.domain), Leaving: !m.visible(r, i), JoinedAt: e.joinedAt}
	}
	r.pool.Update(targets)
}

func domainName(i int) ident.DomainName { return ident.DomainName(rune('a' + i)) }

// updatePools updates the pools of all routers, each after up to a second.
func (m *sim) updatePools() {
	for _, r := range m.routers {
		m.after(time.Duration(m.rng.Int64N(int64(time.Second))), func() { m.updatePool(r) })
	}
}

// reportLoad sends a sidecar's load to the control process every reportInterval.
func (m *sim) reportLoad(e *engine) {
	m.after(reportInterval, func() { m.reportLoad(e) })
	if !e.live {
		return
	}
	taken, load, leaving := m.clock(), e.controller.Load(), e.leaving
	m.after(m.delay(e.domain, 0), func() {
		now := m.clock()
		m.table.Put(now, digest.Report{Target: engineName(e.id), Load: load, Leaving: leaving, Age: now.Sub(taken)})
	})
}

// sendDigests sends digests from the control process to the sidecars every
// reportInterval, and to the routers less often.
func (m *sim) sendDigests() {
	m.after(reportInterval, m.sendDigests)
	d := m.table.Sum(m.clock())
	for _, e := range m.engines {
		m.after(m.delay(0, e.domain), func() { m.handleQueuedDecisions(e, e.controller.SetDigest(m.clock(), d)) })
	}
	if d.Version%routerDigestEvery == 0 {
		m.stats.controlBytes += digestFrameBytes * len(m.routers)
		for _, r := range m.routers {
			m.after(m.delay(0, r.domain), func() { r.pool.SetDigest(d) })
		}
	}
}

// offer offers a request to the engine's sidecar.
func (m *sim) offer(r *request, e *engine, offer rank.Offer) {
	m.stats.controlBytes += digestReplyBytes
	d, evicted := e.controller.Offer(m.clock(), admit.Work{
		Attempt: attemptOf(r), Customer: ident.CustomerName(rune('a' + r.customer)), Chat: ident.ChatKey(r.chat),
		Tokens: ident.Tokens(r.prefix + r.fresh + r.output), WarmTokens: ident.Tokens(min(e.cache.get(r.chat), r.prefix)),
		Deadline: time.Unix(1_000_000, 0).Add(r.at + 5*time.Second), Final: offer.Final, NoRedirect: offer.NoRedirect, NoSpill: offer.NoSpill,
	})
	if d.Kind == admit.Queued {
		e.queued = append(e.queued, r)
		r.queuedOffer = offer
	}
	m.handleDecision(r, e, offer, d)
	m.handleQueuedDecisions(e, evicted)
}

// handleDecision acts on a sidecar's decision.
func (m *sim) handleDecision(r *request, e *engine, offer rank.Offer, d admit.Decision) {
	switch d.Kind {
	case admit.Admitted:
		r.urgent = d.Urgent
		m.startAdmitted(r, e)
		m.sendChatLocation(r, e)
	case admit.Refused:
		m.stats.controlBytes += refusalBytes
		m.stats.countRefusal(e, r, d)
		rt := m.routers[r.router]
		m.after(m.delay(rt.domain, e.domain), func() {
			rt.pool.ObserveLoad(m.clock(), engineName(e.id), d.Load)
			r.plan.Refused(offer, rank.Refusal{
				Load: d.Load, LastServedBy: d.ChatLocation.Target, LessLoaded: d.LessLoaded, Moved: d.Reason == admit.Moved, Unavailable: d.Reason == admit.Leaving,
			})
			m.offerNext(r)
		})
	}
}

// offerNext makes the next offer of the request's plan.
func (m *sim) offerNext(r *request) {
	offer, ok := r.plan.Next()
	if !ok {
		m.countRefused(r)
		return
	}
	rt, e := m.routers[r.router], m.engines[offer.Index]
	m.after(m.delay(rt.domain, e.domain), func() {
		if e.serves() {
			m.offer(r, e, offer)
			return
		}
		m.after(m.delay(rt.domain, e.domain), func() {
			r.plan.Refused(offer, rank.Refusal{Unavailable: true})
			m.offerNext(r)
		})
	})
}

// handleQueuedDecisions acts on decisions on queued requests.
func (m *sim) handleQueuedDecisions(e *engine, decisions []admit.QueuedDecision) {
	for _, d := range decisions {
		i := slices.IndexFunc(e.queued, func(r *request) bool { return attemptOf(r) == d.Work.Attempt })
		r := e.queued[i]
		e.queued = slices.Delete(e.queued, i, i+1)
		if d.Decision.Kind == admit.Refused && d.Decision.Reason == admit.Leaving {
			m.after(m.delay(0, 1), func() { m.arrive(r) })
			continue
		}
		m.handleDecision(r, e, r.queuedOffer, d.Decision)
	}
}

// sendChatLocation notifies the chat's home target that another engine served the
// chat.
func (m *sim) sendChatLocation(r *request, e *engine) {
	rt := m.routers[r.router]
	home, ok := rt.pool.Home(rank.Query{Now: m.clock(), Chat: ident.ChatKey(r.chat)})
	if !ok || home.Index == e.id {
		return
	}
	m.stats.controlBytes += chatLocationBytes
	homeEngine := m.engines[home.Index]
	location := admit.ChatLocation{Target: engineName(e.id), Tokens: ident.Tokens(r.prefix + r.fresh + r.output)}
	m.after(m.delay(rt.domain, e.domain)+m.delay(rt.domain, homeEngine.domain), func() {
		homeEngine.controller.RecordChatLocation(m.clock(), ident.ChatKey(r.chat), location)
	})
}

// startLeaving makes an engine's sidecar refuse new work.
func (m *sim) startLeaving(e *engine) {
	if e.controller != nil {
		m.handleQueuedDecisions(e, e.controller.SetLeaving(m.clock(), true))
	}
	m.updatePools()
}

// restartSidecar restarts the sidecar of a crashed engine and retries the requests
// that it had queued.
func (m *sim) restartSidecar(e *engine) {
	lost := e.queued
	e.queued = nil
	m.newController(e)
	m.updatePools()
	for _, r := range lost {
		m.after(m.delay(0, 1), func() { m.arrive(r) })
	}
}

// announceJoin announces an engine to the routers announceDelay after its start.
func (m *sim) announceJoin(e *engine) {
	generation := e.generation
	m.after(announceDelay, func() {
		if e.generation == generation {
			e.joined, e.joinedAt = true, m.clock()
			m.updatePools()
		}
	})
}
