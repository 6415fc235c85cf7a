// Package replay implements a sidecar's table of the attempts that it has
// received. While an attempt is in the table it runs at most once: a duplicate
// joins the first one, and an attempt that was tombstoned before it arrived is
// refused. Answers are kept for some time, so that a router whose link broke can
// resume reading at the offset it had reached.
package replay

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// BeginResult tells what to do with an attempt.
type BeginResult uint8

// Results of Begin.
const (
	// RunAttempt means that the caller must run the attempt. Only one call
	// of Begin for an attempt returns it.
	RunAttempt BeginResult = iota + 1
	// JoinAttempt means that the attempt has already begun. Its answer can be
	// read with ReadFrom.
	JoinAttempt
	// RefuseAttempt means that the attempt was tombstoned or withdrawn and must
	// be refused.
	RefuseAttempt
	// TableFull means that the table has no room for the attempt, which
	// therefore must not run.
	TableFull
)

// Defaults of Config.
const (
	DefaultShards              = 16
	DefaultAttemptTTL          = time.Hour
	DefaultAnswerTTL           = 2 * time.Minute
	DefaultMaxAttempts         = 1 << 14
	DefaultMaxAnswerBytes      = 256 << 10
	DefaultMaxBufferBytes      = 8 << 20
	DefaultEndedFilterSize     = 4 << 20 // bytes
	DefaultTombstoneFilterSize = 1 << 20 // bytes
)

// Config holds the limits of a Table. A zero field takes its default.
type Config struct {
	Shards int
	// AttemptTTL is how long an ended or tombstoned attempt keeps its entry.
	// After that only a Bloom filter remembers it.
	AttemptTTL time.Duration
	// AnswerTTL is how long an answer stays readable after the attempt ended.
	AnswerTTL time.Duration
	// MaxAttempts bounds the number of entries.
	MaxAttempts int
	// EndedFilterSize is the size of the Bloom filter of ended attempts. Its false
	// positives make Tombstone fail for attempts that never began, and become
	// more frequent as the filter fills up.
	EndedFilterSize ident.Bytes
	// TombstoneFilterSize is the size of the Bloom filter of attempts that were
	// tombstoned before they arrived. Its false positives make Begin refuse
	// other attempts, and become more frequent as the filter fills up.
	TombstoneFilterSize ident.Bytes
	// MaxAnswerBytes bounds the bytes kept of one answer. The oldest bytes are
	// dropped first.
	MaxAnswerBytes int
	// MaxBufferBytes bounds the size of all answer buffers.
	MaxBufferBytes int
}

// Table holds the attempts of one incarnation of a sidecar. It is safe for
// concurrent use.
type Table struct {
	cfg    Config
	shards []shard
}

// New returns an empty table.
func New(cfg Config) *Table {
	cfg.Shards = cmp.Or(cfg.Shards, DefaultShards)
	cfg.AttemptTTL = cmp.Or(cfg.AttemptTTL, DefaultAttemptTTL)
	cfg.AnswerTTL = cmp.Or(cfg.AnswerTTL, DefaultAnswerTTL)
	cfg.MaxAttempts = cmp.Or(cfg.MaxAttempts, DefaultMaxAttempts)
	cfg.MaxAnswerBytes = cmp.Or(cfg.MaxAnswerBytes, DefaultMaxAnswerBytes)
	cfg.MaxBufferBytes = cmp.Or(cfg.MaxBufferBytes, DefaultMaxBufferBytes)
	cfg.EndedFilterSize = cmp.Or(cfg.EndedFilterSize, DefaultEndedFilterSize)
	cfg.TombstoneFilterSize = cmp.Or(cfg.TombstoneFilterSize, DefaultTombstoneFilterSize)
	t := &Table{cfg: cfg, shards: make([]shard, cfg.Shards)}
	for i := range t.shards {
		t.shards[i].entries = make(map[ident.AttemptID]*entry)
		t.shards[i].maxEntries = max(1, cfg.MaxAttempts/cfg.Shards)
		t.shards[i].maxBufferBytes = max(1, cfg.MaxBufferBytes/cfg.Shards)
		t.shards[i].endedFilter.size = int(cfg.EndedFilterSize) / cfg.Shards
		t.shards[i].tombstoneFilter.size = int(cfg.TombstoneFilterSize) / cfg.Shards
	}
	return t
}

func (t *Table) shard(id ident.AttemptID) *shard {
	return &t.shards[xxhash.Sum64String(string(id))%uint64(len(t.shards))]
}

// Begin registers an attempt that has arrived and returns what to do with it.
// While the attempt has an entry, either one call of Begin returns RunAttempt or
// Tombstone succeeds, never both, unless Withdraw undoes the Begin. Once the entry
// of an ended attempt has been removed, Tombstone still fails if the attempt was
// not idempotent, but Begin does not recognize the attempt any more.
func (t *Table) Begin(now time.Time, id ident.AttemptID) BeginResult {
	return t.begin(now, id, false)
}

// BeginIdempotent is like Begin for an attempt of an idempotent request. Such an
// attempt is forgotten as soon as its answer is dropped.
func (t *Table) BeginIdempotent(now time.Time, id ident.AttemptID) BeginResult {
	return t.begin(now, id, true)
}

