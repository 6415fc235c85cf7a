package poison

import (
	"maps"
	"sync"
	"sync/atomic"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Set holds the verdicts in force at a router or sidecar. Its zero value is
// empty and ready for use. It is safe for concurrent use; readers take no
// lock.
type Set struct {
	mu       sync.Mutex
	verdicts atomic.Pointer[map[ident.Fingerprint]Verdict]
}

// Blocked reports whether a request is under quarantine.
func (s *Set) Blocked(fingerprint ident.Fingerprint) bool {
	return s.Verdict(fingerprint) == VerdictQuarantined
}

// Verdict returns what is held of a request.
func (s *Set) Verdict(fingerprint ident.Fingerprint) Verdict {
	verdicts := s.verdicts.Load()
	if verdicts == nil {
		return VerdictNone
	}
	return (*verdicts)[fingerprint]
}

// Replace puts a whole set in the place of what was held.
func (s *Set) Replace(changes []Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdicts := make(map[ident.Fingerprint]Verdict, len(changes))
	apply(verdicts, changes)
	s.verdicts.Store(&verdicts)
}

// Apply changes some of what is held.
func (s *Set) Apply(changes []Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdicts := make(map[ident.Fingerprint]Verdict)
	if held := s.verdicts.Load(); held != nil {
		maps.Copy(verdicts, *held)
	}
	apply(verdicts, changes)
	s.verdicts.Store(&verdicts)
}

// Watch notes a crash that this process saw, until control says more.
func (s *Set) Watch(fingerprint ident.Fingerprint) {
	if s.Verdict(fingerprint) == VerdictNone {
		s.Apply([]Change{{Fingerprint: fingerprint, Verdict: VerdictWatched}})
	}
}

func apply(verdicts map[ident.Fingerprint]Verdict, changes []Change) {
	for _, change := range changes {
		if change.Verdict == VerdictNone {
			delete(verdicts, change.Fingerprint)
			continue
		}
		verdicts[change.Fingerprint] = change.Verdict
	}
}
