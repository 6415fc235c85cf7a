package place

import (
	"cmp"
	"slices"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// RateLimit is the rate that a target accepts from all callers together.
type RateLimit struct {
	// Limited is false for a target that accepts any rate.
	Limited bool
	Rate    ident.Rate
	// NamedAt is when a response of the target said so, or when it became known that the
	// target is cold.
	NamedAt time.Time
	// Until is when the limit of a cold target ends by itself. It is zero for a limit
	// that the target named.
	Until time.Time
}

// RecordRateLimit records what a target says of the rate that it accepts, unless
// something newer is known. It reports whether the limit changed.
func (b *Balancer) RecordRateLimit(t *Target, limit RateLimit) bool {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	if !limit.NamedAt.After(t.rateLimit.NamedAt) {
		return false
	}
	changed := limit.Limited != t.rateLimit.Limited || limit.Rate != t.rateLimit.Rate
	t.rateLimit = limit
	t.rateLimitInvalid = false
	return changed
}

// RecordInvalidRateLimit records that a target names a limit that cannot be used. The
// limit that it named before stays in force. It reports whether the target has not done
// so since its last valid response.
func (b *Balancer) RecordInvalidRateLimit(t *Target) bool {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	first := !t.rateLimitInvalid
	t.rateLimitInvalid = true
	return first
}

// RateLimit returns the rate that a target accepts.
func (b *Balancer) RateLimit(now time.Time, t *Target) RateLimit {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	return t.limit(now)
}

// limit returns the lower of the limit that the target named and that of a cold target.
// The caller holds the lock of the service.
func (t *Target) limit(now time.Time) RateLimit {
	if cold := t.coldLimit(now); cold.Limited && (!t.rateLimit.Limited || cold.Rate < t.rateLimit.Rate) {
		return cold
	}
	return t.rateLimit
}

// LimitedCount returns the number of targets that named a limit.
func (b *Balancer) LimitedCount() int {
	return b.count(func(t *Target) bool { return t.rateLimit.Limited })
}

// count returns the number of listed targets for which a condition holds.
func (b *Balancer) count(holds func(*Target) bool) int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	count := 0
	for _, t := range b.byName {
		t.owner.mu.Lock()
		if holds(t) {
			count++
		}
		t.owner.mu.Unlock()
	}
	return count
}

// targetByName returns a listed target, nil if there is none of that name.
func (b *Balancer) targetByName(name ident.TargetName) *Target {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.byName[name]
}

// ApplyRateLimit is RecordRateLimit or RecordCold for a target that another process has
// heard of. It returns nil if the target is not listed or its limit did not change.
func (b *Balancer) ApplyRateLimit(now time.Time, name ident.TargetName, limit RateLimit) *Target {
	t := b.targetByName(name)
	if t == nil {
		return nil
	}
	if !limit.Until.IsZero() {
		if b.RecordCold(now, t, limit.Until, limit.NamedAt) {
			return t
		}
		return nil
	}
	if b.RecordRateLimit(t, limit) {
		return t
	}
	return nil
}

// NamedLimits returns the limits that targets have named themselves.
func (b *Balancer) NamedLimits() map[ident.TargetName]RateLimit {
	b.mu.RLock()
	defer b.mu.RUnlock()
	limits := make(map[ident.TargetName]RateLimit)
	for _, t := range b.byName {
		t.owner.mu.Lock()
		if t.rateLimit.Limited {
			limits[t.Name] = t.rateLimit
		}
		t.owner.mu.Unlock()
	}
	return limits
}

// PermitPlan says for which targets a request needs a permit, which the leader of control
// grants.
type PermitPlan struct {
	// Candidates are the limited targets that may get the request, the preferred one
	// first. It is empty if none of them is worth a permit or may have one yet.
	Candidates []*Target
	// Required is set if the request can be sent only with a permit.
	Required bool
	// Urgent is set if the request may use the permits that are held in reserve.
	Urgent bool
	// Next is when one of the targets may have a permit, if there are no Candidates.
	Next time.Time
}

