// Package store is the replicated state: the operators' records with their
// revisions, the ledger of requests that are not repeatable, the routing
// document, the evacuations of failure domains, the crashes that put requests under
// quarantine, the incarnations of processes, the fences of engines and the audit chain.
// It is deterministic: the same entries produce the same state, the same results and
// the same snapshots on every replica.
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

// exportBatchEntries is the number of pending audit entries at which Apply
// exports them.
const exportBatchEntries = 1024

// Config configures a Store. All fields but AuditSink, ExportedAuditIndex and
// OnViolation must be the same on all replicas.
type Config struct {
	Ledger ledger.Config
	Audit  audit.Config
	Poison poison.Config
	// HistoryRevisions is the number of past revisions from which DeltaSince
	// returns a delta; 0 means 1024.
	HistoryRevisions int
	// AuditSink stores audit entries on disk; if nil, only the newest entries
	// are kept, in memory.
	AuditSink audit.Sink
	// ExportedAuditIndex is the index of the last audit entry in AuditSink.
	ExportedAuditIndex uint64
	// OnViolation is called when an invariant is broken; it may be nil. It
	// must not call the store.
	OnViolation func(error)
}

// Store is the replicated state. Calls of Apply and Restore must not overlap;
// all other methods are safe for concurrent use.
type Store struct {
	cfg        Config
	ledger     *ledger.Ledger
	auditChain *audit.Chain
	exporter   *audit.Exporter
	records    atomic.Pointer[record.Set]

	mu              sync.RWMutex
	applied         uint64    // index of the last applied entry
	now             time.Time // highest time of any applied command
	retiredVersions retiredVersions
	history         history
	changeResults   *changeResults
	processes       *processTable
	fences          fenceTable
	crashes         *poison.Tracker
	verdicts        activeVerdicts
	document        Document
	software        []Software
	evacuations     evacuations
	changed         chan struct{} // closed and replaced at each change
	exportErr       error         // of an export within Apply
}

// New returns an empty store.
func New(cfg Config) *Store {
	s := &Store{
		cfg: cfg, ledger: ledger.New(cfg.Ledger), auditChain: audit.New(cfg.Audit),
		now: time.Unix(0, 0).UTC(), retiredVersions: make(retiredVersions), history: newHistory(cfg.HistoryRevisions),
		changeResults: newChangeResults(), processes: newProcessTable(), fences: newFenceTable(),
		crashes: poison.NewTracker(cfg.Poison), changed: make(chan struct{}),
	}
	s.records.Store(record.NewSet(0, nil))
	if cfg.AuditSink != nil {
		s.exporter = audit.NewExporter(s.auditChain, cfg.AuditSink, cfg.ExportedAuditIndex)
	}
	return s
}

// Apply applies one committed entry and returns its encoded cmdpb.Result, or
// nil for an index that has already been applied. It panics with a
// *FormatError on an entry of a newer format, because the replica would
// otherwise diverge from the others.
func (s *Store) Apply(index uint64, entry []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.applied {
		return nil
	}
	s.applied = index
	result := s.applyEntry(entry)
	if s.exporter != nil && s.exporter.Pending() >= exportBatchEntries {
		s.exportErr = s.exporter.Export()
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(result)
	if err != nil {
		// Marshal fails only on text that is not UTF-8, which no decoded
		// command contains.
		return nil
	}
	return data
}

// applyEntry decodes and applies one entry, which may hold any bytes.
func (s *Store) applyEntry(entry []byte) *cmdpb.Result {
	command, err := DecodeCommand(entry)
	if err != nil {
		return &cmdpb.Result{Status: cmdpb.Status_STATUS_MALFORMED, Detail: err.Error(), Revision: s.revision()}
	}
	if command.GetFormat() > Format {
		panic(&FormatError{Format: command.GetFormat()})
	}
	s.advanceTime(time.Unix(0, command.GetTime()).UTC())
	return s.runCommand(command)
}

// runCommand executes a command.
func (s *Store) runCommand(c *cmdpb.Command) *cmdpb.Result {
	switch body := c.GetBody().(type) {
	case *cmdpb.Command_Apply:
		return s.applyOnce(c, body.Apply, func() *cmdpb.Result { return s.applyRecords(c, body.Apply) })
	case *cmdpb.Command_Retire:
		return s.applyOnce(c, body.Retire, func() *cmdpb.Result { return s.retireRecords(c, body.Retire) })
	case *cmdpb.Command_Drain:
		return s.applyOnce(c, body.Drain, func() *cmdpb.Result { return s.drain(c, body.Drain) })
	}
	result := s.runNonRecordCommand(c)
	result.Revision = s.revision()
	return result
}

// runNonRecordCommand executes a command that does not change the records.
func (s *Store) runNonRecordCommand(c *cmdpb.Command) *cmdpb.Result {
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
		return s.handleCrash(c, body.Crash)
	case *cmdpb.Command_Clear:
		return s.clearQuarantine(c, body.Clear)
	case *cmdpb.Command_Alone:
		return s.handleRanAlone(c, body.Alone)
	case *cmdpb.Command_GateReport:
		return s.handleGateReport(c, body.GateReport)
	case *cmdpb.Command_Register:
		return s.registerProcess(c, body.Register)
	case *cmdpb.Command_Fence:
		return s.issueFence(c, body.Fence)
	case *cmdpb.Command_Note:
		return s.handleNote(c, body.Note)
	case *cmdpb.Command_Document:
		return s.putDocument(c, body.Document)
	case *cmdpb.Command_Software:
		return s.recordSoftware(body.Software)
	case *cmdpb.Command_Evacuate:
		return s.evacuate(c, body.Evacuate)
	case *cmdpb.Command_Tick:
		return &cmdpb.Result{Status: cmdpb.Status_STATUS_OK}
	}
	return &cmdpb.Result{Status: cmdpb.Status_STATUS_MALFORMED, Detail: "command has no known body"}
}

