package walog

import (
	"fmt"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// replay rebuilds the log from the records of its segments.
type replay struct {
	started   bool
	base      uint64 // index before the first entry
	baseTerm  uint64 // zero if unknown
	entries   []*raftpb.Entry
	hardState *raftpb.HardState
}

func (r *replay) apply(record *raftpb.Record) error {
	if record.GetHardState() != nil {
		r.hardState = record.GetHardState()
	}
	if base := record.GetBase(); base != nil {
		*r = replay{started: true, base: base.GetIndex(), baseTerm: base.GetTerm(), hardState: r.hardState}
	}
	if record.GetEntry() == nil {
		return nil
	}
	return r.applyEntry(record.GetEntry())
}

func (r *replay) applyEntry(entry *raftpb.Entry) error {
	index := entry.GetIndex()
	// The first entry of a log, or one at or before base, replaces the whole log.
	if !r.started || index <= r.base {
		*r = replay{started: true, base: index - 1, hardState: r.hardState}
	}
	if index > r.base+uint64(len(r.entries))+1 {
		return fmt.Errorf("entry %d after entry %d", index, r.base+uint64(len(r.entries)))
	}
	r.entries = append(r.entries[:index-r.base-1], entry)
	return nil
}

// finish stores the hard state and the entries that follow the snapshot in state.
func (r *replay) finish(state *State) error {
	state.HardState = r.hardState
	snapshotIndex := state.Snapshot.GetIndex()
	switch {
	case len(r.entries) == 0 || r.base+uint64(len(r.entries)) <= snapshotIndex:
		return nil
	case r.base > snapshotIndex:
		return &CorruptError{File: numberedName(snapshotPrefix, snapshotIndex), Reason: fmt.Sprintf("entries up to %d are missing", r.base)}
	// The entries belong to another history than the snapshot, which replaced them.
	case !r.matchesSnapshot(state.Snapshot):
		return nil
	}
	state.Entries = r.entries[snapshotIndex-r.base:]
	return nil
}

// matchesSnapshot reports whether the entry at the snapshot's index has the
// snapshot's term, so that the entries after it continue the snapshot.
func (r *replay) matchesSnapshot(snapshot *raftpb.Snapshot) bool {
	term := r.baseTerm
	if snapshot.GetIndex() > r.base {
		term = r.entries[snapshot.GetIndex()-r.base-1].GetTerm()
	}
	return term == 0 || term == snapshot.GetTerm()
}
