package raft

import (
	"sort"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// entryLog is the newest snapshot and the part of the log that has not been
// compacted, which may begin before the index of the snapshot.
type entryLog struct {
	snapshot *raftpb.Snapshot
	// baseIndex and baseTerm are the index and term of the entry before entries[0].
	baseIndex uint64
	baseTerm  uint64
	// baseMembers is the member list in effect after the entry at baseIndex.
	baseMembers    *raftpb.Members
	entries        []*raftpb.Entry
	durableIndex   uint64 // last index that is durable on this member; see Node.restore for snapshots
	commitIndex    uint64 // last committed index
	deliveredIndex uint64 // last index returned in Ready.Committed
}

func newEntryLog(snapshot *raftpb.Snapshot, entries []*raftpb.Entry) entryLog {
	l := entryLog{entries: entries}
	if snapshot != nil {
		l.snapshot = snapshot
		l.baseIndex = snapshot.GetIndex()
		l.baseTerm = snapshot.GetTerm()
		l.baseMembers = snapshot.GetMembers()
	}
	l.durableIndex = l.last()
	l.commitIndex = l.baseIndex
	l.deliveredIndex = l.baseIndex
	return l
}

func (l *entryLog) last() uint64 { return l.baseIndex + uint64(len(l.entries)) }

// termAt returns the term of the entry at index. It returns false if the entry
// has been compacted or index is beyond the end of the log.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	if index == l.baseIndex {
		return l.baseTerm, true
	}
	if index < l.baseIndex || index > l.last() {
		return 0, false
	}
	return l.entry(index).GetTerm(), true
}

func (l *entryLog) entry(index uint64) *raftpb.Entry { return l.entries[index-l.baseIndex-1] }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.last())
	return term
}

// candidateUpToDate reports whether a candidate's log, whose last entry has the
// given index and term, is at least as up to date as this one, and so holds every
// entry that this one may have committed.
func (l *entryLog) candidateUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}

// entriesFrom returns the entries from index first on, up to about
// maxAppendBytes. It counts 16 bytes for each entry besides its data.
func (l *entryLog) entriesFrom(first uint64) []*raftpb.Entry {
	size := 0
	end := first
	for end <= l.last() && (size < maxAppendBytes) {
		size += len(l.entry(end).GetData()) + 16
		end++
	}
	return l.entries[first-l.baseIndex-1 : end-l.baseIndex-1 : end-l.baseIndex-1]
}

// truncate removes the entries from index on.
func (l *entryLog) truncate(index uint64) {
	kept := l.entries[:index-l.baseIndex-1]
	l.entries = append([]*raftpb.Entry(nil), kept...)
	l.durableIndex = min(l.durableIndex, index-1)
}

// compact removes the entries up to and including index.
func (l *entryLog) compact(index uint64) {
	term, ok := l.termAt(index)
	if !ok || index <= l.baseIndex {
		return
	}
	l.entries = append([]*raftpb.Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex = index
	l.baseTerm = term
}

// rejectHint returns an index at which the leader's log may match this one,
// given that they conflict at index. It skips all entries of the conflicting
// term.
func (l *entryLog) rejectHint(index uint64) uint64 {
	if index > l.last() {
		return l.last()
	}
	term, ok := l.termAt(index)
	if !ok {
		return l.commitIndex
	}
	first := sort.Search(len(l.entries), func(i int) bool { return l.entries[i].GetTerm() >= term })
	return max(l.commitIndex, l.baseIndex+uint64(first))
}
