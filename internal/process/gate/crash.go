package gate

import (
	"context"
	"encoding/binary"
	"errors"
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
	// unchecked holds the lost requests of each target that has not been probed yet.
	unchecked map[ident.TargetName]*lostRequests
}

// lostRequests are requests that were sent to a target and got no complete response.
type lostRequests struct {
	address      string
	fingerprints map[ident.Fingerprint]struct{}
	// lostAt is when the first response was lost.
	lostAt time.Time
}

// add records a request whose response was lost. It reports whether the target has
// to be probed, which is the case if no probe is pending.
func (d *crashDetector) add(now time.Time, target *place.Target, fingerprint ident.Fingerprint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	lost := d.unchecked[target.Name]
	pending := lost != nil
	if !pending {
		if d.unchecked == nil {
			d.unchecked = make(map[ident.TargetName]*lostRequests)
		}
		lost = &lostRequests{address: target.Address, lostAt: now, fingerprints: make(map[ident.Fingerprint]struct{})}
		d.unchecked[target.Name] = lost
	}
	lost.fingerprints[fingerprint] = struct{}{}
	return !pending
}

// take removes and returns the lost requests of a target.
func (d *crashDetector) take(target ident.TargetName) *lostRequests {
	d.mu.Lock()
	defer d.mu.Unlock()
	lost := d.unchecked[target]
	delete(d.unchecked, target)
	return lost
}

// sortedFingerprints returns the fingerprints in ascending order.
func (l *lostRequests) sortedFingerprints() []ident.Fingerprint {
	fingerprints := make([]ident.Fingerprint, 0, len(l.fingerprints))
	for fingerprint := range l.fingerprints {
		fingerprints = append(fingerprints, fingerprint)
	}
	slices.Sort(fingerprints)
	return fingerprints
}

// recordLost records an attempt that ended without a complete response, and probes
// the target unless a probe is pending.
func (c *call) recordLost(now time.Time, target *place.Target) {
	c.responseLost = true
	if c.gate.crashes.add(now, target, c.fingerprint()) {
		go c.gate.checkCrash(target.Name)
	}
}

// checkCrash probes a target that lost responses. A target that accepts no connection
// is taken for crashed.
func (g *Gate) checkCrash(target ident.TargetName) {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	_ = g.cfg.Clock.Sleep(ctx, crashCheckDelay)
	lost := g.crashes.take(target)
	err := g.pool.Probe(ctx, lost.address)
	if !isUnreachable(err) {
		return
	}
	crash := poison.DirectCrash{Target: target, At: lost.lostAt, InFlight: lost.sortedFingerprints()}
	g.logTargetCrashed(crash, err)
	g.suspects.recordCrash(g.cfg.Clock.Now(), crash)
	g.reporter.addCrashes(crash)
}

// isUnreachable reports whether a connection failed because the peer refused it or did
// not respond.
func isUnreachable(err error) bool {
	var netErr net.Error
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET) || errors.As(err, &netErr) && netErr.Timeout()
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
	_, _ = hash.Write(c.body)
	c.cachedFingerprint = ident.Fingerprint(hash.Sum64())
	return c.cachedFingerprint
}
