package gate

import (
	"context"
	"encoding/binary"
	"errors"
	"maps"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/request/place"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// crashCheckDelay is the time from the first lost response of a target to the
	// probe of the target. One probe serves all responses that are lost meanwhile.
	crashCheckDelay = 50 * time.Millisecond
	// crashSilence is how long a target must have sent nothing to be probed after the
	// caller or the deadline has ended a request.
	crashSilence = 500 * time.Millisecond
	// crashCheckTimeout bounds the probe.
	crashCheckTimeout = time.Second
)

// crashDetector tells crashed targets from those that only lost a response, and
// collects the requests that were running on a target when it crashed. Its zero
// value is ready for use.
type crashDetector struct {
	mu sync.Mutex
	// unchecked holds the requests of each target that has not been probed yet.
	unchecked map[ident.TargetName]*uncheckedRequests
}

// uncheckedRequests are requests that were sent to a target and got no complete
// response, or one that is complete only if the target lives on.
type uncheckedRequests struct {
	address  string
	requests map[ident.Fingerprint]uncheckedRequest
	// endedAt is when the first response ended.
	endedAt time.Time
}

// uncheckedRequest is a request of which nothing is known until its target is probed.
type uncheckedRequest struct {
	// maybeComplete is set for a response that is complete if the target lives on.
	maybeComplete bool
	// parts are the parts of the prompt that may have crashed the target, or that it
	// survived if the response is complete.
	parts []poison.PartInFlight
}

// add records a request whose response was lost or may be complete. It reports whether
// the target has to be probed, which is the case if no probe is pending.
func (d *crashDetector) add(now time.Time, target *place.Target, fingerprint ident.Fingerprint, request uncheckedRequest) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	unchecked := d.unchecked[target.Name]
	pending := unchecked != nil
	if !pending {
		if d.unchecked == nil {
			d.unchecked = make(map[ident.TargetName]*uncheckedRequests)
		}
		unchecked = &uncheckedRequests{address: target.Address, endedAt: now, requests: make(map[ident.Fingerprint]uncheckedRequest)}
		d.unchecked[target.Name] = unchecked
	}
	unchecked.requests[fingerprint] = request
	return !pending
}

// take removes and returns the requests of a target.
func (d *crashDetector) take(target ident.TargetName) *uncheckedRequests {
	d.mu.Lock()
	defer d.mu.Unlock()
	unchecked := d.unchecked[target]
	delete(d.unchecked, target)
	return unchecked
}

// dropMaybeComplete removes the requests whose responses ended with their connections. A
// target that only does not respond may have completed them.
func (u *uncheckedRequests) dropMaybeComplete() {
	maps.DeleteFunc(u.requests, func(_ ident.Fingerprint, request uncheckedRequest) bool { return request.maybeComplete })
}

// sortedFingerprints returns the fingerprints in ascending order.
func (u *uncheckedRequests) sortedFingerprints() []ident.Fingerprint {
	return slices.Sorted(maps.Keys(u.requests))
}

// recordUnchecked records an attempt whose response was lost, or ended with its
// connection, and probes the target unless a probe is pending.
func (c *call) recordUnchecked(now time.Time, target *place.Target, request uncheckedRequest) {
	c.responseLost = c.responseLost || !request.maybeComplete
	if c.gate.crashes.add(now, target, c.fingerprint(), request) {
		go c.gate.checkCrash(target.Name)
	}
}

// checkCrash probes a target whose responses were lost or may be complete. A target
// that accepts no connection is taken for crashed.
func (g *Gate) checkCrash(target ident.TargetName) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	_ = g.cfg.Clock.Sleep(ctx, crashCheckDelay)
	unchecked := g.crashes.take(target)
	err := g.pool.Probe(ctx, unchecked.address)
	if !isUnreachable(err) {
		g.recordLiveTarget(unchecked)
		return
	}
	if !isRefused(err) {
		unchecked.dropMaybeComplete()
	}
	if len(unchecked.requests) == 0 {
		return
	}
	crash := poison.DirectCrash{
		Target: target, At: unchecked.endedAt, InFlight: unchecked.sortedFingerprints(), Parts: unchecked.newestParts(maxReportedParts),
	}
	for i := range crash.Parts {
		crash.Parts[i].Survived = g.survivals.last(crash.Parts[i].Fingerprint)
	}
	g.logTargetCrashed(crash, err)
	g.suspects.recordCrash(g.cfg.Clock.Now(), crash)
	g.reporter.addCrashes(crash)
}

// recordLiveTarget records the responses of a target that lives on as complete, if they
// ended with their connections.
func (g *Gate) recordLiveTarget(unchecked *uncheckedRequests) {
	for fingerprint, request := range unchecked.requests {
		if request.maybeComplete {
			g.recordCompletion(fingerprint)
			g.recordSurvival(unchecked.endedAt, request.parts)
		}
	}
}

// isUnreachable reports whether a connection failed because the peer refused it or did
// not respond.
func isUnreachable(err error) bool {
	var netErr net.Error
	return isRefused(err) || errors.As(err, &netErr) && netErr.Timeout()
}

// isRefused reports whether the peer refused a connection, so that no process listens
// there.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}

// fingerprint returns the hash of the customer, the method, the URI and the body of
// the request. A caller that sends a request again gives it another ID, but its
// fingerprint stays the same.
func (c *call) fingerprint() ident.Fingerprint {
	if c.cachedFingerprint != 0 {
		return c.cachedFingerprint
	}
	hash := xxhash.New()
	for _, text := range []string{string(c.customerName()), c.request.Method, c.request.Host, c.request.RequestURI} {
		// The length keeps different lists of texts apart.
		var length [8]byte
		binary.LittleEndian.PutUint64(length[:], uint64(len(text)))
		_, _ = hash.Write(length[:])
		_, _ = hash.WriteString(text)
	}
	for _, piece := range c.body {
		_, _ = hash.Write(piece)
	}
	c.cachedFingerprint = ident.Fingerprint(hash.Sum64())
	return c.cachedFingerprint
}
