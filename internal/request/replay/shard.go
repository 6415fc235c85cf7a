package replay

import (
	"sync"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// shard is one independently locked part of a Table.
type shard struct {
	mu      sync.Mutex
	entries map[ident.AttemptID]*entry
	// attemptExpiry holds the ended and tombstoned attempts, oldest first.
	attemptExpiry expiryQueue
	// answerExpiry holds the ended attempts whose answers are kept, oldest
	// first.
	answerExpiry expiryQueue
	// endedFilter and tombstoneFilter hold the ended and the tombstoned attempts
	// whose entries were removed.
	endedFilter     filter
	tombstoneFilter filter
	maxEntries      int
	maxBufferBytes  int
	// bufferBytes is the size of all answer buffers.
	bufferBytes int
}

// phase is the state of an attempt in the table.
type phase uint8

const (
	phaseRunning phase = iota
	// phaseEnded is the last phase that has an answer.
	phaseEnded
	// phaseAnswerDropped is an ended attempt whose answer was discarded.
	phaseAnswerDropped
	// phaseTombstoned is an attempt that was tombstoned before it arrived.
	phaseTombstoned
	// phaseWithdrawn is an attempt that arrived but did not reach the target.
	phaseWithdrawn
)

// neverRuns reports whether an attempt in this phase does not run as long as its
// entry exists.
func (p phase) neverRuns() bool { return p == phaseTombstoned || p == phaseWithdrawn }

// Entries without an answer are shared to save memory.
var (
	droppedEntry    = &entry{phase: phaseAnswerDropped}
	tombstonedEntry = &entry{phase: phaseTombstoned}
	withdrawnEntry  = &entry{phase: phaseWithdrawn}
)

// entry is the state and answer of one attempt.
type entry struct {
	phase phase
	// idempotent means that the attempt is forgotten together with its answer,
	// since it may safely run again.
	idempotent bool

	ring ring
	head *wire.Head
	end  *wire.End
	// notify is closed when the entry changes; nil if no reader waits.
	notify chan struct{}
}

// makeRoom reports whether one more attempt fits. If the shard is full, it
// first drops the oldest answers, which also removes idempotent attempts, and
// then the oldest attempts.
func (s *shard) makeRoom() bool {
	for len(s.entries) >= s.maxEntries {
		switch {
		case s.answerExpiry.len() > 0:
			s.dropAnswer(s.answerExpiry.pop())
		case s.attemptExpiry.len() > 0:
			s.forget(s.attemptExpiry.pop())
		default:
			return false
		}
	}
	return true
}

// forget removes the entry of an attempt that has ended or never runs. Ended and
// tombstoned attempts are added to the matching filter, withdrawn ones are not.
func (s *shard) forget(id ident.AttemptID) {
	e, ok := s.entries[id]
	if !ok {
		return
	}
	switch e.phase {
	case phaseEnded, phaseAnswerDropped:
		s.endedFilter.add(id)
	case phaseTombstoned:
		s.tombstoneFilter.add(id)
	}
	s.bufferBytes -= e.ring.size()
	delete(s.entries, id)
}

// dropAnswer discards the answer of an ended attempt. The attempt itself is
// kept unless it is idempotent.
func (s *shard) dropAnswer(id ident.AttemptID) {
	e, ok := s.entries[id]
	if !ok || e.phase != phaseEnded {
		return
	}
	s.bufferBytes -= e.ring.size()
	if e.idempotent {
		delete(s.entries, id)
		return
	}
	s.entries[id] = droppedEntry
}

// reserve makes room for size more bytes of an answer. It drops the answers of
// ended attempts, oldest first. If that is not enough the ring does not grow,
// and the write overwrites the oldest bytes of this answer.
func (s *shard) reserve(e *entry, size, maxAnswer int) {
	want := e.ring.sizeFor(size, maxAnswer)
	for s.bufferBytes-e.ring.size()+want > s.maxBufferBytes && s.answerExpiry.len() > 0 {
		s.dropAnswer(s.answerExpiry.pop())
	}
	if s.bufferBytes-e.ring.size()+want > s.maxBufferBytes {
		want = max(e.ring.size(), minRingBytes)
	}
	s.bufferBytes += want - e.ring.size()
	e.ring.resize(want)
}

// notifyChannel returns a channel that is closed when the entry next changes.
func (e *entry) notifyChannel() <-chan struct{} {
	if e.notify == nil {
		e.notify = make(chan struct{})
	}
	return e.notify
}

func (e *entry) notifyReaders() {
	if e.notify != nil {
		close(e.notify)
		e.notify = nil
	}
}