// PlanPermit returns the permits that a request needs before Choose is called. A request
// asks for the limited target that it prefers, or for any if there are no others. It asks
// for cold targets only if no other has a free slot.
func (b *Balancer) PlanPermit(now time.Time, req *Request) PermitPlan {
	s := b.service(req.Service)
	if s == nil {
		return PermitPlan{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hasLimited(now, req) {
		return PermitPlan{}
	}
	targets := s.candidates(now, req)
	if len(targets) == 0 {
		targets = s.lastResorts(now, req, b.cfg.LeavingGrace)
	}
	if len(targets) == 0 {
		return PermitPlan{}
	}
	unlimited := s.permitted(now, targets, req, nil)
	plan := PermitPlan{Required: len(unlimited) == 0, Urgent: req.Urgent || s.isReturning(now, req)}
	maxCold := maxColdCandidates
	if !plan.Required {
		maxCold = maxOptionalCandidates
	}
	preferred := s.byPreference(now, req, targets, b.cfg.Domain, b.tieBreakKey)
	for _, t := range s.worthAPermit(now, preferred, unlimited) {
		if until := t.noPermitUntil[urgency(plan.Urgent)]; now.Before(until) {
			if plan.Next.IsZero() || until.Before(plan.Next) {
				plan.Next = until
			}
			continue
		}
		if t.coldLimit(now).Limited {
			if maxCold == 0 {
				continue
			}
			maxCold--
		}
		plan.Candidates = append(plan.Candidates, t)
	}
	return plan
}

// worthAPermit returns the limited targets for which a request asks that prefers the
// targets in the given order and may be sent to the unlimited ones without a permit.
func (s *service) worthAPermit(now time.Time, preferred, unlimited []*Target) []*Target {
	if len(unlimited) == 0 {
		return slices.DeleteFunc(preferred, func(t *Target) bool { return !t.limit(now).Limited })
	}
	if !slices.ContainsFunc(unlimited, (*Target).hasFreeSlot) {
		// Only cold targets are left that can begin with the request at once.
		return slices.DeleteFunc(preferred, func(t *Target) bool { return !t.coldLimit(now).Limited })
	}
	if first := preferred[0]; first.limit(now).Limited && !first.coldLimit(now).Limited {
		return preferred[:1]
	}
	return nil
}

// urgency is the index of a class of requests in noPermitUntil.
func urgency(urgent bool) int {
	if urgent {
		return 1
	}
	return 0
}

// RecordNoPermit records that no permit for the targets is available until a time. What
// is not available for urgent requests is not for the others.
func (b *Balancer) RecordNoPermit(targets []*Target, urgent bool, until time.Time) {
	for _, t := range targets {
		t.owner.mu.Lock()
		t.noPermitUntil[urgency(false)] = until
		if urgent {
			t.noPermitUntil[urgency(true)] = until
		}
		t.owner.mu.Unlock()
	}
}

// isReturning reports whether the prompt, including its last part, was sent lately.
func (s *service) isReturning(now time.Time, req *Request) bool {
	if len(req.Parts) < 2 {
		return false
	}
	return s.chats.anySentRecently(now, req.chatHash())
}

// byPreference returns the targets in the order in which a request prefers them.
func (s *service) byPreference(now time.Time, req *Request, targets []*Target, domain ident.DomainName, tieBreakKey uint64) []*Target {
	ordered := slices.Clone(targets)
	if len(req.Parts) > 0 {
		hash := req.prefixHash()
		slices.SortFunc(ordered, func(a, b *Target) int { return cmp.Compare(rank(hash, b), rank(hash, a)) })
		return ordered
	}
	slices.SortFunc(ordered, func(a, b *Target) int {
		return cmp.Or(cmp.Compare(a.cost(now, domain), b.cost(now, domain)), cmp.Compare(rank(tieBreakKey, b), rank(tieBreakKey, a)))
	})
	return ordered
}

// lastResorts returns the targets that may get a request if there are no candidates.
func (s *service) lastResorts(now time.Time, req *Request, leavingGrace time.Duration) []*Target {
	var targets []*Target
	for _, t := range s.targets {
		if t.mayServe(req) && t.notice.endures(now, leavingGrace) {
			targets = append(targets, t)
		}
	}
	return targets
}

// hasLimited reports whether any target that could get a request limits its rate.
func (s *service) hasLimited(now time.Time, req *Request) bool {
	return slices.ContainsFunc(s.targets, func(t *Target) bool { return t.limit(now).Limited && t.couldServe(req) })
}

// permitted returns the targets that a request may be sent to: only the one for which it
// has a permit, otherwise all that accept any rate. While others name limits, those whose
// slots are taken are left out, since they would get all the rest. While others are only
// cold, they are not: coldness ends within seconds, and a short wait in the queue of a
// warm target is better for the caller than a rejection.
func (s *service) permitted(now time.Time, targets []*Target, req *Request, permit *Target) []*Target {
	if permit != nil && contains(targets, permit) {
		return []*Target{permit}
	}
	if !s.hasLimited(now, req) {
		return targets
	}
	onlyFree := slices.ContainsFunc(s.targets, func(t *Target) bool { return t.rateLimit.Limited && t.couldServe(req) })
	unlimited := make([]*Target, 0, len(targets))
	for _, t := range targets {
		if !t.limit(now).Limited && (!onlyFree || t.hasFreeSlot()) {
			unlimited = append(unlimited, t)
		}
	}
	return unlimited
}

// hasFreeSlot reports whether the target can begin with a request at once, as far as its
// slots are known.
func (t *Target) hasFreeSlot() bool { return t.Slots == 0 || t.load() < t.Slots }
