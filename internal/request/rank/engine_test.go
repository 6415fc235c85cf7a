package rank_test

import (
	"container/list"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/request/admit"
)

// Cost model of one step of the fake engine.
const (
	stepBaseCost       = 10 * time.Millisecond
	stepCostPerRequest = 400 * time.Microsecond
	stepCostPerToken   = 40 * time.Microsecond
	tokensPerStep      = 512
)

// prefixCache is a fake prefix cache with a limit on tokens. It evicts the chats
// that were written least recently.
type prefixCache struct {
	// free is the number of unused tokens.
	free        int
	entries     map[uint64]*list.Element
	byLastWrite *list.List
}

type cacheEntry struct {
	chat   uint64
	tokens int
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{free: capacity, entries: map[uint64]*list.Element{}, byLastWrite: list.New()}
}

func (c *prefixCache) get(chat uint64) int {
	if e, ok := c.entries[chat]; ok {
		return e.Value.(*cacheEntry).tokens
	}
	return 0
}

func (c *prefixCache) put(chat uint64, tokens int) {
	if e, ok := c.entries[chat]; ok {
		c.drop(e)
	}
	c.entries[chat] = c.byLastWrite.PushBack(&cacheEntry{chat, tokens})
	c.free -= tokens
	for c.free < 0 {
		c.drop(c.byLastWrite.Front())
	}
}

func (c *prefixCache) drop(e *list.Element) {
	old := c.byLastWrite.Remove(e).(*cacheEntry)
	delete(c.entries, old.chat)
	c.free += old.tokens
}

// engine is a fake inference engine with continuous batching and chunked prefill:
// a step computes up to tokensPerStep tokens of the prompts, in order, and one
// token of every running answer.
type engine struct {
	sim          *sim
	id, domain   int
	live, joined bool
	leaving      bool
	// generation counts crashes and restarts; it invalidates scheduled events.
	generation int
	busy       bool
	cache      *prefixCache
	prefilling []*request
	decoding   []*request
	controller *admit.Controller
	queued     []*request
	joinedAt   time.Time
}

func (e *engine) load() int { return len(e.prefilling) + len(e.decoding) }

// serves reports whether the engine takes work and counts in the mean load.
func (e *engine) serves() bool { return e.live && e.joined && !e.leaving }

// start adds an admitted request to the batch.
func (e *engine) start(r *request) {
	r.engine = e
	warm := min(e.cache.get(r.chat), r.prefix)
	e.sim.stats.countReuse(e.sim, r, warm)
	r.promptLeft, r.outputLeft = r.prefix+r.fresh-warm, r.output
	at := len(e.prefilling)
	for r.urgent && at > 0 && !e.prefilling[at-1].urgent {
		at--
	}
	e.prefilling = slices.Insert(e.prefilling, at, r)
	if !e.busy {
		e.step()
	}
}

// step starts the next step of the batch.
func (e *engine) step() {
	e.busy = e.load() > 0
	if !e.busy {
		return
	}
	budget := tokensPerStep
	for _, r := range e.prefilling {
		computed := min(budget, r.promptLeft)
		r.promptLeft -= computed
		budget -= computed
	}
	cost := stepBaseCost + time.Duration(len(e.decoding))*stepCostPerRequest + time.Duration(tokensPerStep-budget)*stepCostPerToken
	generation := e.generation
	e.sim.after(cost, func() {
		if e.generation == generation {
			e.endStep()
		}
	})
}

// endStep applies the results of a step and starts the next one. A poison request
// crashes the engine.
func (e *engine) endStep() {
	if slices.ContainsFunc(e.prefilling, func(r *request) bool { return r.poison }) {
		e.crash()
		e.sim.after(5*time.Second, e.restart)
		return
	}
	var completed []*request
	e.decoding = slices.DeleteFunc(e.decoding, func(r *request) bool {
		r.outputLeft--
		if r.outputLeft <= 0 {
			completed = append(completed, r)
		}
		return r.outputLeft <= 0
	})
	e.prefilling = slices.DeleteFunc(e.prefilling, func(r *request) bool {
		if r.promptLeft > 0 {
			return false
		}
		e.decoding = append(e.decoding, r)
		e.sim.firstToken(r)
		return true
	})
	for _, r := range completed {
		e.cache.put(r.chat, r.prefix+r.fresh+r.output)
		e.sim.handleFinished(e, r)
	}
	e.step()
}

// crash stops the engine and loses all its requests.
func (e *engine) crash() {
	lost := slices.Concat(e.prefilling, e.decoding)
	e.prefilling, e.decoding = nil, nil
	e.live, e.busy = false, false
	e.generation++
	e.sim.retryLost(e, lost)
}

// restart starts the engine again with an empty cache.
func (e *engine) restart() {
	e.live, e.joined, e.leaving = true, false, false
	e.generation++
	e.cache = newPrefixCache(e.sim.size.cache)
	e.sim.announceJoin(e)
}
