package poison

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"cactusline.dev/cactusline/internal/version/ident"
)

// MaxMarks is the maximum number of fingerprints that MarkWatched keeps in a
// Set.
const MaxMarks = 1 << 10

// VerdictSet holds the active verdicts at a router or sidecar. The zero value is an
// empty set. It is safe for concurrent use; reads take no lock.
type VerdictSet struct {
	mu sync.Mutex
	// localMarks are the fingerprints added by MarkWatched for which control
	// has not sent a verdict yet, oldest first.
	localMarks []ident.Fingerprint
	verdicts   atomic.Pointer[map[ident.Fingerprint]Verdict]
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
	return (*verdicts)[fingerprint]
}

// Replace replaces all verdicts. Fingerprints added by MarkWatched stay until
// a call of Replace or Apply contains a verdict on them.
func (s *VerdictSet) Replace(changes []VerdictChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdicts := make(map[ident.Fingerprint]Verdict, len(changes))
	applyChanges(verdicts, changes)
	s.dropMarks(changes)
	for _, fingerprint := range s.localMarks {
		verdicts[fingerprint] = VerdictWatched
	}
	s.verdicts.Store(&verdicts)
}

// Apply changes the verdicts on some fingerprints and keeps all others.
func (s *VerdictSet) Apply(changes []VerdictChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropMarks(changes)
	s.addVerdicts(changes)
}

// addVerdicts applies changes to a copy of the verdicts and stores the copy.
// The caller holds the lock.
func (s *VerdictSet) addVerdicts(changes []VerdictChange) {
	verdicts := make(map[ident.Fingerprint]Verdict)
	if current := s.verdicts.Load(); current != nil {
		maps.Copy(verdicts, *current)
	}
	applyChanges(verdicts, changes)
	s.verdicts.Store(&verdicts)
}

// dropMarks removes the local marks on the fingerprints in changes. The caller
// holds the lock.
func (s *VerdictSet) dropMarks(changes []VerdictChange) {
	if len(s.localMarks) == 0 {
		return
	}
	named := make(map[ident.Fingerprint]struct{}, len(changes))
	for _, change := range changes {
		named[change.Fingerprint] = struct{}{}
	}
	s.localMarks = slices.DeleteFunc(s.localMarks, func(fingerprint ident.Fingerprint) bool {
		_, ok := named[fingerprint]
		return ok
	})
}

// MarkWatched sets VerdictWatched on a request after a crash that this process
// saw, until control sends a verdict on it. It does nothing if there is a
// verdict already. Beyond MaxMarks the oldest mark is dropped.
func (s *VerdictSet) MarkWatched(fingerprint ident.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Verdict(fingerprint) != VerdictNone {
		return
	}
	changes := []VerdictChange{{Fingerprint: fingerprint, Verdict: VerdictWatched}}
	s.localMarks = append(s.localMarks, fingerprint)
	if len(s.localMarks) > MaxMarks {
		changes = append(changes, VerdictChange{Fingerprint: s.localMarks[0]})
		s.localMarks = slices.Delete(s.localMarks, 0, 1)
	}
	s.addVerdicts(changes)
}

// applyChanges updates verdicts in place; VerdictNone removes the entry.
func applyChanges(verdicts map[ident.Fingerprint]Verdict, changes []VerdictChange) {
	for _, change := range changes {
		if change.Verdict == VerdictNone {
			delete(verdicts, change.Fingerprint)
			continue
		}
		verdicts[change.Fingerprint] = change.Verdict
	}
}
