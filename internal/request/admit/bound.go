package admit

import (
	"math"
	"time"

	"cactusline.dev/cactusline/internal/conn/digest"
)

// Prior of the departure rate: as many departures over as much running time
// are taken as seen before any have been.
const (
	priorDepartures = 2.0
	priorSeconds    = 4.0
	// rateSpan is the time over which old departures lose most weight.
	rateSpan = 10 * time.Second
)

// bound works out how much the target may carry from a digest of some age.
//
// Since the digest was taken, requests may have ended anywhere in the pool
// and lowered the mean. Ends are counted as a Poisson variable with the rate
// per running request that the target sees itself; the mean is lowered by
// its expectation and some standard deviations. Arrivals are not counted.
type bound struct {
	factor float64
	sigmas float64
	news   digest.Digest
	// departures and seconds are decaying sums over the target's own work.
	departures, seconds float64
	touched             time.Time
	// born is when the bound was first asked, if there was no news yet.
	born time.Time
	// unseen is the limit while nothing is known of the mean.
	unseen int
}

// advance accounts for own requests that ran until now.
func (b *bound) advance(now time.Time, own int) {
	if !b.touched.IsZero() && now.After(b.touched) {
		passed := now.Sub(b.touched)
		decay := math.Exp(-float64(passed) / float64(rateSpan))
		b.departures *= decay
		b.seconds = b.seconds*decay + float64(own)*passed.Seconds()
	}
	b.touched = now
}

// rate returns the ends per running request and second.
func (b *bound) rate() float64 {
	return (b.departures + priorDepartures) / (b.seconds + priorSeconds)
}

// share returns the part of the digest's load that is certain enough to be
// running still.
func (b *bound) share(now time.Time) float64 {
	total := float64(b.news.Requests)
	exposed := total - float64(b.news.Backed)
	if exposed <= 0 {
		return 1
	}
	age := max(now.Sub(b.news.At), 0).Seconds()
	ended := poissonBound(exposed*b.rate()*age, b.sigmas)
	return 1 - min(ended, exposed)/total
}

// poissonBound returns a number that a Poisson variable exceeds as rarely as
// a normal variable exceeds sigmas, by Bernstein's inequality.
func poissonBound(mean, sigmas float64) float64 {
	if mean == 0 {
		return 0
	}
	return mean + sigmas*math.Sqrt(mean) + sigmas*sigmas/3
}

// limits returns the requests and tokens that the target may carry,
// with the work that is offered counted in the mean.
func (b *bound) limits(now time.Time, own digest.Load, tokens int64) (requests int, maxTokens int64) {
	if b.blind(now) {
		return max(1, b.unseen), math.MaxInt64
	}
	n := float64(b.news.Targets)
	if n == 0 {
		return 1, math.MaxInt64
	}
	share := b.share(now)
	sum := max(share*float64(b.news.Requests), float64(own.Requests))
	requests = int(math.Ceil(b.factor * (sum + 1) / n))
	sumTokens := max(share*float64(b.news.Tokens), float64(own.Tokens))
	maxTokens = int64(b.factor * (sumTokens + float64(tokens)) / n)
	return max(1, requests), maxTokens
}

// cold returns the requests up to which cold work is admitted, a multiple of
// the mean as it is believed, without allowance for what may have ended.
func (b *bound) cold(own digest.Load, factor float64) int {
	n := float64(b.news.Targets)
	if n == 0 {
		return 1
	}
	sum := max(float64(b.news.Requests), float64(own.Requests))
	return max(1, int(math.Ceil(factor*(sum+1)/n)))
}
