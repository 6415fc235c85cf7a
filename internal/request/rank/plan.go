package rank

import (
	"slices"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Plan leads one request from target to target until one admits it. It is
// not safe for concurrent use.
type Plan struct {
	pool  *Pool
	query Query
	queue []Candidate
	tried []tried
	final bool
	// lighter is what the refusal of a final offer named, and extra counts the
	// offers made so.
	lighter Candidate
	extra   int
}

// tried is a target that has refused, with its load then.
type tried struct {
	candidate Candidate
	load      int
	// closed marks a target that takes no work whatever its load.
	closed bool
}

// Offer is the next offer of a plan.
type Offer struct {
	Candidate
	// Final marks the last offer: the target is to queue what it cannot run.
	Final bool
	// Redirected marks an offer to which a refusal has led, so that the target
	// does not send the chat on.
	Redirected bool
	// NoSpill marks the last of the final offers.
	NoSpill bool
}

// Refusal is what a plan needs to know of a target's refusal.
type Refusal struct {
	Load digest.Load
	// LastServedBy names the target that served the chat last, if known.
	LastServedBy ident.TargetName
	// LessLoaded names a target that carried little of late, if known.
	LessLoaded ident.TargetName
	// Moved marks a refusal whose only reason was the forward.
	Moved bool
	// Unavailable marks a target that takes no work: it leaves, is down or does
	// not answer.
	Unavailable bool
}

// NewPlan returns the plan for a request.
func (p *Pool) NewPlan(q Query) *Plan {
	return &Plan{pool: p, query: q, queue: p.Choose(make([]Candidate, 0, maxLimit), q)}
}

// Next returns the next offer, false if no target is left. After the
// candidates, the least loaded of those that refused gets the final offer.
func (p *Plan) Next() (Offer, bool) {
	if len(p.queue) > 0 && len(p.tried) < p.pool.cfg.MaxRefusals {
		next := p.queue[0]
		p.queue = p.queue[1:]
		return Offer{Candidate: next, Redirected: next.Reason == Forwarded || p.seen(next.Index)}, true
	}
	if p.final {
		return p.nextLighter()
	}
	p.final = true
	best, ok := p.leastLoaded()
	if !ok {
		return Offer{}, false
	}
	return Offer{Candidate: best, Final: true, Redirected: true}, true
}

// leastLoaded returns the least loaded of the targets that refused but take
// work.
func (p *Plan) leastLoaded() (Candidate, bool) {
	best := -1
	for i := range p.tried {
		t := &p.tried[i]
		if !t.closed && !p.shut(t.candidate.Index) && (best < 0 || t.load < p.tried[best].load) {
			best = i
		}
	}
	if best < 0 {
		return Candidate{}, false
	}
	return p.tried[best].candidate, true
}

// shut reports whether a target has said that it takes no work.
func (p *Plan) shut(index int) bool {
	return slices.ContainsFunc(p.tried, func(t tried) bool { return t.candidate.Index == index && t.closed })
}

// maxLighter bounds the offers after the first final one.
const maxLighter = 3

// nextLighter returns the target that the refusal of a final offer named.
func (p *Plan) nextLighter() (Offer, bool) {
	if p.lighter.Target == "" || p.extra >= maxLighter {
		return Offer{}, false
	}
	p.extra++
	next := p.lighter
	p.lighter = Candidate{}
	return Offer{Candidate: next, Final: true, Redirected: true, NoSpill: p.extra == maxLighter}, true
}

func (p *Plan) seen(index int) bool {
	return slices.ContainsFunc(p.tried, func(t tried) bool { return t.candidate.Index == index })
}

// Refused takes the refusal of a step. A target that the refusal names is
// tried next, and the one that named it once more after that.
func (p *Plan) Refused(s Offer, r Refusal) {
	p.tried = append(p.tried, tried{candidate: s.Candidate, load: r.Load.Requests + r.Load.Queued, closed: r.Unavailable})
	if s.Final {
		p.sendOn(r)
		return
	}
	if !r.Moved {
		p.prefer(r.LessLoaded, LessLoaded)
	}
	if r.Moved {
		p.queue = slices.Insert(p.queue, 0, s.Candidate)
	}
	p.prefer(r.LastServedBy, Forwarded)
}

// sendOn takes the refusal of a final offer: the request goes to the lighter
// target that it names or, where that takes none, back to one that does. A
// refusal that names none comes from a target where it has waited long enough.
func (p *Plan) sendOn(r Refusal) {
	next, ok := p.candidate(r.LessLoaded, LessLoaded)
	if ok && !p.shut(next.Index) {
		p.lighter = next
		return
	}
	if r.LessLoaded == "" && !r.Unavailable {
		return
	}
	p.lighter, _ = p.leastLoaded()
	p.extra = max(p.extra, maxLighter-1)
}

// prefer has a target tried next that has not been tried yet.
func (p *Plan) prefer(name ident.TargetName, reason Reason) {
	next, ok := p.candidate(name, reason)
	if !ok || p.seen(next.Index) {
		return
	}
	p.queue = slices.DeleteFunc(p.queue, func(c Candidate) bool { return c.Index == next.Index })
	p.queue = slices.Insert(p.queue, 0, next)
}

// candidate returns a target of the pool by name, if it may get work.
func (p *Plan) candidate(name ident.TargetName, reason Reason) (Candidate, bool) {
	state := p.pool.state.Load()
	i, ok := state.byName[name]
	if !ok || !state.open(i, p.query.Now) {
		return Candidate{}, false
	}
	return Candidate{Target: name, Reason: reason, Index: i}, true
}
