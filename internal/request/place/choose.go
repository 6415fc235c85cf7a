package place

import (
	"cmp"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// A target is chosen for its prompt cache only while its load is below
	// maxLoadFactor times the mean plus loadSlack. The slack keeps affinity at
	// low loads, where a few requests more even out by themselves.
	maxLoadFactor = 1.25
	loadSlack     = 4
	// newTargetPeriod is how long after its listing a target is assumed not to
	// have cached the prompts that rank it first.
	newTargetPeriod = 20 * time.Second
	// silenceLimit is how long a target with requests in flight may send nothing
	// before it counts as silent. A first event takes less than the latency
	// objective of streams, and later events follow within tens of milliseconds.
	silenceLimit = time.Second
	// remoteDomainCost is the load, in requests, that is added to a target in
	// another failure domain for requests without a prompt. The round trip there
	// costs about a third of the work of a short request.
	remoteDomainCost = 0.35
)

// Request describes a request that needs a target.
type Request struct {
	Service ident.ServiceName
	// Parts are the parts of the prompt in order. The last one is taken to be
	// unique to the request. Empty for requests without a prompt.
	Parts []ident.PartID
	// Model is hashed into the prefix, since models do not share cached prompts.
	Model string
	// Tokens are the sizes of the request.
	Tokens Tokens
	// Tried holds the targets of earlier attempts, which are not chosen again.
	Tried []*Target
	// Pinned is set for a stream that has begun. It goes on only at targets whose
	// software has Version.
	Pinned  bool
	Version ident.SoftwareVersion
	// HasRegions is set for a request that may run only in Regions. It reaches no target
	// elsewhere.
	HasRegions bool
	Regions    []ident.RegionName
	// Urgent requests may use permits that are held in reserve.
	Urgent bool
	// Permit is the target for which control has granted a permit, nil if there is none.
	// Other targets that limit their rates are not chosen.
	Permit *Target
}

// Choice is the target chosen for a request.
type Choice struct {
	Target *Target
	// FetchFrom is the address of another target that is likely to have cached
	// more of the prompt, empty if there is none.
	FetchFrom string
	Reason    Reason
	// Load is the number of requests in flight at the target, and MeanLoad the
	// mean over all candidates, both without this request. In MeanLoad, those at
	// lastingly slow targets count for more. It is 0 for ReasonLastResort.
	Load     int
	MeanLoad float64
	// Slowness is how long work is expected to take at the target, as a multiple of the
	// usual time; 0 for ReasonLastResort.
	Slowness float64
	// Full is set if no target can hold the request beside those in flight.
	Full bool
	// held is what ReleaseTokens releases.
	held tokenHold
	// RateLimit is the rate that the target accepts, as far as it is known.
	RateLimit RateLimit
}

// Reason says why a target was chosen.
type Reason string

// The reasons for a choice, as they are logged.
const (
	// ReasonAffinity is the choice of the target that ranks first for the prompt.
	ReasonAffinity Reason = "Warm"
	// ReasonSpill is the choice of another target because the first is overloaded.
	ReasonSpill Reason = "Spill"
	// ReasonLoad is the choice of the least loaded target for a request without a
	// prompt.
	ReasonLoad Reason = "Load"
	// ReasonLastResort is the choice of a target that is ejected or being probed,
	// because no other is left.
	ReasonLastResort Reason = "Need"
)

// prefixHashes returns a hash of each shared prefix of the prompt, the shortest
// first. The last part is not shared, unless it is the only one.
func (r *Request) prefixHashes() []uint64 {
	shared := r.Parts
	if len(shared) > 1 {
		shared = shared[:len(shared)-1]
	}
	hashes := make([]uint64, 0, len(shared))
	hash := hashString(r.Model)
	for _, part := range shared {
		hash = mixBits(hash ^ uint64(part))
		hashes = append(hashes, hash)
	}
	return hashes
}

// prefixHash returns the hash of the longest shared prefix, or of the model alone
// for a request without a prompt.
func (r *Request) prefixHash() uint64 {
	if len(r.Parts) == 0 {
		return mixBits(hashString(r.Model))
	}
	hashes := r.prefixHashes()
	return hashes[len(hashes)-1]
}

// chatHash returns the hash of the whole prompt.
func (r *Request) chatHash() uint64 {
	return mixBits(r.prefixHash() ^ uint64(r.Parts[len(r.Parts)-1]))
}

// PrefixFraction hashes the shared prefix of the prompt, and the model, to a number
// in [0, 1). The numbers are uniformly distributed and serve to split traffic.
func (r *Request) PrefixFraction() float64 { return float64(mixBits(r.prefixHash())>>11) / (1 << 53) }

