// Package replay is a sidecar's table of the attempts that it has seen. An
// attempt runs once: a duplicate joins it, and one that was buried before it
// came is refused. Answers are kept for a while, so that a router whose link
// broke can read on from any offset.
package replay

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/version/ident"
)

// BeginResult says what to do with an attempt.
type BeginResult uint8

// Verdicts of Begin.
const (
	// RunAttempt means that the caller, and nobody else, runs the attempt.
	RunAttempt BeginResult = iota + 1
	// JoinAttempt means that the attempt was begun before; read its answer.
	JoinAttempt
	// AttemptTombstoned means that the attempt is refused and never runs.
	AttemptTombstoned
	// TableFull means that the table has no room to remember the attempt,
	// which therefore must not run.
	TableFull
)

// Defaults of Config.
const (
	DefaultShards              = 16
	DefaultAttemptTTL          = time.Hour
	DefaultAnswerTTL           = 2 * time.Minute
	DefaultMaxAttempts         = 1 << 14
	DefaultMaxAnswerBytes      = 256 << 10
	DefaultMaxBytes            = 8 << 20
	DefaultSeenFilterSize      = 4 << 20
	DefaultTombstoneFilterSize = 1 << 20
)

// Config bounds a Table.
type Config struct {
	Shards int
	// AttemptTTL is how long an ended or buried attempt is remembered by name.
	// After that a filter stands for it.
	AttemptTTL time.Duration
	// AnswerTTL is how long an answer stays readable after its end.
	AnswerTTL time.Duration
	// MaxAttempts bounds the attempts that are remembered by name.
	MaxAttempts int
	// SeenFilterSize is the size of the filter of attempts that were begun. As it
	// fills up, more attempts that were not begun can't be buried.
	SeenFilterSize ident.Bytes
	// TombstoneFilterSize is the size of the filter of attempts that were buried before
	// they came. As it fills up, more attempts are refused.
	TombstoneFilterSize ident.Bytes
	// MaxAnswerBytes bounds what is kept of one answer; its oldest bytes go
	// first.
	MaxAnswerBytes int
	// MaxBytes bounds what is kept of all answers.
	MaxBytes int
}

// Table remembers attempts for one incarnation of a sidecar. It is safe for
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
	cfg.MaxBytes = cmp.Or(cfg.MaxBytes, DefaultMaxBytes)
	cfg.SeenFilterSize = cmp.Or(cfg.SeenFilterSize, DefaultSeenFilterSize)
	cfg.TombstoneFilterSize = cmp.Or(cfg.TombstoneFilterSize, DefaultTombstoneFilterSize)
	t := &Table{cfg: cfg, shards: make([]shard, cfg.Shards)}
	for i := range t.shards {
		t.shards[i].entries = make(map[ident.AttemptID]*entry)
		t.shards[i].maxMarks = max(1, cfg.MaxAttempts/cfg.Shards)
		t.shards[i].maxBytes = max(1, cfg.MaxBytes/cfg.Shards)
		t.shards[i].seen.size = int(cfg.SeenFilterSize) / cfg.Shards
		t.shards[i].buried.size = int(cfg.TombstoneFilterSize) / cfg.Shards
	}
	return t
}

func (t *Table) shard(id ident.AttemptID) *shard {
	return &t.shards[xxhash.Sum64String(string(id))%uint64(len(t.shards))]
}

// Begin says what to do with an attempt that has come. Of all calls of Begin
// and Tombstone for one attempt, exactly one gets RunAttempt or buries it.
func (t *Table) Begin(now time.Time, id ident.AttemptID) BeginResult {
	return t.begin(now, id, false)
}

// BeginIdempotent is Begin for an attempt of an idempotent request, which is
// forgotten with its answer.
func (t *Table) BeginIdempotent(now time.Time, id ident.AttemptID) BeginResult {
	return t.begin(now, id, true)
}

