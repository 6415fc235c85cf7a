package place

import (
	"time"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// maxColdCandidates bounds the cold targets for which one request asks. After a loss of
	// power all targets of a service are cold, and the questions of all requests would be
	// long. What is refused is left out of the next question for a while.
	maxColdCandidates = 16
	// maxOptionalCandidates is the bound for a request that can also be sent without a
	// permit.
	maxOptionalCandidates = 4
)

// Coldness says how the targets of a service warm up.
type Coldness struct {
	// Period is how long a target is cold after its failure domain was evacuated.
	Period time.Duration
	// Rate is the number of requests per second that a cold target can handle. It is 0 if
	// the service has no cold targets.
	Rate ident.Rate
}

// coldState is what is known of a target's coldness. The newest statement holds, whether
// of the list, of a response, of another process or of the end of an evacuation.
type coldState struct {
	// until is zero for a target that was never cold.
	until time.Time
	// knownAt is when that became known.
	knownAt time.Time
}

// updateListedColdness records what the list says. It is a new statement only if it
// differs from the last one of the list, which may be older than what else is known. The
// caller holds the lock of the service.
func (t *Target) updateListedColdness(now, until time.Time) {
	if !roster.SameColdness(now, until, t.ColdUntil) {
		t.ColdUntil = until
		t.cold = coldState{until: until, knownAt: now}
	}
}

// coldLimit returns the limit of a cold target, and one without a limit for a warm target.
// The caller holds the lock of the service.
func (t *Target) coldLimit(now time.Time) RateLimit {
	if rate := t.owner.coldness.Rate; rate > 0 && now.Before(t.cold.until) {
		return RateLimit{Limited: true, Rate: rate, NamedAt: t.cold.knownAt, Until: t.cold.until}
	}
	return RateLimit{}
}

// SetColdness sets how the targets of each service warm up. Services that the map lacks
// have no cold targets.
func (b *Balancer) SetColdness(services map[ident.ServiceName]Coldness) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.coldness = services
	for name, s := range b.services {
		s.mu.Lock()
		s.coldness = services[name]
		s.mu.Unlock()
	}
}

// RecordCold records that a target is cold until a time, or warm if that has passed, as
// was known at a time, unless something newer is known. It reports whether the target is
// cold as a result and was not, or for another time.
func (b *Balancer) RecordCold(now time.Time, t *Target, until, knownAt time.Time) bool {
	t.owner.mu.Lock()
	defer t.owner.mu.Unlock()
	if !knownAt.After(t.cold.knownAt) || roster.SameColdness(now, until, t.cold.until) {
		return false
	}
	t.cold = coldState{until: until, knownAt: knownAt}
	return t.coldLimit(now).Limited
}

// markCold makes a target, whose failure domain is no longer evacuated, cold for the period
// of its service. The caller holds the lock of the service.
func (t *Target) markCold(now time.Time) {
	if until := now.Add(t.owner.coldness.Period); until.After(t.cold.until) {
		t.cold = coldState{until: until, knownAt: now}
	}
}

// ColdCount returns the number of cold targets.
func (b *Balancer) ColdCount(now time.Time) int {
	return b.count(func(t *Target) bool { return t.coldLimit(now).Limited })
}
