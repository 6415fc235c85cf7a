package poison

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"

	"cactusline.dev/cactusline/internal/version/ident"
)

// MaxMarks bounds the crashes that a Set notes by itself.
const MaxMarks = 1 << 10

// Set holds the verdicts in force at a router or sidecar. Its zero value is
// empty and ready for use. It is safe for concurrent use; readers take no
// lock.
type Set struct {
	mu sync.Mutex
	// marks are the crashes that Watch noted and that no list has named yet,
	// oldest first.
	marks    []ident.Fingerprint
	verdicts atomic.Pointer[map[ident.Fingerprint]Verdict]
}

// Quarantined reports whether a request is under quarantine.
func (s *Set) Quarantined(fingerprint ident.Fingerprint) bool {
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

// Replace puts a whole set in the place of what was held. What Watch noted
// stays until a set has named it.
func (s *Set) Replace(changes []VerdictChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	verdicts := make(map[ident.Fingerprint]Verdict, len(changes))
	apply(verdicts, changes)
	s.settle(changes)
	for _, fingerprint := range s.marks {
		verdicts[fingerprint] = VerdictWatched
	}
	s.verdicts.Store(&verdicts)
}

// Apply changes some of what is held.
func (s *Set) Apply(changes []VerdictChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(changes)
	s.store(changes)
}

// store adds changes to what is held. The caller holds the lock.
func (s *Set) store(changes []VerdictChange) {
	verdicts := make(map[ident.Fingerprint]Verdict)
	if held := s.verdicts.Load(); held != nil {
		maps.Copy(verdicts, *held)
	}
	apply(verdicts, changes)
	s.verdicts.Store(&verdicts)
}

// settle forgets the marks that the changes name. The caller holds the lock.
func (s *Set) settle(changes []VerdictChange) {
	if len(s.marks) == 0 {
		return
	}
	named := make(map[ident.Fingerprint]struct{}, len(changes))
	for _, change := range changes {
		named[change.Fingerprint] = struct{}{}
	}
	s.marks = slices.DeleteFunc(s.marks, func(fingerprint ident.Fingerprint) bool {
		_, ok := named[fingerprint]
		return ok
	})
}

// MarkWatched notes a crash that this process saw, until control says more. Beyond
// MaxMarks the oldest note goes.
func (s *Set) MarkWatched(fingerprint ident.Fingerprint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.Verdict(fingerprint) != VerdictNone {
		return
	}
	changes := []VerdictChange{{Fingerprint: fingerprint, Verdict: VerdictWatched}}
	s.marks = append(s.marks, fingerprint)
	if len(s.marks) > MaxMarks {
		changes = append(changes, VerdictChange{Fingerprint: s.marks[0]})
		s.marks = slices.Delete(s.marks, 0, 1)
	}
	s.store(changes)
}

func apply(verdicts map[ident.Fingerprint]Verdict, changes []VerdictChange) {
	for _, change := range changes {
		if change.Verdict == VerdictNone {
			delete(verdicts, change.Fingerprint)
			continue
		}
		verdicts[change.Fingerprint] = change.Verdict
	}
}
