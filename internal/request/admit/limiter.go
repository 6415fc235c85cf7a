package admit

import (
	"math"
	"time"

	"cactusline.dev/cactusline/internal/conn/digest"
)

// Estimate of the completion rate. It starts as if priorCompletions requests had
// completed while requests ran for priorRunSeconds in total.
const (
	priorCompletions = 2.0
	priorRunSeconds  = 4.0
	// rateDecayTime is the time constant with which old observations decay.
	rateDecayTime = 10 * time.Second
)

// limiter computes how much load the target may carry, from a digest of the
// pool's load that may be some time old.
//
// Since the digest was taken, requests may have completed anywhere in the pool
// and lowered the mean. Their number is modeled as a Poisson variable whose rate
// per running request is the one observed at this target; the mean is reduced by
// its expectation plus sigmas standard deviations. Requests that started since
// then are ignored.
type limiter struct {
	admitBound float64
	sigmas     float64
	digest     digest.Digest
	// completions and runSeconds are exponentially decaying sums of this
	// target's completed requests and of the running time of all its requests.
	completions, runSeconds float64
	lastAdvance             time.Time
	// firstUsed is when the limiter was first used without a digest. It stands
	// for the time of the missing digest.
	firstUsed time.Time
	// staleLimit is the request limit while the digest is stale.
	staleLimit int
}

// advance adds the time since the last call, during which own requests ran.
func (l *limiter) advance(now time.Time, own int) {
	if !l.lastAdvance.IsZero() && now.After(l.lastAdvance) {
		elapsed := now.Sub(l.lastAdvance)
		decay := math.Exp(-float64(elapsed) / float64(rateDecayTime))
		l.completions *= decay
		l.runSeconds = l.runSeconds*decay + float64(own)*elapsed.Seconds()
	}
	l.lastAdvance = now
}

// completionRate returns the estimated completions per running request and
// second.
func (l *limiter) completionRate() float64 {
	return (l.completions + priorCompletions) / (l.runSeconds + priorRunSeconds)
}

// remainingShare returns a lower bound on the fraction of the digest's requests
// that are still running, at sigmas standard deviations. Backed requests count
// fully, since queued ones replace them when they complete.
func (l *limiter) remainingShare(now time.Time) float64 {
	total := float64(l.digest.Requests)
	unbacked := total - float64(l.digest.QueueBacked)
	if unbacked <= 0 {
		return 1
	}
	age := max(now.Sub(l.digest.At), 0).Seconds()
	completed := poissonUpperBound(unbacked*l.completionRate()*age, l.sigmas)
	return 1 - min(completed, unbacked)/total
}

// poissonUpperBound returns a value that a Poisson variable with the given mean
// exceeds about as rarely as a normal variable exceeds its mean by sigmas
// standard deviations, by Bernstein's inequality.
func poissonUpperBound(mean, sigmas float64) float64 {
	if mean == 0 {
		return 0
	}
	return mean + sigmas*math.Sqrt(mean) + sigmas*sigmas/3
}

// limits returns the maximum numbers of requests and tokens that the target may
// carry. The offered request and its tokens count in the mean.
func (l *limiter) limits(now time.Time, own digest.Load, offeredTokens int64) (maxRequests int, maxTokens int64) {
	if l.digestStale(now) {
		return max(1, l.staleLimit), math.MaxInt64
	}
	n := float64(l.digest.Targets)
	if n == 0 {
		return 1, math.MaxInt64
	}
	share := l.remainingShare(now)
	sum := max(share*float64(l.digest.Requests), float64(own.Requests))
	maxRequests = int(math.Ceil(l.admitBound * (sum + 1) / n))
	sumTokens := max(share*float64(l.digest.Tokens), float64(own.Tokens))
	maxTokens = int64(l.admitBound * (sumTokens + float64(offeredTokens)) / n)
	return max(1, maxRequests), maxTokens
}

// coldLimit returns the number of requests up to which cold work is admitted:
// factor times the mean of the digest, not reduced for requests that may have
// completed since.
func (l *limiter) coldLimit(own digest.Load, factor float64) int {
	n := float64(l.digest.Targets)
	if n == 0 {
		return 1
	}
	sum := max(float64(l.digest.Requests), float64(own.Requests))
	return max(1, int(math.Ceil(factor*(sum+1)/n)))
}
