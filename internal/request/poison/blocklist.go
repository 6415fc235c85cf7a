package poison

import (
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// MaxBlocked is the maximum number of fingerprints in a Blocklist.
const MaxBlocked = 4096

// Blocklist holds the requests that were in flight when a sidecar's own target
// crashed. The sidecar refuses them, so that a request crashes each target at
// most once even before a verdict has reached the sidecar. The zero value is an
// empty list. It is safe for concurrent use.
type Blocklist struct {
	mu           sync.Mutex
	blockedUntil map[ident.Fingerprint]time.Time
}

// Block blocks fingerprints until the given time. It never shortens an existing
// block. Beyond MaxBlocked the entries that expire first are dropped.
func (b *Blocklist) Block(until time.Time, fingerprints []ident.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.blockedUntil == nil {
		b.blockedUntil = make(map[ident.Fingerprint]time.Time)
	}
	for _, fingerprint := range fingerprints {
		if until.After(b.blockedUntil[fingerprint]) {
			b.blockedUntil[fingerprint] = until
		}
	}
	for len(b.blockedUntil) > MaxBlocked {
		delete(b.blockedUntil, b.firstToExpire())
	}
}

// Blocked reports whether the target must not run a request. It removes an
// entry that has expired.
func (b *Blocklist) Blocked(now time.Time, fingerprint ident.Fingerprint) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	until, ok := b.blockedUntil[fingerprint]
	if ok && !now.Before(until) {
		delete(b.blockedUntil, fingerprint)
		return false
	}
	return ok
}

// Unblock removes a request from the list.
func (b *Blocklist) Unblock(fingerprint ident.Fingerprint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.blockedUntil, fingerprint)
}

// firstToExpire returns the fingerprint whose entry expires first.
func (b *Blocklist) firstToExpire() ident.Fingerprint {
	var (
		first   ident.Fingerprint
		soonest time.Time
	)
	for fingerprint, until := range b.blockedUntil {
		if soonest.IsZero() || until.Before(soonest) {
			first, soonest = fingerprint, until
		}
	}
	return first
}
