package poison

import (
	"maps"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// TrialInterval is the time from the start of a trial at a gate to that of the next
// trial of the same request there. A crash in a trial reaches control meanwhile.
const TrialInterval = 10 * time.Second

// Trials limits the runs of requests whose quarantine has ended, so that a poison
// request crashes no more targets until its new quarantine reaches the gate. The zero
// value has no trials. It is safe for concurrent use.
type Trials struct {
	mu    sync.Mutex
	begun map[ident.Fingerprint]time.Time
}

// Begin begins a trial of a request. If another one began less than TrialInterval
// ago, it returns false and when the next trial may begin.
func (t *Trials) Begin(now time.Time, fingerprint ident.Fingerprint) (next time.Time, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if begun, found := t.begun[fingerprint]; found && now.Sub(begun) < TrialInterval {
		return begun.Add(TrialInterval), false
	}
	maps.DeleteFunc(t.begun, func(_ ident.Fingerprint, begun time.Time) bool { return now.Sub(begun) >= TrialInterval })
	if t.begun == nil {
		t.begun = make(map[ident.Fingerprint]time.Time)
	}
	t.begun[fingerprint] = now
	return time.Time{}, true
}
