package permit

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/conn/roster"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// burstBase and burstPeriod set the burst of a target's bucket: burstBase permits
	// and those of burstPeriod. Requests come at random, and a smaller burst would
	// leave a part of the rate unused.
	burstBase   = 2
	burstPeriod = 500 * time.Millisecond
	// coldShare is the part of the rate of a cold target that is granted, and coldBurst the
	// burst of its bucket. Above its rate it may crash, so the grants of any second stay
	// near it: the rest is for permits that are used later than others. Two leaders that
	// overlap for sendPermitLease less an election grant 1.45 times the rate and two.
	coldShare = 0.85
	coldBurst = 2
	// urgentReserve is the number of permits that are left for urgent requests.
	urgentReserve = 1
	// minProbeRate is the least rate at which a target gets requests, so that it can
	// say that its limit has ended.
	minProbeRate ident.Rate = 0.1
	// rejectionDecay is the time constant of the rate of rejections.
	rejectionDecay = time.Second
	// minRetryAfter and maxRetryAfter bound what a rejected caller is told to wait.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	// limitRetention is how long a target is kept that nobody asks for.
	limitRetention = time.Minute
	// maxLimitedTargets bounds the targets that are kept.
	maxLimitedTargets = 4096
)

// SendLimit is the rate that a target accepts from all processes together.
type SendLimit struct {
	Target ident.TargetName
	// Limited is false if the target accepts any rate.
	Limited bool
	Rate    ident.Rate
	// NamedAt is when the target said so.
	NamedAt time.Time
	// Until is when the limit of a cold target ends. It is zero for a limit that the target
	// named, which holds until the target says otherwise.
	Until time.Time
}

// bucketLimit returns the limit of the bucket that enforces the limit.
func (s *SendLimit) bucketLimit() Limit {
	rate := float64(max(s.Rate, minProbeRate))
	if !s.Until.IsZero() {
		return Limit{Rate: coldShare * rate, Burst: coldBurst}
	}
	return Limit{Rate: rate, Burst: burstBase + uint32(math.Ceil(rate*burstPeriod.Seconds()))}
}

// SendRequest asks for the permit to send one request.
type SendRequest struct {
	// Candidates are the targets that may get the request, the preferred one first.
	Candidates []ident.TargetName
	// Urgent requests may use the reserve.
	Urgent bool
	// Last is set if the request is rejected without a permit.
	Last bool
	// Rejected is the number of requests that were rejected without being asked for
	// since the last one.
	Rejected int
}

// SendGrant is the answer to a SendRequest.
type SendGrant struct {
	// Target is the target that may get the request, empty if there is none.
	Target ident.TargetName
	// Next is the time until one of the candidates may have a permit.
	Next time.Duration
	// RetryAfter is when a caller whose request is rejected should come back.
	RetryAfter time.Duration
}

// SendUse is the use of a target's limit.
type SendUse struct {
	Target ident.TargetName
	Rate   ident.Rate
	// Cold is set if the limit ends by itself, when the target is no longer cold.
	Cold bool
	// Granted and Refused count the permits since the leader's term began, or since
	// the target named its limit.
	Granted uint64
	Refused uint64
}

// SendLimiter grants the permits for requests to targets that limit their rates. The
// leader of a term grants those of all targets. Each target has a token bucket; those
// of a new term start empty, so that the limits hold regardless of what the previous
// leader granted. It is safe for concurrent use.
type SendLimiter struct {
	mu   sync.Mutex
	term uint64
	// step counts the changes of limits.
	step    uint64
	targets map[ident.TargetName]*limitedTarget
}

type limitedTarget struct {
	// named is the limit that the target named, and cold the one while it is cold.
	named SendLimit
	cold  SendLimit
	// inForce is the lower of them, which the bucket enforces.
	inForce SendLimit
	step    uint64
	bucket  *Bucket
	usedAt  time.Time
	// rejections is the rate of rejected requests, per rejectionDecay.
	rejections float64
	decayedAt  time.Time
	granted    uint64
	refused    uint64
}

// NewSendLimiter returns a limiter that knows no limits.
func NewSendLimiter() *SendLimiter {
	return &SendLimiter{targets: make(map[ident.TargetName]*limitedTarget)}
}

// Observe records limits that targets have named, except those older than what is known.
func (l *SendLimiter) Observe(now time.Time, term uint64, limits []SendLimit) {
	l.observeAll(now, term, limits, true)
}

// ObserveAsked records the limits of the targets that a question names. Those of cold
// targets are not passed on: the processes know them from the list, and a question that a
// frozen process has read late would make them cold for longer.
func (l *SendLimiter) ObserveAsked(now time.Time, term uint64, limits []SendLimit) {
	l.observeAll(now, term, limits, false)
}

func (l *SendLimiter) observeAll(now time.Time, term uint64, limits []SendLimit, passOnCold bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterTerm(term)
	for _, limit := range limits {
		l.observe(now, limit, passOnCold || limit.Until.IsZero())
	}
}

