package place

import (
	"math"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// loadFactor and loadSlack bound the load of a target that is chosen for
	// its warmth: a factor of the mean, and a few requests that level out by
	// themselves at low loads.
	loadFactor = 1.25
	loadSlack  = 4
	// youngFor is how long after its listing a target is taken to lack the
	// prompts that are to be its own.
	youngFor = 20 * time.Second
	// silentAfter is how long a target with requests may send nothing. A first
	// event takes less than the objective of streams, and events follow within
	// tens of milliseconds.
	silentAfter = time.Second
	// remoteCost is what a target in another failure domain counts as more
	// loaded for requests without a prompt: the way there and back takes about
	// a third of a short request's work.
	remoteCost = 0.35
)

// PartID names one part of a prompt. Requests may share it.
type PartID uint64

// Ask is what a request needs.
type Ask struct {
	Service ident.ServiceName
	// Parts of the prompt in their order; the last one is the request's own.
	// Empty for requests without a prompt.
	Parts []PartID
	// Model keeps the prompts of models apart.
	Model string
	// Tried are the targets that had the request before.
	Tried []*Target
}

// Pick is a choice.
type Pick struct {
	Target *Target
	// Fetch is the address of a target that holds more of the prompt, empty if
	// there is none.
	Fetch string
	// Reason says what decided.
	Reason Reason
	// Load and Mean are the requests at the target and at all on average.
	Load int
	Mean float64
}

// Reason is what decided a choice.
type Reason string

// The reasons of choices.
const (
	ByWarmth Reason = "Warm"
	BySpill  Reason = "Spill"
	ByLoad   Reason = "Load"
	// ByNeed is the choice of a target that is ejected or leaving, because
	// there is no other.
	ByNeed Reason = "Need"
)

// chain returns, for each shared part, what requests have in common that share
// the prompt up to it. A prompt of one part is taken to be shared.
func (a *Ask) chain() []uint64 {
	parts := a.Parts
	if len(parts) > 1 {
		parts = parts[:len(parts)-1]
	}
	chain := make([]uint64, 0, len(parts))
	key := hashText(a.Model)
	for _, part := range parts {
		key = mix(key ^ uint64(part))
		chain = append(chain, key)
	}
	return chain
}

// key returns what requests with the same shared parts have in common.
func (a *Ask) key() uint64 {
	if len(a.Parts) == 0 {
		return mix(hashText(a.Model))
	}
	chain := a.chain()
	return chain[len(chain)-1]
}

// Draw returns a number in [0, 1) that is the same for requests that share
// their prompt.
func (a *Ask) Draw() float64 { return float64(mix(a.key())>>11) / (1 << 53) }

