package raft

import (
	"sort"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// entryLog is the part of the log after the snapshot, with how far it is
// durable, committed and handed out.
type entryLog struct {
	snapshot *raftpb.Snapshot
	// base and baseTerm are of the entry before the first of entries.
	base     uint64
	baseTerm uint64
	// baseMembers is the member list in force after the entry at base.
	baseMembers *raftpb.Members
	entries     []*raftpb.Entry
	stable      uint64
	commit      uint64
	handed      uint64
}

func newEntryLog(snapshot *raftpb.Snapshot, entries []*raftpb.Entry) entryLog {
	l := entryLog{entries: entries}
	if snapshot != nil {
		l.snapshot = snapshot
		l.base = snapshot.GetIndex()
		l.baseTerm = snapshot.GetTerm()
		l.baseMembers = snapshot.GetMembers()
	}
	l.stable = l.last()
	l.commit = l.base
	l.handed = l.base
	return l
}

func (l *entryLog) last() uint64 { return l.base + uint64(len(l.entries)) }

// termAt returns the term of the entry at index, and false where it is
// compacted away or beyond the end.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	if index == l.base {
		return l.baseTerm, true
	}
	if index < l.base || index > l.last() {
		return 0, false
	}
	return l.at(index).GetTerm(), true
}

func (l *entryLog) at(index uint64) *raftpb.Entry { return l.entries[index-l.base-1] }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.last())
	return term
}

// upToDate reports whether a log that ends as given holds all that this one
// may have committed.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// slice returns the entries from first on, up to about maxAppendBytes.
func (l *entryLog) slice(first uint64) []*raftpb.Entry {
	size := 0
	end := first
	for end <= l.last() && (size < maxAppendBytes) {
		size += len(l.at(end).GetData()) + 16
		end++
	}
	return l.entries[first-l.base-1 : end-l.base-1 : end-l.base-1]
}

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	kept := l.entries[:index-l.base-1]
	l.entries = append([]*raftpb.Entry(nil), kept...)
	l.stable = min(l.stable, index-1)
}

// compact drops the entries up to index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.termAt(index)
	if !ok || index <= l.base {
		return
	}
	l.entries = append([]*raftpb.Entry(nil), l.entries[index-l.base:]...)
	l.base = index
	l.baseTerm = term
}

// hint returns an index at which a leader's log may match this one, given
// that they differ at index.
func (l *entryLog) hint(index uint64) uint64 {
	if index > l.last() {
		return l.last()
	}
	term, ok := l.termAt(index)
	if !ok {
		return l.commit
	}
	first := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].GetTerm() >= term })
	return max(l.commit, l.base+uint64(first))
}
