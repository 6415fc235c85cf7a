package poison

import (
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// MaxBlocked bounds the fingerprints that a Recent holds.
const MaxBlocked = 4096

// Blocklist holds the requests that were in flight when a sidecar's own target
// crashed. The sidecar refuses them, so that a request crashes one target no
// more than once, also before any verdict has spread. Its zero value is empty.
// It is safe for concurrent use.
type Blocklist struct {
	mu    sync.Mutex
	until map[ident.Fingerprint]time.Time
}

// Block holds fingerprints until a time. When there is no room for all, those
// that end first make way.
func (r *Blocklist) Block(until time.Time, fingerprints []ident.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.until == nil {
		r.until = make(map[ident.Fingerprint]time.Time)
	}
	for _, fingerprint := range fingerprints {
		if until.After(r.until[fingerprint]) {
			r.until[fingerprint] = until
		}
	}
	for len(r.until) > MaxBlocked {
		delete(r.until, r.first())
	}
}

// Blocked reports whether the target must not run a request.
func (r *Blocklist) Blocked(now time.Time, fingerprint ident.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	until, ok := r.until[fingerprint]
	if ok && !now.Before(until) {
		delete(r.until, fingerprint)
		return false
	}
	return ok
}

// Unblock lets a request run again.
func (r *Blocklist) Unblock(fingerprint ident.Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.until, fingerprint)
}

func (r *Blocklist) first() ident.Fingerprint {
	var (
		first   ident.Fingerprint
		soonest time.Time
	)
	for fingerprint, until := range r.until {
		if soonest.IsZero() || until.Before(soonest) {
			first, soonest = fingerprint, until
		}
	}
	return first
}