// Choose returns a target and counts the request as in flight there until
// Finish. It returns false if no target is left.
func (f *Field) Choose(now time.Time, ask *Ask) (Pick, bool) {
	s := f.service(ask.Service)
	if s == nil {
		return Pick{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.candidates(now, ask)
	if len(candidates) == 0 {
		return s.byNeed(now, ask)
	}
	pick := Pick{Mean: mean(candidates)}
	if len(ask.Parts) > 0 {
		s.byWarmth(now, ask, candidates, f.order, &pick)
	} else {
		pick.Target, pick.Reason = lightest(candidates, f.cfg.Domain, f.order), ByLoad
	}
	pick.Load = pick.Target.load()
	s.take(now, pick.Target)
	return pick, true
}

func (s *service) take(now time.Time, t *Target) {
	if t.own == 0 {
		t.heard = now
	}
	t.own++
	if t.health.unreached > 0 && !now.Before(t.health.until) {
		t.health.trial = true
	}
}

// candidates returns the targets that may get the request. Those that have
// fallen silent are left out, unless so many are that the load explains it.
func (s *service) candidates(now time.Time, ask *Ask) []*Target {
	list := make([]*Target, 0, len(s.targets))
	speaking := make([]*Target, 0, len(s.targets))
	for _, t := range s.targets {
		if t.Leaving || !t.health.usable(now) || contains(ask.Tried, t) {
			continue
		}
		list = append(list, t)
		if !t.silent(now) {
			speaking = append(speaking, t)
		}
	}
	if 2*len(speaking) > len(list) {
		return speaking
	}
	return list
}

// silent reports whether a target has requests and has sent nothing for long.
func (t *Target) silent(now time.Time) bool {
	return t.own > 0 && now.Sub(t.heard) > silentAfter
}

// Quiet reports whether a target has sent nothing to this process for d.
func (f *Field) Quiet(now time.Time, t *Target, d time.Duration) bool {
	t.service.mu.Lock()
	defer t.service.mu.Unlock()
	return now.Sub(t.heard) >= d
}

// Heard notes that a target has sent something.
func (f *Field) Heard(now time.Time, t *Target) {
	t.service.mu.Lock()
	defer t.service.mu.Unlock()
	t.heard = now
}

// byNeed returns the target whose ejection ends first. Better a target that
// may be down than a refusal while nothing else is there.
func (s *service) byNeed(now time.Time, ask *Ask) (Pick, bool) {
	var best *Target
	for _, t := range s.targets {
		if t.Leaving || contains(ask.Tried, t) {
			continue
		}
		if best == nil || t.health.until.Before(best.health.until) {
			best = t
		}
	}
	if best == nil {
		return Pick{}, false
	}
	pick := Pick{Target: best, Reason: ByNeed, Load: best.load()}
	s.take(now, best)
	return pick, true
}

// byWarmth takes the first target in the order of the prompt's key whose load
// is within the bound.
func (s *service) byWarmth(now time.Time, ask *Ask, candidates []*Target, order uint64, pick *Pick) {
	key := ask.key()
	bound := pick.Mean*loadFactor + loadSlack
	home, homeRank := candidates[0], rank(key, candidates[0])
	var best *Target
	var bestRank uint64
	for _, t := range candidates {
		r := rank(key, t)
		if r > homeRank {
			home, homeRank = t, r
		}
		if float64(t.load()) < bound && (best == nil || r > bestRank) {
			best, bestRank = t, r
		}
	}
	pick.Target, pick.Reason = best, ByWarmth
	if best == nil {
		pick.Target = lightest(candidates, "", order)
	}
	if pick.Target != home {
		pick.Reason = BySpill
	}
	chain := ask.chain()
	pick.Fetch = s.source(now, chain, pick.Target)
	for _, key := range chain {
		s.warm.note(now, key, pick.Target)
	}
}

// source returns the address from which a target may fetch the shared parts of
// a prompt that it seems to lack.
func (s *service) source(now time.Time, chain []uint64, to *Target) string {
	key := chain[len(chain)-1]
	if s.warm.holds(now, key, to) {
		return ""
	}
	if from := s.warm.other(now, key, to); from != nil {
		return from.Address
	}
	if from := s.presumed(now, key, to); from != nil {
		return from.Address
	}
	// Prompts of another subject may share the parts before.
	for depth := len(chain) - 2; depth >= 0; depth-- {
		if s.warm.holds(now, chain[depth], to) {
			return ""
		}
		if from := s.warm.other(now, chain[depth], to); from != nil {
			return from.Address
		}
	}
	return ""
}

// presumed returns the target that was to hold a prompt before the one that is
// to hold it now, nil if there is none: one that leaves, is ejected or too
// loaded, or the one that came first before a young one was listed.
func (s *service) presumed(now time.Time, key uint64, to *Target) *Target {
	young := now.Sub(to.since) < youngFor
	var first *Target
	for _, t := range s.targets {
		if t == to || now.Sub(t.since) < youngFor || now.Before(t.health.until) {
			continue
		}
		if (young || above(key, t, to)) && (first == nil || above(key, t, first)) {
			first = t
		}
	}
	return first
}

// above reports whether a target goes before another in the order of a key.
func above(key uint64, a, b *Target) bool { return rank(key, a) > rank(key, b) }

func rank(key uint64, t *Target) uint64 { return mix(key ^ t.hash) }

// lightest returns the target with the least load by its slots. Equal ones are
// taken in an order that differs between processes, which would otherwise all
// send to the same idle target at once.
func lightest(candidates []*Target, domain ident.DomainName, order uint64) *Target {
	var best *Target
	least := math.Inf(1)
	for _, t := range candidates {
		cost := float64(t.load()) / float64(max(1, t.Slots))
		if domain != "" && t.Domain != domain {
			cost += remoteCost / float64(max(1, t.Slots))
		}
		if cost < least || (cost == least && above(order, t, best)) {
			best, least = t, cost
		}
	}
	return best
}

func mean(candidates []*Target) float64 {
	total := 0
	for _, t := range candidates {
		total += t.load()
	}
	return float64(total) / float64(len(candidates))
}

func contains(list []*Target, t *Target) bool {
	for _, other := range list {
		if other == t {
			return true
		}
	}
	return false
}

func (t *Target) load() int { return t.own + t.others }

// Finish ends a request at a target with what it showed of it, and reports
// whether the target is ejected by that.
func (f *Field) Finish(now time.Time, t *Target, verdict Verdict) bool {
	s := t.service
	s.mu.Lock()
	defer s.mu.Unlock()
	t.own--
	others, ejected := 0.0, 1
	for _, other := range s.targets {
		if other == t {
			continue
		}
		others += other.health.share
		if now.Before(other.health.until) {
			ejected++
		}
	}
	return t.health.judge(now, verdict, judgment{
		others: others / float64(max(1, len(s.targets)-1)),
		spare:  ejected*ejectedPart <= len(s.targets),
	})
}

// Usable returns the number of targets that get new requests now.
func (f *Field) Usable(now time.Time) int {
	f.mu.RLock()
	defer f.mu.RUnlock()
	count := 0
	for _, t := range f.byName {
		t.service.mu.Lock()
		if !t.Leaving && t.health.usable(now) {
			count++
		}
		t.service.mu.Unlock()
	}
	return count
}
