package place

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// retention is how long a target is assumed to cache a prompt that it was sent.
	retention = 30 * time.Second
	// maxPrefixes bounds the number of recorded prefixes. When it is reached, the
	// older half is dropped.
	maxPrefixes = 4096
)

// prefixHistory records which targets were sent which prompt prefixes, by their
// hashes. It keeps two generations, each of up to maxPrefixes/2 prefixes. The zero
// value is ready for use.
type prefixHistory struct {
	current  map[uint64][]holder
	previous map[uint64][]holder
}

// holder is a target that was sent a prompt prefix.
type holder struct {
	target *Target
	sentAt time.Time
}

// record notes that a target was sent a prefix. The most recent holder is the last.
func (h *prefixHistory) record(now time.Time, prefixHash uint64, t *Target) {
	if h.current == nil || len(h.current) >= maxPrefixes/2 {
		h.previous, h.current = h.current, make(map[uint64][]holder)
	}
	holders := h.lookup(prefixHash)
	kept := make([]holder, 0, len(holders)+1)
	for _, entry := range holders {
		if entry.target != t && !entry.target.removed && now.Sub(entry.sentAt) < retention {
			kept = append(kept, entry)
		}
	}
	h.current[prefixHash] = append(kept, holder{target: t, sentAt: now})
}

func (h *prefixHistory) lookup(prefixHash uint64) []holder {
	if holders, ok := h.current[prefixHash]; ok {
		return holders
	}
	return h.previous[prefixHash]
}

// sentRecently reports whether a target was sent the prefix within retention.
func (h *prefixHistory) sentRecently(now time.Time, prefixHash uint64, t *Target) bool {
	for _, entry := range h.lookup(prefixHash) {
		if entry.target == t && now.Sub(entry.sentAt) < retention {
			return true
		}
	}
	return false
}

// anySentRecently reports whether any target was sent the prefix within retention.
func (h *prefixHistory) anySentRecently(now time.Time, prefixHash uint64) bool {
	holders := h.lookup(prefixHash)
	return len(holders) > 0 && now.Sub(holders[len(holders)-1].sentAt) < retention
}

// otherHolder returns the target that was sent the prefix most recently and can
// still serve it, nil if there is none. It never returns chosen, nor a target of another
// software version, whose cache may not fit, or outside the home regions of the request.
func (h *prefixHistory) otherHolder(now time.Time, req *Request, prefixHash uint64, chosen *Target) *Target {
	holders := h.lookup(prefixHash)
	for i := len(holders) - 1; i >= 0; i-- {
		t := holders[i].target
		if t != chosen && t.isHome(req) && t.Version == chosen.Version && !t.removed && now.Sub(holders[i].sentAt) < retention && t.mayBeFetchedFrom(now) {
			return t
		}
	}
	return nil
}

func hashString(text string) uint64 { return xxhash.Sum64String(text) }

// mixBits is the output function of the splitmix64 generator.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
