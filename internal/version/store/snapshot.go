package store

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/request/poison"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/record"
)

// Snapshot returns the whole state. The bytes are the same on every replica
// that has applied the same entries.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	snapshot := &cmdpb.Snapshot{
		Format: s.snapshotFormat(), Applied: s.applied, Time: s.now.UnixNano(), Revision: s.revision(),
		Changes:   s.changeResults.order,
		Processes: s.processes.sorted(), Incarnations: s.processes.lastIncarnation,
		Fences: s.fences.sorted(), LastFence: uint64(s.fences.lastFence),
		Crashes: crashesToProto(s.crashes.Entries()), Software: softwareToProto(s.software),
		Evacuations: EvacuationsToProto(s.evacuations.list),
	}
	s.saveRecords(snapshot)
	var err error
	if snapshot.Document, err = s.document.toProto(); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if snapshot.Ledger, err = s.ledger.Snapshot(); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if snapshot.Audit, err = s.auditChain.Snapshot(); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(snapshot)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// snapshotFormat returns the oldest format that can hold the state.
func (s *Store) snapshotFormat() uint32 {
	if slices.ContainsFunc(s.crashes.Entries(), func(e poison.Entry) bool { return slices.ContainsFunc(e.Crashes, isExplained) }) {
		return formatKeptCrashes
	}
	if len(s.evacuations.list) > 0 {
		return formatEvacuation
	}
	if len(s.software) > 0 {
		return formatSoftware
	}
	var format uint32 = formatBase
	for _, entry := range s.crashes.Entries() {
		switch {
		case entry.Part.Depth > 0:
			return formatPartReport
		case slices.ContainsFunc(entry.Crashes, func(c poison.Crash) bool { return c.Direct }):
			format = formatGateReport
		}
	}
	return format
}

func isExplained(crash poison.Crash) bool { return crash.ExplainedBy != 0 }

// saveRecords adds the records, their history and the highest retired versions
// to a snapshot.
func (s *Store) saveRecords(snapshot *cmdpb.Snapshot) {
	for _, r := range s.records.Load().List("") {
		snapshot.Records = append(snapshot.Records, r.JSON())
	}
	for _, step := range s.history.steps {
		saved := &cmdpb.HistoryStep{Revision: uint64(step.revision)}
		for _, key := range step.keys {
			saved.Keys = append(saved.Keys, key.String())
		}
		snapshot.History = append(snapshot.History, saved)
	}
	for kind, version := range s.retiredVersions {
		snapshot.Floors = append(snapshot.Floors, &cmdpb.RetiredFloor{Kind: string(kind), Version: uint64(version)})
	}
	slices.SortFunc(snapshot.GetFloors(), func(a, b *cmdpb.RetiredFloor) int {
		return cmp.Compare(a.GetKind(), b.GetKind())
	})
}

// Restore replaces the whole state with that of a snapshot, or changes nothing
// and returns an error. It refuses a snapshot that is older than the last
// applied entry.
func (s *Store) Restore(data []byte) error {
	var snapshot cmdpb.Snapshot
	if err := proto.Unmarshal(data, &snapshot); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if snapshot.GetFormat() > Format {
		return fmt.Errorf("restore snapshot: %w", &FormatError{Format: snapshot.GetFormat()})
	}
	if applied := s.AppliedIndex(); snapshot.GetApplied() < applied {
		return fmt.Errorf("snapshot ends at entry %d, below applied entry %d", snapshot.GetApplied(), applied)
	}
	loaded := New(Config{
		Ledger: s.cfg.Ledger, Audit: s.cfg.Audit, Poison: s.cfg.Poison, HistoryRevisions: s.cfg.HistoryRevisions,
	})
	if err := loaded.load(&snapshot); err != nil {
		return fmt.Errorf("restore snapshot: %w", err)
	}
	return s.replaceState(loaded, &snapshot)
}

// load fills an empty store from a snapshot.
func (s *Store) load(snapshot *cmdpb.Snapshot) error {
	s.applied = snapshot.GetApplied()
	s.now = time.Unix(0, snapshot.GetTime()).UTC()
	if err := s.loadRecords(snapshot); err != nil {
		return err
	}
	for _, answer := range snapshot.GetChanges() {
		s.changeResults.add(answer)
	}
	s.processes.lastIncarnation = snapshot.GetIncarnations()
	for _, process := range snapshot.GetProcesses() {
		s.processes.byName[process.GetName()] = process
	}
	s.fences.lastFence = ident.Fence(snapshot.GetLastFence())
	for _, fence := range snapshot.GetFences() {
		s.fences.byTarget[ident.TargetName(fence.GetTarget())] = ident.Fence(fence.GetFence())
	}
	s.crashes = poison.NewTracker(s.cfg.Poison)
	s.crashes.Merge(crashesFromProto(snapshot.GetCrashes()))
	s.software = softwareFromProto(snapshot.GetSoftware())
	s.evacuations = restoredEvacuations(snapshot.GetEvacuations(), snapshot.GetApplied())
	var err error
	if s.document, err = documentFromProto(snapshot.GetDocument()); err != nil {
		return err
	}
	if err := s.ledger.Restore(snapshot.GetLedger()); err != nil {
		return err
	}
	return s.auditChain.Restore(snapshot.GetAudit())
}

// loadRecords loads the records, their history and the highest retired
// versions.
func (s *Store) loadRecords(snapshot *cmdpb.Snapshot) error {
	records := make([]*record.Record, 0, len(snapshot.GetRecords()))
	for _, data := range snapshot.GetRecords() {
		r, err := record.ParseCommitted(data)
		if err != nil {
			return err
		}
		records = append(records, r)
	}
	s.records.Store(record.NewSet(ident.Revision(snapshot.GetRevision()), records))
	first := snapshot.GetRevision() + 1 - uint64(len(snapshot.GetHistory()))
	for i, saved := range snapshot.GetHistory() {
		if saved.GetRevision() != first+uint64(i) {
			return fmt.Errorf("history holds revision %d, want %d", saved.GetRevision(), first+uint64(i))
		}
		keys := make([]record.Key, 0, len(saved.GetKeys()))
		for _, text := range saved.GetKeys() {
			key, err := record.ParseKey(text)
			if err != nil {
				return err
			}
			keys = append(keys, key)
		}
		s.history.push(ident.Revision(saved.GetRevision()), keys)
	}
	for _, floor := range snapshot.GetFloors() {
		s.retiredVersions[record.Kind(floor.GetKind())] = ident.Version(floor.GetVersion())
	}
	return nil
}

// replaceState replaces the state with that of a store loaded from the
// snapshot.
func (s *Store) replaceState(loaded *Store, snapshot *cmdpb.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.ledger.Restore(snapshot.GetLedger()); err != nil {
		return err
	}
	if err := s.auditChain.Restore(snapshot.GetAudit()); err != nil {
		return err
	}
	s.applied, s.now = loaded.applied, loaded.now
	s.retiredVersions, s.history, s.changeResults = loaded.retiredVersions, loaded.history, loaded.changeResults
	s.processes, s.fences, s.crashes = loaded.processes, loaded.fences, loaded.crashes
	s.document, s.software, s.evacuations = loaded.document, loaded.software, loaded.evacuations
	s.records.Store(loaded.records.Load())
	s.updateVerdicts()
	return nil
}