// advanceTime moves the time of the store forward, never back, and expires old
// state once a minute.
func (s *Store) advanceTime(now time.Time) {
	if !now.After(s.now) {
		return
	}
	before := s.now
	s.now = now
	if now.Truncate(time.Minute).Equal(before.Truncate(time.Minute)) {
		return
	}
	s.ledger.Expire(now)
	s.changeResults.expire(now)
	s.processes.expire(now)
	if len(s.crashes.Expire(now)) > 0 {
		s.updateVerdicts()
	}
}

// invalidResult returns the result of an invalid command.
func invalidResult(detail string) *cmdpb.Result {
	return &cmdpb.Result{Status: cmdpb.Status_STATUS_INVALID, Detail: detail}
}

// appendAudit appends an entry to the audit chain and sets its index in the
// result.
func (s *Store) appendAudit(result *cmdpb.Result, c *cmdpb.Command, event audit.Event) *cmdpb.Result {
	event.Time = s.now
	event.Actor = c.GetActor()
	event.Subject = truncateAuditText(event.Subject)
	event.Detail = truncateAuditText(event.Detail)
	result.Audit = s.auditChain.Append(event).Index
	return result
}

// maxAuditTextBytes limits the subject and the detail of an audit entry.
const maxAuditTextBytes = 2048

// truncateAuditText truncates text to maxAuditTextBytes.
func truncateAuditText(text string) string {
	if len(text) <= maxAuditTextBytes {
		return text
	}
	return text[:maxAuditTextBytes]
}

// notifyChanged wakes the goroutines that wait on Changed.
func (s *Store) notifyChanged() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// revision returns the current revision as a uint64.
func (s *Store) revision() uint64 {
	return uint64(s.records.Load().Revision())
}

// Set returns the current record set.
func (s *Store) Set() *record.Set { return s.records.Load() }

// Revision returns the current revision.
func (s *Store) Revision() ident.Revision { return s.records.Load().Revision() }

// Changed returns a channel that is closed at the next change of the records,
// the verdicts, the routing document or the evacuations.
func (s *Store) Changed() <-chan struct{} {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.changed
}

// DeltaSince returns the changes after a revision, or the whole set if the
// history does not reach back to it. For a revision above the current one it
// returns an empty delta to the current one.
func (s *Store) DeltaSince(revision ident.Revision) record.Delta {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.history.deltaSince(revision, s.records.Load())
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

// LedgerKeyCounts returns how many ledger keys are held in full and how many
// are compacted.
func (s *Store) LedgerKeyCounts() (full, compacted int) { return s.ledger.KeyCounts() }

// AuditHead returns the head of the audit chain.
func (s *Store) AuditHead() audit.Head { return s.auditChain.Head() }

// AuditAfter returns the newest audit entries after an index, as
// audit.Chain.After does.
func (s *Store) AuditAfter(index uint64) ([]audit.Entry, error) { return s.auditChain.After(index) }

// ExportAudit writes all new audit entries to the sink. It also returns the
// error of an earlier export that failed within Apply.
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

// Verdicts returns the crash verdicts on requests that are in force, and the
// index of the log entry, or of the restored snapshot, that last changed them.
// The caller must not modify the list.
func (s *Store) Verdicts() ([]*wire.CrashVerdict, uint64) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.verdicts.list, s.verdicts.index
}
