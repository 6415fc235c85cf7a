package replay

import (
	"sync"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

type shard struct {
	mu      sync.Mutex
	entries map[ident.AttemptID]*entry
	// marks are the ended and buried attempts, oldest first.
	marks queue
	// answers are the ended attempts whose answers are kept, oldest first.
	answers queue
	// seen and buried stand for what is no longer remembered by name.
	seen     filter
	buried   filter
	maxMarks int
	maxBytes int
	bytes    int
}

type phase uint8

const (
	phaseRunning phase = iota
	phaseEnded
	// phaseDropped is an ended attempt whose answer is not kept.
	phaseDropped
	// phaseBuried is an attempt that may still come.
	phaseBuried
	// phaseWithdrawn is an attempt that came and was refused.
	phaseWithdrawn
)

// never reports whether an attempt in this phase never runs.
func (p phase) never() bool { return p == phaseBuried || p == phaseWithdrawn }

// Entries without an answer are shared, which saves memory.
var (
	droppedEntry   = &entry{phase: phaseDropped}
	buriedEntry    = &entry{phase: phaseBuried}
	withdrawnEntry = &entry{phase: phaseWithdrawn}
)

type entry struct {
	phase phase
	// idempotent marks an attempt that may be forgotten with its answer.
	idempotent bool

	ring   ring
	head   *wire.Head
	end    *wire.End
	notify chan struct{}
}

// makeRoom forgets the oldest answers and then the oldest names if the shard is
// full, and reports whether one more attempt fits.
func (s *shard) makeRoom() bool {
	for len(s.entries) >= s.maxMarks {
		switch {
		case s.answers.len() > 0:
			s.dropAnswer(s.answers.pop())
		case s.marks.len() > 0:
			s.forget(s.marks.pop())
		default:
			return false
		}
	}
	return true
}

// forget removes the name of an attempt that has ended or was buried.
func (s *shard) forget(id ident.AttemptID) {
	e, ok := s.entries[id]
	if !ok {
		return
	}
	switch e.phase {
	case phaseEnded, phaseDropped:
		s.seen.add(id)
	case phaseBuried:
		s.buried.add(id)
	}
	s.bytes -= e.ring.size()
	delete(s.entries, id)
}

// dropAnswer frees the bytes of an ended answer, and remembers the attempt
// unless it is idempotent.
func (s *shard) dropAnswer(id ident.AttemptID) {
	e, ok := s.entries[id]
	if !ok || e.phase != phaseEnded {
		return
	}
	s.bytes -= e.ring.size()
	if e.idempotent {
		delete(s.entries, id)
		return
	}
	s.entries[id] = droppedEntry
}

// reserve makes room for size more bytes of an answer, at the cost of older
// answers that have ended and at last of the oldest bytes of this one.
func (s *shard) reserve(e *entry, size, maxAnswer int) {
	want := e.ring.sizeFor(size, maxAnswer)
	for s.bytes-e.ring.size()+want > s.maxBytes && s.answers.len() > 0 {
		s.dropAnswer(s.answers.pop())
	}
	if s.bytes-e.ring.size()+want > s.maxBytes {
		want = max(e.ring.size(), minRing)
	}
	s.bytes += want - e.ring.size()
	e.ring.resize(want)
}

func (e *entry) wait() <-chan struct{} {
	if e.notify == nil {
		e.notify = make(chan struct{})
	}
	return e.notify
}

func (e *entry) wake() {
	if e.notify != nil {
		close(e.notify)
		e.notify = nil
	}
}
