package rank

import (
	"slices"

	"cactusline.dev/cactusline/internal/conn/digest"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Plan determines the targets to which one request is offered, one after the
// other, until a target admits it. It is not safe for concurrent use.
type Plan struct {
	pool  *Pool
	query Query
	// candidates are the targets still to be offered the request.
	candidates   []Candidate
	refused      []refusedOffer
	finalOffered bool
	// redirectTarget is the target of the next offer after a final offer was
	// refused, and redirectCount counts such offers.
	redirectTarget Candidate
	redirectCount  int
}

// refusedOffer records that a target refused the request, with its load then.
type refusedOffer struct {
	candidate Candidate
	load      int
	// unavailable marks a target that takes no work at all.
	unavailable bool
}

// Offer is one offer of the request to a target.
type Offer struct {
	Candidate
	// Final marks an offer after the regular candidates: the target is to queue
	// the request if it cannot run it at once.
	Final bool
	// NoRedirect tells the target not to redirect the chat to another target. It
	// is set on final offers, on offers to the target known to have served the
	// chat last, and on second offers to a target.
	NoRedirect bool
	// NoSpill marks the last possible offer, after which the target must not
	// spill the request from its queue.
	NoSpill bool
}

// Refusal is the part of a target's refusal that a plan uses.
type Refusal struct {
	Load digest.Load
	// LastServedBy is the target that last served the chat, if known.
	LastServedBy ident.TargetName
	// LessLoaded is a target that recently had little load, if known.
	LessLoaded ident.TargetName
	// Moved marks a refusal whose only reason is that another target, LastServedBy,
	// has the chat's prefix cached.
	Moved bool
	// Unavailable marks a target that takes no work: it is leaving, down or
	// unreachable.
	Unavailable bool
}

// NewPlan returns a plan for a request.
func (p *Pool) NewPlan(q Query) *Plan {
	return &Plan{pool: p, query: q, candidates: p.Choose(make([]Candidate, 0, maxCandidates), q)}
}

// Next returns the next offer, false if there is none left. After the candidates
// or MaxRefusals, it makes a final offer to the least loaded of the targets that
// refused. If that is refused too, up to maxRedirects more offers follow.
func (p *Plan) Next() (Offer, bool) {
	if len(p.candidates) > 0 && len(p.refused) < p.pool.cfg.MaxRefusals {
		next := p.candidates[0]
		p.candidates = p.candidates[1:]
		return Offer{Candidate: next, NoRedirect: next.Reason == LastServed || p.hasRefused(next.Index)}, true
	}
	if p.finalOffered {
		return p.nextRedirect()
	}
	p.finalOffered = true
	best, ok := p.leastLoaded()
	if !ok {
		return Offer{}, false
	}
	return Offer{Candidate: best, Final: true, NoRedirect: true}, true
}

// leastLoaded returns the target that had the least load when it refused, among
// those that are not unavailable.
func (p *Plan) leastLoaded() (Candidate, bool) {
	best := -1
	for i := range p.refused {
		o := &p.refused[i]
		if !o.unavailable && !p.isUnavailable(o.candidate.Index) && (best < 0 || o.load < p.refused[best].load) {
			best = i
		}
	}
	if best < 0 {
		return Candidate{}, false
	}
	return p.refused[best].candidate, true
}

// isUnavailable reports whether a refusal marked the target as unavailable.
func (p *Plan) isUnavailable(index int) bool {
	return slices.ContainsFunc(p.refused, func(o refusedOffer) bool { return o.candidate.Index == index && o.unavailable })
}

// maxRedirects is the maximum number of offers after the first final one.
const maxRedirects = 3

// nextRedirect returns the offer that follows the refusal of a final one.
func (p *Plan) nextRedirect() (Offer, bool) {
	if p.redirectTarget.Target == "" || p.redirectCount >= maxRedirects {
		return Offer{}, false
	}
	p.redirectCount++
	next := p.redirectTarget
	p.redirectTarget = Candidate{}
	return Offer{Candidate: next, Final: true, NoRedirect: true, NoSpill: p.redirectCount == maxRedirects}, true
}

// hasRefused reports whether the target has refused the request.
func (p *Plan) hasRefused(index int) bool {
	return slices.ContainsFunc(p.refused, func(o refusedOffer) bool { return o.candidate.Index == index })
}

// Refused records the refusal of an offer. After an offer that is not final, the
// next candidates are, in this order: LastServedBy, and then the refusing target
// once more if the refusal is Moved, else LessLoaded.
func (p *Plan) Refused(o Offer, r Refusal) {
	p.refused = append(p.refused, refusedOffer{candidate: o.Candidate, load: r.Load.Requests + r.Load.Queued, unavailable: r.Unavailable})
	if o.Final {
		p.redirectFinal(r)
		return
	}
	if !r.Moved {
		p.tryNext(r.LessLoaded, LessLoaded)
	}
	if r.Moved {
		p.candidates = slices.Insert(p.candidates, 0, o.Candidate)
	}
	p.tryNext(r.LastServedBy, LastServed)
}

// redirectFinal handles the refusal of a final offer:
//   - If LessLoaded is an available target, the next offer goes there.
//   - If LessLoaded is empty and the refusing target is not unavailable, the plan
//     ends, since the request has waited in the queue as long as it may.
//   - Otherwise one last offer goes to the least loaded target that refused.
func (p *Plan) redirectFinal(r Refusal) {
	next, ok := p.lookup(r.LessLoaded, LessLoaded)
	if ok && !p.isUnavailable(next.Index) {
		p.redirectTarget = next
		return
	}
	if r.LessLoaded == "" && !r.Unavailable {
		return
	}
	p.redirectTarget, _ = p.leastLoaded()
	// Leave one more offer, which is NoSpill.
	p.redirectCount = max(p.redirectCount, maxRedirects-1)
}

// tryNext puts a target first among the candidates, unless it has refused or is
// not available.
func (p *Plan) tryNext(name ident.TargetName, reason Reason) {
	next, ok := p.lookup(name, reason)
	if !ok || p.hasRefused(next.Index) {
		return
	}
	p.candidates = slices.DeleteFunc(p.candidates, func(c Candidate) bool { return c.Index == next.Index })
	p.candidates = slices.Insert(p.candidates, 0, next)
}

// lookup returns the target with the given name as a candidate, if it is in the
// pool and available.
func (p *Plan) lookup(name ident.TargetName, reason Reason) (Candidate, bool) {
	state := p.pool.state.Load()
	i, ok := state.byName[name]
	if !ok || !state.available(i, p.query.Now) {
		return Candidate{}, false
	}
	return Candidate{Target: name, Reason: reason, Index: i}, true
}