// enterTerm forgets the buckets and limits of an earlier term. The caller holds the lock.
func (l *SendLimiter) enterTerm(term uint64) {
	if term != l.term {
		l.term = term
		clear(l.targets)
	}
}

func (l *SendLimiter) observe(now time.Time, limit SendLimit, passOn bool) {
	t := l.targets[limit.Target]
	if t == nil {
		if len(l.targets) >= maxLimitedTargets {
			l.dropUnused(now)
		}
		if len(l.targets) >= maxLimitedTargets {
			return
		}
		t = &limitedTarget{decayedAt: now}
		l.targets[limit.Target] = t
	}
	t.usedAt = now
	known := &t.named
	if !limit.Until.IsZero() {
		known = &t.cold
	}
	if !limit.NamedAt.After(known.NamedAt) {
		return
	}
	changed := known.NamedAt.IsZero() || limit.Limited != known.Limited || limit.Rate != known.Rate || !roster.SameColdness(now, limit.Until, known.Until)
	*known = limit
	t.enforce(now)
	if changed && passOn {
		l.step++
		t.step = l.step
	}
}

// enforce puts the lower of the limits that hold now in force. The bucket keeps its tokens
// unless the target had no limit before.
func (t *limitedTarget) enforce(now time.Time) {
	limit := t.named
	if t.cold.Limited && now.Before(t.cold.Until) && (!limit.Limited || t.cold.Rate < limit.Rate) {
		limit = t.cold
	}
	switch {
	case t.bucket == nil || (limit.Limited && !t.inForce.Limited):
		t.bucket = NewBucket(now, limit.bucketLimit())
		t.granted, t.refused = 0, 0
	case limit.bucketLimit() != t.bucket.limit:
		t.bucket.SetLimit(now, limit.bucketLimit())
	}
	t.inForce = limit
}

// dropUnused forgets the targets that nobody has asked for lately.
func (l *SendLimiter) dropUnused(now time.Time) {
	for name, t := range l.targets {
		if now.Sub(t.usedAt) > limitRetention {
			delete(l.targets, name)
		}
	}
}

// Take grants a permit for the first candidate that has one. A candidate without a limit
// always has one.
func (l *SendLimiter) Take(now time.Time, term uint64, request SendRequest) SendGrant {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.enterTerm(term)
	reserve := uint32(urgentReserve)
	if request.Urgent {
		reserve = 0
	}
	grant := SendGrant{Next: maxRetryAfter}
	for _, name := range request.Candidates {
		t := l.targets[name]
		if t != nil {
			t.enforce(now)
		}
		if t == nil || !t.inForce.Limited {
			return SendGrant{Target: name}
		}
		t.usedAt = now
		granted, wait := t.bucket.TakeAbove(now, 1, reserve)
		if granted {
			t.granted++
			return SendGrant{Target: name}
		}
		t.refused++
		grant.Next = min(grant.Next, wait)
	}
	grant.RetryAfter = l.recordRejections(now, request)
	return grant
}

// recordRejections counts the rejections at all candidates, and returns the time in which
// their rates serve as many requests as were rejected lately.
func (l *SendLimiter) recordRejections(now time.Time, request SendRequest) time.Duration {
	rejected := float64(request.Rejected)
	if request.Last {
		rejected++
	}
	var rate, most float64
	for _, name := range request.Candidates {
		t := l.targets[name]
		t.rejections = t.rejections*math.Exp(-now.Sub(t.decayedAt).Seconds()/rejectionDecay.Seconds()) + rejected
		t.decayedAt = now
		rate += t.bucket.limit.Rate
		most = max(most, t.rejections)
	}
	if rate == 0 {
		return maxRetryAfter
	}
	wait := time.Duration((most + 1) / rate * float64(time.Second))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// ChangedSince returns the limits that changed after a step, and the current step.
func (l *SendLimiter) ChangedSince(step uint64) ([]SendLimit, uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if step == l.step {
		return nil, step
	}
	var changed []SendLimit
	for _, t := range l.targets {
		if t.step <= step {
			continue
		}
		for _, limit := range []SendLimit{t.named, t.cold} {
			if !limit.NamedAt.IsZero() {
				changed = append(changed, limit)
			}
		}
	}
	return changed, l.step
}

// Uses returns the use of all limits in force, sorted by target.
func (l *SendLimiter) Uses(now time.Time) []SendUse {
	l.mu.Lock()
	defer l.mu.Unlock()
	var uses []SendUse
	for name, t := range l.targets {
		if t.enforce(now); t.inForce.Limited {
			uses = append(uses, SendUse{Target: name, Rate: t.inForce.Rate, Cold: !t.inForce.Until.IsZero(), Granted: t.granted, Refused: t.refused})
		}
	}
	slices.SortFunc(uses, func(a, b SendUse) int { return cmp.Compare(a.Target, b.Target) })
	return uses
}