// Choose returns a target for the request and counts the request as in flight
// there until Finish is called, and its tokens until ReleaseTokens is. It returns false if no target is left to try.
func (b *Balancer) Choose(now time.Time, req *Request) (Choice, bool) {
	s := b.service(req.Service)
	if s == nil {
		return Choice{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.candidates(now, req)
	if len(candidates) == 0 {
		return s.chooseLastResort(now, req, b.cfg.LeavingGrace)
	}
	allowed := s.permitted(now, candidates, req, req.Permit)
	if len(allowed) == 0 {
		return Choice{}, false
	}
	choice := Choice{MeanLoad: meanLoad(now, allowed)}
	allowed, choice.Full = withRoom(allowed, req)
	if len(req.Parts) > 0 {
		s.chooseByAffinity(now, req, candidates, allowed, b.tieBreakKey, &choice)
	} else {
		pair := s.drawPair(allowed, b.tieBreakKey)
		choice.Target, choice.Reason = leastLoaded(now, pair, b.cfg.Domain, b.tieBreakKey), ReasonLoad
	}
	choice.Load = choice.Target.load()
	choice.RateLimit = choice.Target.limit(now)
	choice.Slowness = choice.Target.speed.factor(now)
	choice.held = s.startRequest(now, choice.Target, req)
	return choice, true
}

// startRequest counts a request and its tokens as in flight at a target. The first request after
// an ejection for unreachability becomes the probe: until it ends, the target is
// not usable.
func (s *service) startRequest(now time.Time, t *Target, req *Request) tokenHold {
	if t.inFlight == 0 {
		t.lastActivity = now
	}
	t.inFlight++
	if t.health.consecutiveUnreachable > 0 && !now.Before(t.health.ejectedUntil) {
		t.health.probing = true
	}
	return t.tokens.hold(req)
}

// candidates returns the targets that may get the request. Silent targets are left
// out. If half or more are silent, the likely cause is load, and none is left out.
func (s *service) candidates(now time.Time, req *Request) []*Target {
	available := make([]*Target, 0, len(s.targets))
	for _, t := range s.targets {
		if t.mayServe(req) && t.notice.wantsRequests(now) && t.health.usable(now) {
			available = append(available, t)
		}
	}
	available = withoutSilent(now, available)
	responsive := make([]*Target, 0, len(available))
	for _, t := range available {
		if !t.silent(now) {
			responsive = append(responsive, t)
		}
	}
	if 2*len(responsive) > len(available) {
		return responsive
	}
	return available
}

// silent reports whether the target has requests in flight and has sent nothing
// for longer than silenceLimit.
func (t *Target) silent(now time.Time) bool {
	return t.inFlight > 0 && now.Sub(t.lastActivity) > silenceLimit
}

// SilentFor reports whether a target has sent nothing to this process for at least
// d. The time starts anew when the target gets a request while it has none.
func (b *Balancer) SilentFor(now time.Time, t *Target, d time.Duration) bool {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	return now.Sub(t.lastActivity) >= d
}

// RecordActivity records that a target has sent something.
func (b *Balancer) RecordActivity(now time.Time, t *Target) {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	t.lastActivity, t.lastAnswer = now, now
}

// chooseLastResort returns the target whose ejection ends first. A target that may
// be down is better than a certain rejection.
func (s *service) chooseLastResort(now time.Time, req *Request, leavingGrace time.Duration) (Choice, bool) {
	var best *Target
	for _, t := range s.permitted(now, s.lastResorts(now, req, leavingGrace), req, req.Permit) {
		if best == nil || t.health.ejectedUntil.Before(best.health.ejectedUntil) {
			best = t
		}
	}
	if best == nil {
		return Choice{}, false
	}
	choice := Choice{Target: best, Reason: ReasonLastResort, Load: best.load(), RateLimit: best.limit(now)}
	choice.held = s.startRequest(now, best, req)
	return choice, true
}

// chooseByAffinity chooses the highest ranked of the allowed targets for the prompt's
// prefix whose load is below the bound: rendezvous hashing with bounded loads.
func (s *service) chooseByAffinity(now time.Time, req *Request, candidates, allowed []*Target, tieBreakKey uint64, choice *Choice) {
	hash := req.prefixHash()
	maxLoad := min(choice.MeanLoad*maxLoadFactor+loadSlack, s.evacuationBound())
	preferred := highestRanked(hash, candidates)
	var best *Target
	for _, t := range allowed {
		if t.boundedLoad(now) < maxLoad && (best == nil || ranksAbove(hash, t, best)) {
			best = t
		}
	}
	choice.Target, choice.Reason = best, ReasonAffinity
	if best == nil {
		choice.Target = leastLoaded(now, allowed, "", tieBreakKey)
	}
	if choice.Target != preferred {
		choice.Reason = ReasonSpill
	}
	hashes := req.prefixHashes()
	choice.FetchFrom = s.fetchSource(now, req, hashes, choice.Target)
	for _, hash := range hashes {
		s.history.record(now, hash, choice.Target)
	}
	if len(req.Parts) > 1 {
		s.chats.record(now, req.chatHash(), choice.Target)
	}
}

// highestRanked returns the target that ranks highest for a key.
func highestRanked(key uint64, targets []*Target) *Target {
	return slices.MaxFunc(targets, func(a, b *Target) int { return cmp.Compare(rank(key, a), rank(key, b)) })
}

// fetchSource returns the address from which the chosen target may fetch the cached
// prefix of a prompt. It is empty if the chosen target was sent the prefix recently
// or no other target is likely to have it.
func (s *service) fetchSource(now time.Time, req *Request, hashes []uint64, chosen *Target) string {
	hash := hashes[len(hashes)-1]
	if s.history.sentRecently(now, hash, chosen) {
		return ""
	}
	if from := s.history.otherHolder(now, req, hash, chosen); from != nil {
		return from.Address
	}
	if from := s.likelyHolder(now, req, hash, chosen); from != nil {
		return from.Address
	}
	// Other prompts may share a shorter prefix.
	for depth := len(hashes) - 2; depth >= 0; depth-- {
		if s.history.sentRecently(now, hashes[depth], chosen) {
			return ""
		}
		if from := s.history.otherHolder(now, req, hashes[depth], chosen); from != nil {
			return from.Address
		}
	}
	return ""
}

// likelyHolder returns the target that is likely to have cached a prefix before the
// chosen target was picked for it, nil if there is none. Targets that rank above
// the chosen one were passed over, for instance because they are leaving or
// overloaded, and the highest ranked of them is likely to have the prefix. If the
// chosen target is new, it is the highest ranked of all older targets. Ejected and
// new targets are skipped, and those outside the home regions of the request.
func (s *service) likelyHolder(now time.Time, req *Request, hash uint64, chosen *Target) *Target {
	isNew := now.Sub(chosen.listedAt) < newTargetPeriod
	var best *Target
	for _, t := range s.targets {
		if t == chosen || !t.isHome(req) || now.Sub(t.listedAt) < newTargetPeriod || !t.mayBeFetchedFrom(now) {
			continue
		}
		if t.Version == chosen.Version && (isNew || ranksAbove(hash, t, chosen)) && (best == nil || ranksAbove(hash, t, best)) {
			best = t
		}
	}
	return best
}

// mayBeFetchedFrom reports whether other targets may fetch what this one has cached. One
// that leaves may well be.
func (t *Target) mayBeFetchedFrom(now time.Time) bool {
	return !t.evacuated && !now.Before(t.health.ejectedUntil) && !now.Before(t.notice.pausedUntil)
}

// ranksAbove reports whether a ranks above b for a key.
func ranksAbove(key uint64, a, b *Target) bool { return rank(key, a) > rank(key, b) }

// rank returns the rendezvous hash of a key and a target.
func rank(key uint64, t *Target) uint64 { return mixBits(key ^ t.nameHash) }

func contains(list []*Target, t *Target) bool {
	for _, other := range list {
		if other == t {
			return true
		}
	}
	return false
}

func (t *Target) load() int { return t.inFlight + t.remoteInFlight }

// Finish ends a request at a target with what it showed of the target's health. It
// reports whether the target was ejected as a result.
func (b *Balancer) Finish(now time.Time, t *Target, signal HealthSignal) bool {
	s := t.owner
	s.mu.Lock()
	defer s.mu.Unlock()
	t.inFlight--
	// The count of ejected targets includes t, as if it were ejected now.
	failureRateSum, ejected := 0.0, 1
	for _, other := range s.targets {
		if other == t {
			continue
		}
		failureRateSum += other.health.failureRate
		if now.Before(other.health.ejectedUntil) {
			ejected++
		}
	}
	return t.health.record(now, signal, peerHealth{
		meanFailureRate: failureRateSum / float64(max(1, len(s.targets)-1)),
		canEject:        ejected*targetsPerEjection <= len(s.targets),
	})
}

// isOpen reports whether a target is neither leaving, evacuated, paused, ejected nor being
// probed.
func (t *Target) isOpen(now time.Time) bool {
	return !t.Leaving && !t.evacuated && t.notice.wantsRequests(now) && t.health.usable(now)
}

// HasUsable reports whether a service has a target that is neither leaving, paused,
// ejected nor being probed.
func (b *Balancer) HasUsable(now time.Time, name ident.ServiceName) bool {
	s := b.service(name)
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.targets, func(t *Target) bool { return t.isOpen(now) })
}

// UsableCount returns the number of targets that are neither leaving, paused, ejected nor
// being probed.
func (b *Balancer) UsableCount(now time.Time) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	count := 0
	for _, t := range b.byName {
		t.owner.mu.Lock()
		if t.isOpen(now) {
			count++
		}
		t.owner.mu.Unlock()
	}
	return count
}
