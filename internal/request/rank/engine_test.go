package rank_test

import (
	"container/list"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/request/admit"
)

// Costs of one step of the engine fake.
const (
	stepBase    = 10 * time.Millisecond
	stepRequest = 400 * time.Microsecond
	stepToken   = 40 * time.Microsecond
	stepChunk   = 512
)

// prefixCache is a fake prefix cache, bounded in tokens, least recently used
// chats going first.
type prefixCache struct {
	room    int
	entries map[uint64]*list.Element
	order   *list.List
}

type cached struct {
	chat   uint64
	tokens int
}

func newPrefixCache(room int) *prefixCache {
	return &prefixCache{room: room, entries: map[uint64]*list.Element{}, order: list.New()}
}

func (c *prefixCache) get(chat uint64) int {
	if e, ok := c.entries[chat]; ok {
		return e.Value.(*cached).tokens
	}
	return 0
}

func (c *prefixCache) put(chat uint64, tokens int) {
	if e, ok := c.entries[chat]; ok {
		c.drop(e)
	}
	c.entries[chat] = c.order.PushBack(&cached{chat, tokens})
	c.room -= tokens
	for c.room < 0 {
		c.drop(c.order.Front())
	}
}

func (c *prefixCache) drop(e *list.Element) {
	old := c.order.Remove(e).(*cached)
	delete(c.entries, old.chat)
	c.room += old.tokens
}

// engine is a fake model engine that batches continuously: a step computes a
// chunk of one prompt after another and a token of every running answer.
type engine struct {
	sim          *sim
	id, domain   int
	live, joined bool
	leaving      bool
	starts       int
	busy         bool
	cache        *prefixCache
	prompts      []*request
	answers      []*request
	control      *admit.Controller
	held         []*request
	since        time.Time
}

func (e *engine) load() int { return len(e.prompts) + len(e.answers) }

// serves reports whether the engine counts in the mean.
func (e *engine) serves() bool { return e.live && e.joined && !e.leaving }

// start begins a request that has been admitted.
func (e *engine) start(r *request) {
	r.engine = e
	warm := min(e.cache.get(r.chat), r.prefix)
	e.sim.stats.count(e.sim, r, warm)
	r.cold, r.left = r.prefix+r.fresh-warm, r.output
	at := len(e.prompts)
	for r.urgent && at > 0 && !e.prompts[at-1].urgent {
		at--
	}
	e.prompts = slices.Insert(e.prompts, at, r)
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
	chunk := stepChunk
	for _, r := range e.prompts {
		part := min(chunk, r.cold)
		r.cold -= part
		chunk -= part
	}
	cost := stepBase + time.Duration(len(e.answers))*stepRequest + time.Duration(stepChunk-chunk)*stepToken
	starts := e.starts
	e.sim.after(cost, func() {
		if e.starts == starts {
			e.endStep()
		}
	})
}

func (e *engine) endStep() {
	if slices.ContainsFunc(e.prompts, func(r *request) bool { return r.poison }) {
		e.crash()
		e.sim.after(5*time.Second, e.restart)
		return
	}
	var ended []*request
	e.answers = slices.DeleteFunc(e.answers, func(r *request) bool {
		r.left--
		if r.left <= 0 {
			ended = append(ended, r)
		}
		return r.left <= 0
	})
	e.prompts = slices.DeleteFunc(e.prompts, func(r *request) bool {
		if r.cold > 0 {
			return false
		}
		e.answers = append(e.answers, r)
		e.sim.firstToken(r)
		return true
	})
	for _, r := range ended {
		e.cache.put(r.chat, r.prefix+r.fresh+r.output)
		e.sim.done(e, r)
	}
	e.step()
}

// crash ends the engine with all that it runs.
func (e *engine) crash() {
	lost := slices.Concat(e.prompts, e.answers)
	e.prompts, e.answers = nil, nil
	e.live, e.busy = false, false
	e.starts++
	e.sim.crashed(e, lost)
}

// restart brings the engine back with a cold cache.
func (e *engine) restart() {
	e.live, e.joined, e.leaving = true, false, false
	e.starts++
	e.cache = newPrefixCache(e.sim.size.cache)
	e.sim.joining(e)
}