func (t *Table) begin(now time.Time, id ident.AttemptID, idempotent bool) BeginResult {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.expire(now, s)
	if e, ok := s.entries[id]; ok {
		if e.phase.never() {
			return AttemptTombstoned
		}
		return JoinAttempt
	}
	if s.buried.has(id) {
		return AttemptTombstoned
	}
	if !s.makeRoom() {
		return TableFull
	}
	s.entries[id] = &entry{idempotent: idempotent}
	return RunAttempt
}

// Tombstone makes sure that an attempt never runs, and reports whether it could:
// it can't if the attempt was begun or may have been, or if there is no room
// to remember it.
func (t *Table) Tombstone(now time.Time, id ident.AttemptID) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t.expire(now, s)
	if e, ok := s.entries[id]; ok {
		return e.phase.never()
	}
	if s.buried.has(id) && !s.seen.has(id) {
		return true
	}
	if s.seen.has(id) || !s.makeRoom() {
		return false
	}
	s.entries[id] = buriedEntry
	s.marks.push(now, id)
	return true
}

// Withdraw buries an attempt that was begun but did not reach the target, and
// reports whether it could. Readers of its answer get an OffsetError.
func (t *Table) Withdraw(now time.Time, id ident.AttemptID) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok || e.phase != phaseRunning || e.ring.end() > 0 {
		return false
	}
	s.entries[id] = withdrawnEntry
	s.marks.push(now, id)
	e.wake()
	return true
}

// SetHead keeps the head of an answer. The frame must not change afterwards.
func (t *Table) SetHead(id ident.AttemptID, head *wire.Head) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if e, ok := s.entries[id]; ok && e.phase == phaseRunning {
		e.head = head
		e.wake()
	}
}

// Append keeps the next bytes of an answer, which it copies.
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
	e.wake()
}

// Finish ends an attempt. The frame must not change afterwards.
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
	s.answers.push(now, id)
	if !e.idempotent {
		s.marks.push(now, id)
	}
	e.wake()
}

// ReadResult is what was found at an offset of an answer.
type ReadResult struct {
	// Head is nil until the answer has begun.
	Head *wire.Head
	// Copied counts the bytes that were copied.
	Copied int
	// End is set once the reader has all bytes of an answer that has ended.
	End *wire.End
	// Notify is set when there is nothing to read yet; it is closed when there
	// may be.
	Notify <-chan struct{}
}

// ReadFrom copies the answer from offset on into buf. It never begins an
// attempt. It returns an UnknownAttemptError for an attempt that was not begun, and an
// OffsetError when the bytes are no longer kept.
func (t *Table) ReadFrom(id ident.AttemptID, offset uint64, buf []byte) (ReadResult, error) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok {
		return ReadResult{}, &UnknownAttemptError{Attempt: id}
	}
	if e.phase >= phaseDropped || offset < e.ring.start() || offset > e.ring.end() {
		return ReadResult{}, &OffsetError{Attempt: id, Offset: offset}
	}
	read := ReadResult{Head: e.head, Copied: e.ring.readAt(offset, buf)}
	if e.phase == phaseEnded && offset+uint64(read.Copied) == e.ring.end() {
		read.End = e.end
		return read, nil
	}
	if read.Copied == 0 {
		read.Notify = e.wait()
	}
	return read, nil
}

// Expire forgets what was kept for long enough. Begin and Bury do so as well
// for the shard that they touch.
func (t *Table) Expire(now time.Time) {
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		t.expire(now, s)
		s.mu.Unlock()
	}
}

// Stats counts what a table holds.
type Stats struct {
	Attempts int
	Bytes    ident.Bytes
}

// Stats returns what the table holds.
func (t *Table) Stats() Stats {
	var stats Stats
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		stats.Attempts += len(s.entries)
		stats.Bytes += ident.Bytes(s.bytes)
		s.mu.Unlock()
	}
	return stats
}

func (t *Table) expire(now time.Time, s *shard) {
	for s.answers.due(now, t.cfg.AnswerTTL) {
		s.dropAnswer(s.answers.pop())
	}
	for s.marks.due(now, t.cfg.AttemptTTL) {
		s.forget(s.marks.pop())
	}
}
