package place

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// warmFor is how long a target is taken to hold a prompt that it was sent.
	warmFor = 30 * time.Second
	// maxWarm bounds the prompts that are remembered; the older half goes when
	// it is reached.
	maxWarm = 4096
)

// warmth remembers which targets were sent which prompts. Its zero value may
// be used.
type warmth struct {
	fresh map[uint64][]sent
	old   map[uint64][]sent
}

// sent is one target of a prompt.
type sent struct {
	target *Target
	at     time.Time
}

// note remembers that a target was sent a prompt; the newest is the last.
func (w *warmth) note(now time.Time, key uint64, t *Target) {
	if w.fresh == nil || len(w.fresh) >= maxWarm/2 {
		w.old, w.fresh = w.fresh, make(map[uint64][]sent)
	}
	list := w.get(key)
	kept := make([]sent, 0, len(list)+1)
	for _, s := range list {
		if s.target != t && !s.target.gone && now.Sub(s.at) < warmFor {
			kept = append(kept, s)
		}
	}
	w.fresh[key] = append(kept, sent{target: t, at: now})
}

func (w *warmth) get(key uint64) []sent {
	if list, ok := w.fresh[key]; ok {
		return list
	}
	return w.old[key]
}

// holds reports whether a target was sent the prompt lately.
func (w *warmth) holds(now time.Time, key uint64, t *Target) bool {
	for _, s := range w.get(key) {
		if s.target == t && now.Sub(s.at) < warmFor {
			return true
		}
	}
	return false
}

// other returns the target besides one that was sent the prompt last and can
// still give it, nil if there is none.
func (w *warmth) other(now time.Time, key uint64, than *Target) *Target {
	list := w.get(key)
	for i := len(list) - 1; i >= 0; i-- {
		t := list[i].target
		if t != than && !t.gone && now.Sub(list[i].at) < warmFor && !now.Before(t.health.until) {
			return t
		}
	}
	return nil
}

func hashText(text string) uint64 { return xxhash.Sum64String(text) }

// mix spreads the bits of a number.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
