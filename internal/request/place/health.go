package place

import "time"

const (
	// An unreachable target is ejected for minEjection, which doubles with each
	// consecutive failure up to maxEjection. After that one request probes it.
	minEjection = 400 * time.Millisecond
	maxEjection = 2500 * time.Millisecond
	// failureRateWeight is the weight of one response in a target's failure rate.
	// It is large, since a gate sees only a small part of a target's responses:
	// with failureRateMargin, two failures in a row are enough to eject a target
	// while its peers do not fail.
	failureRateWeight = 0.2
	// failureRateMargin is how far a target's failure rate must exceed the mean of
	// its peers before the target is ejected.
	failureRateMargin = 0.3
	// failureEjection is how long a target that fails more than its peers is
	// ejected.
	failureEjection = 2 * time.Second
	// targetsPerEjection limits ejections for failures: one target is ejected only
	// if no more than one in targetsPerEjection, counting all ejections, then is.
	// If more targets fail, the cause is likely elsewhere.
	targetsPerEjection = 3
	// minResponses is the number of responses before a failure rate counts.
	minResponses = 2
)

// health is the health of a target as seen by this process.
type health struct {
	ejectedUntil time.Time
	// consecutiveUnreachable counts the failures to reach the target since it was
	// last reached.
	consecutiveUnreachable int
	// probing is set while one request probes the target after an ejection.
	probing bool
	// failureRate is the exponentially weighted failure rate of the responses.
	failureRate float64
	responses   int
}

// usable reports whether the target is neither ejected nor being probed.
func (h *health) usable(now time.Time) bool {
	return !now.Before(h.ejectedUntil) && !h.probing
}

// HealthSignal is what a request showed of its target's health.
type HealthSignal int

// The health signals.
const (
	// Inconclusive requests show nothing, such as those that the caller canceled.
	Inconclusive HealthSignal = iota
	// Healthy requests got a good response.
	Healthy
	// Failing requests got a response that reports a failure of the target, or
	// only a part of a response.
	Failing
	// Unreachable requests got no connection, no response, or one that another
	// instance gave at the target's address.
	Unreachable
)

// peerHealth is the health of the other targets of a service.
type peerHealth struct {
	meanFailureRate float64
	// canEject is set if targetsPerEjection allows the ejection of this target.
	canEject bool
}

// record updates the health by a signal and reports whether the target was ejected
// as a result.
func (h *health) record(now time.Time, signal HealthSignal, peers peerHealth) bool {
	h.probing = false
	switch signal {
	case Inconclusive:
		return false
	case Unreachable:
		// The shift is bounded so that it cannot overflow.
		ejection := min(maxEjection, minEjection<<min(h.consecutiveUnreachable, 8))
		h.consecutiveUnreachable++
		h.ejectedUntil = now.Add(ejection)
		return true
	case Healthy, Failing:
		h.consecutiveUnreachable = 0
		h.responses++
		sample := 0.0
		if signal == Failing {
			sample = 1
		}
		h.failureRate += failureRateWeight * (sample - h.failureRate)
		if signal == Failing && peers.canEject && h.responses >= minResponses && h.failureRate > peers.meanFailureRate+failureRateMargin {
			h.ejectedUntil = now.Add(failureEjection)
			// One more failure alone does not exceed the margin again.
			h.failureRate = peers.meanFailureRate + failureRateMargin - failureRateWeight
			return true
		}
	}
	return false
}
