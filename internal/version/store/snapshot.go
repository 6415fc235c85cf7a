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

// Snapshot returns the whole state, the same bytes for the same entries.
func (s *Store) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	out := &cmdpb.Snapshot{
		Format: Format, Applied: s.applied, Time: s.now.UnixNano(), Revision: s.revision(),
		Changes:   s.answers.order,
		Processes: s.processes.sorted(), Incarnations: s.processes.last,
		Fences: s.fences.sorted(), LastFence: uint64(s.fences.last),
		Crashes: encodeCrashes(s.crashes.Entries()),
	}
	s.saveRecords(out)
	var err error
	if out.Document, err = s.document.encode(); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if out.Ledger, err = s.ledger.Snapshot(); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if out.Audit, err = s.chain.Snapshot(); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return data, nil
}

// saveRecords adds the records, their history and their floors.
func (s *Store) saveRecords(out *cmdpb.Snapshot) {
	for _, r := range s.set.Load().List("") {
		out.Records = append(out.Records, r.JSON())
	}
	for _, step := range s.history.steps {
		saved := &cmdpb.HistoryStep{Revision: uint64(step.revision)}
		for _, key := range step.keys {
			saved.Keys = append(saved.Keys, key.String())
		}
		out.History = append(out.History, saved)
	}
	for kind, version := range s.floors {
		out.Floors = append(out.Floors, &cmdpb.RetiredFloor{Kind: string(kind), Version: uint64(version)})
	}
	slices.SortFunc(out.GetFloors(), func(a, b *cmdpb.RetiredFloor) int {
		return cmp.Compare(a.GetKind(), b.GetKind())
	})
}

// Restore replaces the whole state by a snapshot, or changes nothing and
// returns an error. A snapshot from before the last applied entry is refused.
func (s *Store) Restore(data []byte) error {
	var in cmdpb.Snapshot
	if err := proto.Unmarshal(data, &in); err != nil {
		return fmt.Errorf("decode snapshot: %w", err)
	}
	if in.GetFormat() > Format {
		return fmt.Errorf("restore snapshot: %w", &FormatError{Format: in.GetFormat()})
	}
	if applied := s.AppliedIndex(); in.GetApplied() < applied {
		return fmt.Errorf("snapshot ends at entry %d, below applied entry %d", in.GetApplied(), applied)
	}
	fresh := New(Config{
		Ledger: s.cfg.Ledger, Audit: s.cfg.Audit, Poison: s.cfg.Poison, HistoryRevisions: s.cfg.HistoryRevisions,
	})
	if err := fresh.load(&in); err != nil {
		return fmt.Errorf("restore snapshot: %w", err)
	}
	return s.take(fresh, &in)
}

// load fills an empty store.
func (s *Store) load(in *cmdpb.Snapshot) error {
	s.applied = in.GetApplied()
	s.now = time.Unix(0, in.GetTime()).UTC()
	if err := s.loadRecords(in); err != nil {
		return err
	}
	for _, answer := range in.GetChanges() {
		s.answers.add(answer)
	}
	s.processes.last = in.GetIncarnations()
	for _, process := range in.GetProcesses() {
		s.processes.byName[process.GetName()] = process
	}
	s.fences.last = ident.Fence(in.GetLastFence())
	for _, fence := range in.GetFences() {
		s.fences.byTarget[ident.TargetName(fence.GetTarget())] = ident.Fence(fence.GetFence())
	}
	s.crashes = poison.NewTracker(s.cfg.Poison)
	s.crashes.Merge(decodeCrashes(in.GetCrashes()))
	var err error
	if s.document, err = decodeDocument(in.GetDocument()); err != nil {
		return err
	}
	if err := s.ledger.Restore(in.GetLedger()); err != nil {
		return err
	}
	return s.chain.Restore(in.GetAudit())
}

// loadRecords fills in the records, their history and their floors.
func (s *Store) loadRecords(in *cmdpb.Snapshot) error {
	records := make([]*record.Record, 0, len(in.GetRecords()))
	for _, data := range in.GetRecords() {
		r, err := record.ParseCommitted(data)
		if err != nil {
			return err
		}
		records = append(records, r)
	}
	s.set.Store(record.NewSet(ident.Revision(in.GetRevision()), records))
	first := in.GetRevision() + 1 - uint64(len(in.GetHistory()))
	for i, saved := range in.GetHistory() {
		if saved.GetRevision() != first+uint64(i) {
			return fmt.Errorf("history holds revision %d in place of %d", saved.GetRevision(), first+uint64(i))
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
	for _, floor := range in.GetFloors() {
		s.floors[record.Kind(floor.GetKind())] = ident.Version(floor.GetVersion())
	}
	return nil
}

// take replaces the state by that of a store that was loaded whole.
func (s *Store) take(fresh *Store, in *cmdpb.Snapshot) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.ledger.Restore(in.GetLedger()); err != nil {
		return err
	}
	if err := s.chain.Restore(in.GetAudit()); err != nil {
		return err
	}
	s.applied, s.now = fresh.applied, fresh.now
	s.floors, s.history, s.answers = fresh.floors, fresh.history, fresh.answers
	s.processes, s.fences, s.crashes = fresh.processes, fresh.fences, fresh.crashes
	s.document = fresh.document
	s.set.Store(fresh.set.Load())
	s.verdictsChanged()
	return nil
}
