package ledger

import (
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/version/ident"
)

// entryOverhead is the memory of one entry besides its texts and answer, in
// bytes.
const entryOverhead = 256

// entry is one key held in full.
type entry struct {
	key         Key
	state       State
	dispatched  bool
	fingerprint ident.Fingerprint
	attempt     ident.AttemptID
	target      ident.TargetName
	incarnation ident.Incarnation
	// voided held the key before and was proved never to run.
	voided ident.AttemptID
	// at is when the attempt claimed the key or ended, in Unix nanoseconds.
	at int64
	// place orders the entries of one queue.
	place uint64
	// answer is encoded, nil unless settled.
	answer []byte
}

// size returns the entry's memory in bytes.
func (e *entry) size() ident.Bytes {
	return ident.Bytes(entryOverhead + len(e.attempt) + len(e.target) + len(e.answer))
}

// waiting is one place in a queue; it is void once the entry has moved on.
type waiting struct {
	entry *entry
	place uint64
}

// shard is one independently locked part of the ledger.
type shard struct {
	cfg    Config
	proves func(e *entry, proof Proof) bool

	mu   sync.Mutex
	live map[Key]*entry
	// running and ended hold entries in the order in which they expire.
	running queue
	ended   queue
	// endedSize is the memory of the ended entries.
	endedSize ident.Bytes
	places    uint64
	archive   archive
}

func newShard(cfg Config) *shard {
	return &shard{cfg: cfg, proves: proves, live: make(map[Key]*entry)}
}

// lookup returns what is held for a key.
func (s *shard) lookup(key Key) Reply {
	if e := s.live[key]; e != nil {
		return s.reply(e)
	}
	return Reply{State: s.archive.find(key)}
}

// reply describes an entry.
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

// grant gives the key to a new attempt.
func (s *shard) grant(now time.Time, c Claim) Reply {
	old := s.live[c.Key]
	s.forget(old)
	e := &entry{
		key: c.Key, state: StateRunning, fingerprint: c.Fingerprint, attempt: c.Attempt,
		target: c.Target, incarnation: c.Incarnation,
	}
	if old != nil {
		e.voided = old.attempt
	}
	s.live[c.Key] = e
	s.place(now, e, &s.running)
	reply := s.reply(e)
	reply.Granted = true
	return reply
}

// forget voids the place of an entry that is replaced, which may be nil.
func (s *shard) forget(old *entry) {
	if old == nil {
		return
	}
	if old.state != StateRunning {
		s.endedSize -= old.size()
	}
	old.place = 0
}

// finish ends an entry in the given state.
func (s *shard) finish(now time.Time, e *entry, state State, answer []byte) {
	if e.state != StateRunning {
		s.endedSize -= e.size()
	}
	e.state = state
	e.answer = answer
	s.place(now, e, &s.ended)
	s.endedSize += e.size()
	s.shrink()
}

// place puts an entry at the end of a queue.
func (s *shard) place(now time.Time, e *entry, q *queue) {
	s.places++
	e.at = now.UnixNano()
	e.place = s.places
	q.push(waiting{entry: e, place: e.place})
}

// expire lets everything expire that has become too old.
func (s *shard) expire(now time.Time) {
	for e := s.running.front(); e != nil && e.age(now) >= s.cfg.MaxRunning; e = s.running.front() {
		s.running.pop()
		s.finish(now, e, StateUnknown, nil)
	}
	for e := s.ended.front(); e != nil && e.age(now) >= s.cfg.AnswerTTL; e = s.ended.front() {
		s.compact(e)
	}
	s.archive.drop(now.Add(-s.cfg.KeyTTL))
}

// shrink compacts the oldest ended entries while they take too much memory.
func (s *shard) shrink() {
	limit := s.cfg.MaxEndedBytes / ident.Bytes(s.cfg.Shards)
	for e := s.ended.front(); e != nil && s.endedSize > limit; e = s.ended.front() {
		s.compact(e)
	}
}

// compact takes the first ended entry out and keeps its key alone, unless its
// attempt never ran.
func (s *shard) compact(e *entry) {
	s.ended.pop()
	s.endedSize -= e.size()
	delete(s.live, e.key)
	switch e.state {
	case StateSettled:
		s.archive.add(e.at, e.key, StateExpired)
	case StateUnknown:
		s.archive.add(e.at, e.key, StateUnknown)
	}
}

// age returns the time since the entry's last change.
func (e *entry) age(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - e.at)
}

// queue is a first-in first-out queue of entries.
type queue struct {
	items []waiting
	first int
}

func (q *queue) push(item waiting) {
	q.items = append(q.items, item)
}

// front returns the first entry that still has its place, or nil. Void places
// before it are dropped.
func (q *queue) front() *entry {
	for q.first < len(q.items) {
		if item := q.items[q.first]; item.entry.place == item.place {
			return item.entry
		}
		q.pop()
	}
	return nil
}

// pop drops the first place and, now and then, the memory of dropped ones.
func (q *queue) pop() {
	q.items[q.first] = waiting{}
	q.first++
	if q.first*2 >= len(q.items) {
		q.items = append([]waiting(nil), q.items[q.first:]...)
		q.first = 0
	}
}
