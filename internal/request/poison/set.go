package poison

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// MaxLocalWatched is the maximum number of fingerprints that MarkWatched keeps in
// a VerdictSet.
const MaxLocalWatched = 1 << 10

// VerdictSet holds the active verdicts at a router or sidecar. The zero value is an
// empty set. It is safe for concurrent use; reads take no lock.
type VerdictSet struct {
	mu sync.Mutex
	// localWatched are the fingerprints added by MarkWatched for which control
	// has not sent a verdict yet, oldest first.
	localWatched []ident.Fingerprint
	verdicts     atomic.Pointer[map[ident.Fingerprint]activeVerdict]
}

// activeVerdict is a verdict with its expiry, which is zero if it is not known.
type activeVerdict struct {
	verdict Verdict
	expires time.Time
}

// Quarantined reports whether a request is quarantined.
func (s *VerdictSet) Quarantined(fingerprint ident.Fingerprint) bool {
	return s.Verdict(fingerprint) == VerdictQuarantined
}

// Verdict returns the verdict on a request, VerdictNone if there is none.
func (s *VerdictSet) Verdict(fingerprint ident.Fingerprint) Verdict {
	verdicts := s.verdicts.Load()
	if verdicts == nil {
		return VerdictNone
	}
	return (*verdicts)[fingerprint].verdict
}

// QuarantineEnd returns when the quarantine of a request ends, and false if the
// request is not quarantined at the given time.
func (s *VerdictSet) QuarantineEnd(now time.Time, fingerprint ident.Fingerprint) (time.Time, bool) {
	verdicts := s.verdicts.Load()
	if verdicts == nil {
		return time.Time{}, false
	}
	active := (*verdicts)[fingerprint]
	return active.expires, active.verdict == VerdictQuarantined && now.Before(active.expires)
}

// Empty reports whether there is no verdict on any request.
func (s *VerdictSet) Empty() bool {
	verdicts := s.verdicts.Load()
	return verdicts == nil || len(*verdicts) == 0
}

// Missing returns the fingerprints in the set that a list of verdicts does not name.
func (s *VerdictSet) Missing(verdicts []VerdictChange) []ident.Fingerprint {
	held := s.verdicts.Load()
	if held == nil {
		return nil
	}
	named := make(map[ident.Fingerprint]bool, len(verdicts))
	for _, verdict := range verdicts {
		named[verdict.Fingerprint] = true
	}
	var missing []ident.Fingerprint
	for fingerprint := range *held {
		if !named[fingerprint] {
			missing = append(missing, fingerprint)
		}
	}
	return missing
}

// CountQuarantined returns the number of quarantined requests and parts.
func (s *VerdictSet) CountQuarantined() int {
	count := 0
	if held := s.verdicts.Load(); held != nil {
		for _, active := range *held {
			if active.verdict == VerdictQuarantined {
				count++
			}
		}
	}
	return count
}

// Replace replaces all verdicts. Fingerprints added by MarkWatched stay until
// a call of Replace or Apply contains a verdict on them.
func (s *VerdictSet) Replace(changes []VerdictChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdicts := make(map[ident.Fingerprint]activeVerdict, len(changes))
	applyChanges(verdicts, changes)
	s.dropLocalWatched(changes)
	for _, fingerprint := range s.localWatched {
		verdicts[fingerprint] = activeVerdict{verdict: VerdictWatched}
	}
	s.verdicts.Store(&verdicts)
}

// Apply changes the verdicts on some fingerprints and keeps all others.
func (s *VerdictSet) Apply(changes []VerdictChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropLocalWatched(changes)
	s.applyToCopy(changes)
}

// applyToCopy applies changes to a copy of the verdicts and stores the copy.
// The caller holds the lock.
func (s *VerdictSet) applyToCopy(changes []VerdictChange) {
	verdicts := make(map[ident.Fingerprint]activeVerdict)
	if current := s.verdicts.Load(); current != nil {
		maps.Copy(verdicts, *current)
	}
	applyChanges(verdicts, changes)
	s.verdicts.Store(&verdicts)
}

// dropLocalWatched removes the fingerprints in changes from localWatched. The
// caller holds the lock.
func (s *VerdictSet) dropLocalWatched(changes []VerdictChange) {
	if len(s.localWatched) == 0 {
		return
	}
	named := make(map[ident.Fingerprint]struct{}, len(changes))
	for _, change := range changes {
		named[change.Fingerprint] = struct{}{}
	}
	s.localWatched = slices.DeleteFunc(s.localWatched, func(fingerprint ident.Fingerprint) bool {
		_, ok := named[fingerprint]
		return ok
	})
}

// MarkWatched sets VerdictWatched on a request after a crash that this process
// saw, until control sends a verdict on it. It does nothing if there is a
// verdict already. Beyond MaxLocalWatched the oldest such verdict is dropped.
func (s *VerdictSet) MarkWatched(fingerprint ident.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Verdict(fingerprint) != VerdictNone {
		return
	}
	changes := []VerdictChange{{Fingerprint: fingerprint, Verdict: VerdictWatched}}
	s.localWatched = append(s.localWatched, fingerprint)
	if len(s.localWatched) > MaxLocalWatched {
		changes = append(changes, VerdictChange{Fingerprint: s.localWatched[0]})
		s.localWatched = slices.Delete(s.localWatched, 0, 1)
	}
	s.applyToCopy(changes)
}

// applyChanges updates verdicts in place; VerdictNone removes the entry.
func applyChanges(verdicts map[ident.Fingerprint]activeVerdict, changes []VerdictChange) {
	for _, change := range changes {
		if change.Verdict == VerdictNone {
			delete(verdicts, change.Fingerprint)
			continue
		}
		verdicts[change.Fingerprint] = activeVerdict{verdict: change.Verdict, expires: change.Expires}
	}
}