func (t *Table) begin(now time.Time, id ident.AttemptID, idempotent bool) BeginResult {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.expire(now, s)
	if e, ok := s.entries[id]; ok {
		if e.phase.neverRuns() {
			return RefuseAttempt
		}
		return JoinAttempt
	}
	if s.tombstoneFilter.has(id) {
		return RefuseAttempt
	}
	if !s.makeRoom() {
		return TableFull
	}
	s.entries[id] = &entry{idempotent: idempotent}
	return RunAttempt
}

// Tombstone ensures that an attempt never runs and reports whether it succeeded.
// It fails if the attempt has begun or may have begun, or if there is no room
// for its entry.
func (t *Table) Tombstone(now time.Time, id ident.AttemptID) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.expire(now, s)
	if e, ok := s.entries[id]; ok {
		return e.phase.neverRuns()
	}
	// Either filter may report a false positive. An attempt that may have ended
	// can't be tombstoned.
	if s.tombstoneFilter.has(id) && !s.endedFilter.has(id) {
		return true
	}
	if s.endedFilter.has(id) || !s.makeRoom() {
		return false
	}
	s.entries[id] = tombstonedEntry
	s.attemptExpiry.push(now, id)
	return true
}

// Withdraw marks an attempt that has begun but did not reach the target as never
// to run. It reports whether it succeeded, which it does only while the attempt
// is running and has no answer bytes. Readers of its answer get an
// *AnswerUnavailableError.
func (t *Table) Withdraw(now time.Time, id ident.AttemptID) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok || e.phase != phaseRunning || e.ring.end() > 0 {
		return false
	}
	s.entries[id] = withdrawnEntry
	s.attemptExpiry.push(now, id)
	e.notifyReaders()
	return true
}

// SetHead stores the head of an answer. The caller must not modify it afterwards.
func (t *Table) SetHead(id ident.AttemptID, head *wire.Head) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[id]; ok && e.phase == phaseRunning {
		e.head = head
		e.notifyReaders()
	}
}

// Append stores a copy of the next bytes of an answer.
func (t *Table) Append(id ident.AttemptID, data []byte) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok || e.phase != phaseRunning {
		return
	}
	s.reserve(e, len(data), t.cfg.MaxAnswerBytes)
	e.ring.write(data)
	e.notifyReaders()
}

// Finish marks an attempt as ended. The caller must not modify end afterwards.
func (t *Table) Finish(now time.Time, id ident.AttemptID, end *wire.End) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok || e.phase != phaseRunning {
		return
	}
	e.phase = phaseEnded
	e.end = end
	s.answerExpiry.push(now, id)
	if !e.idempotent {
		s.attemptExpiry.push(now, id)
	}
	e.notifyReaders()
}

// ReadResult is the result of reading an answer at an offset.
type ReadResult struct {
	// Head is the head of the answer, or nil if it has not arrived yet.
	Head *wire.Head
	// Copied is the number of bytes copied.
	Copied int
	// End is set once the attempt has ended and the reader has all its bytes.
	End *wire.End
	// Notify is set if there is nothing to read yet. It is closed when the
	// attempt's state changes.
	Notify <-chan struct{}
}

// ReadFrom copies the answer from offset on into buf. It returns an
// *UnknownAttemptError if the table has no entry for the attempt, and an
// *AnswerUnavailableError if the bytes at offset can't be read.
func (t *Table) ReadFrom(id ident.AttemptID, offset uint64, buf []byte) (ReadResult, error) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return ReadResult{}, &UnknownAttemptError{Attempt: id}
	}
	if e.phase >= phaseAnswerDropped || offset < e.ring.start() || offset > e.ring.end() {
		return ReadResult{}, &AnswerUnavailableError{Attempt: id, Offset: offset}
	}
	read := ReadResult{Head: e.head, Copied: e.ring.readAt(offset, buf)}
	if e.phase == phaseEnded && offset+uint64(read.Copied) == e.ring.end() {
		read.End = e.end
		return read, nil
	}
	if read.Copied == 0 {
		read.Notify = e.notifyChannel()
	}
	return read, nil
}

// Expire removes the answers and attempts whose TTL has passed. Begin and
// Tombstone do the same for the shard that they access.
func (t *Table) Expire(now time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		t.expire(now, s)
		s.mu.Unlock()
	}
}

// Stats holds the size of a table.
type Stats struct {
	Attempts    int
	BufferBytes ident.Bytes
}

// Stats returns the number of entries and the size of all answer buffers.
func (t *Table) Stats() Stats {
	var stats Stats
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		stats.Attempts += len(s.entries)
		stats.BufferBytes += ident.Bytes(s.bufferBytes)
		s.mu.Unlock()
	}
	return stats
}

func (t *Table) expire(now time.Time, s *shard) {
	for s.answerExpiry.due(now, t.cfg.AnswerTTL) {
		s.dropAnswer(s.answerExpiry.pop())
	}
	for s.attemptExpiry.due(now, t.cfg.AttemptTTL) {
		s.forget(s.attemptExpiry.pop())
	}
}
