package ledger

import (
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// entryOverhead is the memory of one entry in bytes, without its strings and
// answer.
const entryOverhead = 256

// entry is the full state of one key.
type entry struct {
	key         Key
	state       State
	dispatched  bool
	fingerprint ident.Fingerprint
	attempt     ident.AttemptID
	target      ident.TargetName
	incarnation ident.Incarnation
	// replacedAttempt is the attempt that held the key before and was proved
	// never to run.
	replacedAttempt ident.AttemptID
	// changedAt is when the attempt claimed the key or ended, in Unix
	// nanoseconds.
	changedAt int64
	// sequence identifies the entry's current queue item and orders the items of
	// a queue. It is 0 once the entry has been replaced.
	sequence uint64
	// answer is the encoded answer, nil unless the state is StateSettled.
	answer []byte
}

// size returns the approximate memory of the entry.
func (e *entry) size() ident.Bytes {
	return ident.Bytes(entryOverhead + len(e.attempt) + len(e.target) + len(e.answer))
}

// queueItem is one item of a queue. It is stale if its sequence number differs
// from the entry's, which has then been queued again or replaced.
type queueItem struct {
	entry    *entry
	sequence uint64
}

// shard is one independently locked part of the ledger.
type shard struct {
	cfg          Config
	proofIsValid func(e *entry, proof Proof) bool

	mu      sync.Mutex
	entries map[Key]*entry
	// running holds the entries in StateRunning and ended all others, each in the
	// order in which they expire.
	running queue
	ended   queue
	// endedBytes is the memory of the ended entries.
	endedBytes   ident.Bytes
	lastSequence uint64
	archive      archive
}

func newShard(cfg Config) *shard {
	return &shard{cfg: cfg, proofIsValid: proofIsValid, entries: make(map[Key]*entry)}
}

// lookup returns the state of a key.
func (s *shard) lookup(key Key) Reply {
	if e := s.entries[key]; e != nil {
		return s.reply(e)
	}
	return Reply{State: s.archive.find(key)}
}

// reply returns the reply that describes an entry.
func (s *shard) reply(e *entry) Reply {
	out := Reply{
		State: e.state, Attempt: e.attempt, Target: e.target,
		Incarnation: e.incarnation, Dispatched: e.dispatched,
	}
	switch e.state {
	case StateRunning:
		out.RetryAfter = s.cfg.RetryAfter
	case StateSettled:
		out.Answer = decodeAnswer(e.answer)
	}
	return out
}

// grant gives the key to the claiming attempt and replaces any earlier entry.
func (s *shard) grant(now time.Time, c Claim) Reply {
	old := s.entries[c.Key]
	s.detachReplaced(old)
	e := &entry{
		key: c.Key, state: StateRunning, fingerprint: c.Fingerprint, attempt: c.Attempt,
		target: c.Target, incarnation: c.Incarnation,
	}
	if old != nil {
		e.replacedAttempt = old.attempt
	}
	s.entries[c.Key] = e
	s.enqueue(now, e, &s.running)
	reply := s.reply(e)
	reply.Granted = true
	return reply
}

// detachReplaced invalidates the queue item of an entry that is being replaced,
// and subtracts the memory of an ended entry. The entry may be nil.
func (s *shard) detachReplaced(old *entry) {
	if old == nil {
		return
	}
	if old.state != StateRunning {
		s.endedBytes -= old.size()
	}
	old.sequence = 0
}

// finish moves an entry to the given ended state and queues it for compaction.
func (s *shard) finish(now time.Time, e *entry, state State, answer []byte) {
	if e.state != StateRunning {
		s.endedBytes -= e.size()
	}
	e.state = state
	e.answer = answer
	s.enqueue(now, e, &s.ended)
	s.endedBytes += e.size()
	s.limitEndedBytes()
}

// enqueue appends an entry to a queue with a new sequence number.
func (s *shard) enqueue(now time.Time, e *entry, q *queue) {
	s.lastSequence++
	e.changedAt = now.UnixNano()
	e.sequence = s.lastSequence
	q.push(queueItem{entry: e, sequence: e.sequence})
}

// expire sets attempts that ran for too long to StateOutcomeUnknown, compacts old ended
// entries and drops old keys from the archive.
func (s *shard) expire(now time.Time) {
	for e := s.running.front(); e != nil && e.age(now) >= s.cfg.MaxRunning; e = s.running.front() {
		s.running.pop()
		s.finish(now, e, StateOutcomeUnknown, nil)
	}
	for e := s.ended.front(); e != nil && e.age(now) >= s.cfg.AnswerTTL; e = s.ended.front() {
		s.compact(e)
	}
	s.archive.dropBefore(now.Add(-s.cfg.KeyTTL))
}

// limitEndedBytes compacts the oldest ended entries while all ended entries
// exceed the shard's part of MaxEndedBytes.
func (s *shard) limitEndedBytes() {
	limit := s.cfg.MaxEndedBytes / ident.Bytes(s.cfg.Shards)
	for e := s.ended.front(); e != nil && s.endedBytes > limit; e = s.ended.front() {
		s.compact(e)
	}
}

// compact removes e, which must be the first ended entry. It keeps the key in
// the archive unless the attempt never ran.
func (s *shard) compact(e *entry) {
	s.ended.pop()
	s.endedBytes -= e.size()
	delete(s.entries, e.key)
	switch e.state {
	case StateSettled:
		s.archive.add(e.changedAt, e.key, StateExpired)
	case StateOutcomeUnknown:
		s.archive.add(e.changedAt, e.key, StateOutcomeUnknown)
	}
}

// age returns the time since changedAt.
func (e *entry) age(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - e.changedAt)
}

// queue is a first-in, first-out queue of entries. Stale items are skipped.
type queue struct {
	items []queueItem
	first int
}

func (q *queue) push(item queueItem) {
	q.items = append(q.items, item)
}

// front returns the entry of the first item that is not stale, or nil. It drops
// the stale items before it.
func (q *queue) front() *entry {
	for q.first < len(q.items) {
		if item := q.items[q.first]; item.entry.sequence == item.sequence {
			return item.entry
		}
		q.pop()
	}
	return nil
}

// pop removes the first item. It reallocates the queue once half of its memory
// is unused.
func (q *queue) pop() {
	q.items[q.first] = queueItem{}
	q.first++
	if q.first*2 >= len(q.items) {
		q.items = append([]queueItem(nil), q.items[q.first:]...)
		q.first = 0
	}
}
