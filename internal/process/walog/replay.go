package walog

import (
	"fmt"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// replay rebuilds the log from the records of its segments. Base is the
// index before the first entry.
type replay struct {
	begun    bool
	base     uint64
	baseTerm uint64 // zero while unknown
	entries  []*raftpb.Entry
	hard     *raftpb.HardState
}

func (r *replay) take(record *raftpb.Record) error {
	if record.GetHardState() != nil {
		r.hard = record.GetHardState()
	}
	if base := record.GetBase(); base != nil {
		*r = replay{begun: true, base: base.GetIndex(), baseTerm: base.GetTerm(), hard: r.hard}
	}
	if record.GetEntry() == nil {
		return nil
	}
	return r.takeEntry(record.GetEntry())
}

func (r *replay) takeEntry(entry *raftpb.Entry) error {
	index := entry.GetIndex()
	if !r.begun || index <= r.base {
		*r = replay{begun: true, base: index - 1, hard: r.hard}
	}
	if index > r.base+uint64(len(r.entries))+1 {
		return fmt.Errorf("entry %d follows entry %d", index, r.base+uint64(len(r.entries)))
	}
	r.entries = append(r.entries[:index-r.base-1], entry)
	return nil
}

// finish keeps the entries that follow the snapshot.
func (r *replay) finish(state *State) error {
	state.HardState = r.hard
	at := state.Snapshot.GetIndex()
	switch {
	case len(r.entries) == 0 || r.base+uint64(len(r.entries)) <= at:
		return nil
	case r.base > at:
		return &CorruptError{File: numbered(snapshotPrefix, at), Reason: fmt.Sprintf("entries up to %d are missing", r.base)}
	case !r.follows(state.Snapshot):
		return nil
	}
	state.Entries = r.entries[at-r.base:]
	return nil
}

// follows reports whether the entry at the snapshot's index is the
// snapshot's, so that those after it belong to the same history.
func (r *replay) follows(snapshot *raftpb.Snapshot) bool {
	term := r.baseTerm
	if snapshot.GetIndex() > r.base {
		term = r.entries[snapshot.GetIndex()-r.base-1].GetTerm()
	}
	return term == 0 || term == snapshot.GetTerm()
}
