// Package store is the replicated state: the operators' records with their
// revisions, the ledger of requests that are not repeatable, the crashes that
// put requests under quarantine, the incarnations of processes, the fences of
// engines and the audit chain. It is deterministic: the same entries give the
// same state, the same results and the same snapshots on every replica.
package store

import (
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/request/ledger"
	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// exportBatch is the number of audit entries after which Apply exports them.
const exportBatch = 1024

// Config configures a Store; all but Sink, Exported and OnViolation must be
// the same on all replicas.
type Config struct {
	Ledger ledger.Config
	Audit  audit.Config
	Poison poison.Config
	// HistoryRevisions is the number of revisions that DeltaSince can look back; 0 means
	// 1024.
	HistoryRevisions int
	// AuditSink takes audit entries to disk; nil keeps only the newest in memory.
	AuditSink audit.Sink
	// ExportedAuditIndex is the index of the last audit entry that the sink has.
	ExportedAuditIndex uint64
	// OnViolation is told of a broken invariant; nil ignores it. It must not
	// call the store.
	OnViolation func(error)
}

// Store is the replicated state. Apply and Restore must be called one after
// the other; everything else may be called at any time.
type Store struct {
	cfg      Config
	ledger   *ledger.Ledger
	chain    *audit.Chain
	exporter *audit.Exporter
	set      atomic.Pointer[record.Set]

	mu        sync.RWMutex
	applied   uint64
	now       time.Time
	floors    floors
	history   history
	answers   *answers
	processes *processes
	fences    fences
	crashes   *poison.Tracker
	verdicts  verdicts
	document  Document
	changed   chan struct{}
	exportErr error
}

// New returns an empty store.
func New(cfg Config) *Store {
	s := &Store{
		cfg: cfg, ledger: ledger.New(cfg.Ledger), chain: audit.New(cfg.Audit),
		now: time.Unix(0, 0).UTC(), floors: make(floors), history: newHistory(cfg.HistoryRevisions),
		answers: newAnswers(), processes: newProcesses(), fences: newFences(),
		crashes: poison.NewTracker(cfg.Poison), changed: make(chan struct{}),
	}
	s.set.Store(record.NewSet(0, nil))
	if cfg.AuditSink != nil {
		s.exporter = audit.NewExporter(s.chain, cfg.AuditSink, cfg.ExportedAuditIndex)
	}
	return s
}

// Apply applies one committed entry and returns its encoded cmdpb.Result, nil
// for an index that was applied before. It panics with a *FormatError on an
// entry of a newer format, because to go on would be to diverge.
func (s *Store) Apply(index uint64, entry []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.applied {
		return nil
	}
	s.applied = index
	result := s.applyEntry(entry)
	if s.exporter != nil && s.exporter.Pending() >= exportBatch {
		s.exportErr = s.exporter.Export()
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		// Only text that is not UTF-8 fails, and commands hold none.
		return nil
	}
	return data
}

// applyEntry applies one entry, whatever its bytes.
func (s *Store) applyEntry(entry []byte) *cmdpb.Result {
	command, err := DecodeCommand(entry)
	if err != nil {
		return &cmdpb.Result{Status: cmdpb.Status_STATUS_MALFORMED, Detail: err.Error(), Revision: s.revision()}
	}
	if command.GetFormat() > Format {
		panic(&FormatError{Format: command.GetFormat()})
	}
	s.advance(time.Unix(0, command.GetTime()).UTC())
	return s.run(command)
}

// run carries out a command.
func (s *Store) run(c *cmdpb.Command) *cmdpb.Result {
	switch body := c.GetBody().(type) {
	case *cmdpb.Command_Apply:
		return s.once(c, body.Apply, func() *cmdpb.Result { return s.applyRecords(c, body.Apply) })
	case *cmdpb.Command_Retire:
		return s.once(c, body.Retire, func() *cmdpb.Result { return s.retireRecords(c, body.Retire) })
	case *cmdpb.Command_Drain:
		return s.once(c, body.Drain, func() *cmdpb.Result { return s.drain(c, body.Drain) })
	}
	result := s.runStep(c)
	result.Revision = s.revision()
	return result
}

// runStep carries out a command that changes no records.
func (s *Store) runStep(c *cmdpb.Command) *cmdpb.Result {
	switch body := c.GetBody().(type) {
	case *cmdpb.Command_Claim:
		return s.claim(c, body.Claim)
	case *cmdpb.Command_Dispatch:
		return s.dispatch(c, body.Dispatch)
	case *cmdpb.Command_Settle:
		return s.settle(c, body.Settle)
	case *cmdpb.Command_Release:
		return s.release(c, body.Release)
	case *cmdpb.Command_Crash:
		return s.crash(c, body.Crash)
	case *cmdpb.Command_Clear:
		return s.clear(c, body.Clear)
	case *cmdpb.Command_Alone:
		return s.ranAlone(c, body.Alone)
	case *cmdpb.Command_Register:
		return s.register(c, body.Register)
	case *cmdpb.Command_Fence:
		return s.nextFence(c, body.Fence)
	case *cmdpb.Command_Note:
		return s.note(c, body.Note)
	case *cmdpb.Command_Document:
		return s.putDocument(c, body.Document)
	case *cmdpb.Command_Tick:
		return &cmdpb.Result{Status: cmdpb.Status_STATUS_OK}
	}
	return &cmdpb.Result{Status: cmdpb.Status_STATUS_MALFORMED, Detail: "command has no known body"}
}

// advance moves the store's time forward, never back, and lets old state
// expire once a minute.
func (s *Store) advance(now time.Time) {
	if !now.After(s.now) {
		return
	}
	before := s.now
	s.now = now
	if now.Truncate(time.Minute).Equal(before.Truncate(time.Minute)) {
		return
	}
	s.ledger.Expire(now)
	s.answers.expire(now)
	s.processes.expire(now)
	if len(s.crashes.Expire(now)) > 0 {
		s.verdictsChanged()
	}
}

// invalid returns the result of a command that asks for nothing sensible.
func invalid(detail string) *cmdpb.Result {
	return &cmdpb.Result{Status: cmdpb.Status_STATUS_INVALID, Detail: detail}
}

// record adds an entry to the audit chain and its index to the result.
func (s *Store) record(result *cmdpb.Result, c *cmdpb.Command, event audit.Event) *cmdpb.Result {
	event.Time = s.now
	event.Actor = c.GetActor()
	event.Subject = shorten(event.Subject)
	event.Detail = shorten(event.Detail)
	result.Audit = s.chain.Append(event).Index
	return result
}

// maxText bounds the texts of one audit entry, in bytes.
const maxText = 2048

// shorten cuts a text to maxText bytes.
func shorten(text string) string {
	if len(text) <= maxText {
		return text
	}
	return text[:maxText]
}

// notify wakes those that wait for the next change.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// revision returns the current revision as a number.
func (s *Store) revision() uint64 {
	return uint64(s.set.Load().Revision())
}

// Set returns the current records.
func (s *Store) Set() *record.Set { return s.set.Load() }

// Revision returns the current revision.
func (s *Store) Revision() ident.Revision { return s.set.Load().Revision() }

// Changed returns a channel that is closed at the next change of the records,
// the verdicts or the routing document.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// DeltaSince returns what changed above a revision: a delta from there, or the
// whole set if that is too far back. For a revision above the store's own it
// returns an empty delta to the store's.
func (s *Store) DeltaSince(revision ident.Revision) record.Delta {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.history.since(revision, s.set.Load())
}

// AppliedIndex returns the index of the last applied entry.
func (s *Store) AppliedIndex() uint64 {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.applied
}

// Lookup returns what the ledger holds for a customer's Idempotency-Key.
func (s *Store) Lookup(customer ident.CustomerName, key string) ledger.Reply {
	return s.ledger.Lookup(ledger.KeyOf(customer, key))
}

// LedgerKeyCounts returns the numbers of keys held in full and compacted.
func (s *Store) LedgerKeyCounts() (full, compacted int) { return s.ledger.KeyCounts() }

// AuditHead returns the head of the audit chain.
func (s *Store) AuditHead() audit.Head { return s.chain.Head() }

// AuditAfter returns the newest audit entries above an index, as Chain.After
// does.
func (s *Store) AuditAfter(index uint64) ([]audit.Entry, error) { return s.chain.After(index) }

// ExportAudit hands all new audit entries to the sink. It returns an error also
// for an export that failed within Apply.
func (s *Store) ExportAudit() error {
	if s.exporter == nil {
		return nil
	}
	if err := s.exporter.Export(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	err := s.exportErr
	s.exportErr = nil
	return err
}

// Verdicts returns the requests that crash targets, and the index of the log
// entry that last changed them, or of the snapshot that brought them. The
// caller must not change them.
func (s *Store) Verdicts() ([]*wire.CrashVerdict, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.verdicts.list, s.verdicts.index
}
