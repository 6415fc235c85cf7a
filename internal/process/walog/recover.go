package walog

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"slices"
	"strconv"
	"strings"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

const (
	segmentPrefix  = "log-"
	snapshotPrefix = "snapshot-"
	nameDigits     = 16
	markBytes      = 24
)

func numbered(prefix string, number uint64) string {
	return fmt.Sprintf("%s%0*x", prefix, nameDigits, number)
}

func parseNumbered(prefix, name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != nameDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

// recover reads the folder, cuts a torn tail, and opens the log for
// appending.
func (l *Log) recover() (*State, error) {
	names, err := l.fs.Names(l.cfg.Folder)
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	if slices.Contains(names, unsyncedName) {
		return nil, &CorruptError{File: unsyncedName, Reason: "a sync failed, so that the cache may hold what the disk does not"}
	}
	state := &State{}
	if state.ID, err = l.identity(names); err != nil {
		return nil, err
	}
	if state.Snapshot, err = l.newestSnapshot(names); err != nil {
		return nil, err
	}
	l.snapshot = state.Snapshot.GetIndex()
	replayed := replay{}
	if err := l.readSegments(names, &replayed, state); err != nil {
		return nil, err
	}
	if err := replayed.finish(state); err != nil {
		return nil, err
	}
	l.hard = state.HardState
	return state, l.openTail(state)
}

// openTail begins a new segment. Where no entry follows the snapshot, older
// segments may end elsewhere, so the new one says where it goes on from.
func (l *Log) openTail(state *State) error {
	if err := l.syncLast(); err != nil {
		return fmt.Errorf("sync last segment: %w", err)
	}
	mark, err := l.fs.Create(l.path(markName))
	if err != nil {
		return fmt.Errorf("open mark: %w", err)
	}
	l.mark = mark
	if err := l.nextSegment(); err != nil {
		return fmt.Errorf("begin segment: %w", err)
	}
	if state.Snapshot == nil || len(state.Entries) > 0 {
		return nil
	}
	base := &raftpb.Snapshot{Index: state.Snapshot.GetIndex(), Term: state.Snapshot.GetTerm()}
	return l.writeSynced(l.frame(nil, &raftpb.Record{BatchStart: true, Base: base}))
}

// syncLast makes durable what was read from the last segment: a process that
// ended between a write and its sync leaves bytes that only the cache holds.
func (l *Log) syncLast() error {
	if len(l.segments) == 0 {
		return nil
	}
	file, err := l.fs.Open(l.path(numbered(segmentPrefix, l.segments[len(l.segments)-1].number)))
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// identity returns the folder's identity, and draws one for a folder that
// holds nothing. A folder that holds a log but no identity is refused.
func (l *Log) identity(names []string) (string, error) {
	if slices.Contains(names, identityName) {
		return l.readIdentity()
	}
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) || strings.HasPrefix(name, snapshotPrefix) {
			return "", &CorruptError{File: identityName, Reason: "missing beside a log"}
		}
	}
	id := l.cfg.NewID(l.cfg.Rand)
	data := marshal(&raftpb.Identity{Format: raftpb.Format, Id: id})
	return id, l.writeFile(identityName, data)
}

func (l *Log) readIdentity() (string, error) {
	payload, err := l.readFile(identityName)
	if err != nil {
		return "", err
	}
	var identity raftpb.Identity
	if err := proto.Unmarshal(payload, &identity); err != nil {
		return "", &CorruptError{File: identityName, Reason: err.Error()}
	}
	if identity.GetFormat() != raftpb.Format {
		return "", &CorruptError{File: identityName, Reason: fmt.Sprintf("unknown format %d", identity.GetFormat())}
	}
	return identity.GetId(), nil
}

func (l *Log) newestSnapshot(names []string) (*raftpb.Snapshot, error) {
	newest := ""
	for _, name := range names {
		if _, ok := parseNumbered(snapshotPrefix, name); ok {
			newest = name
		}
	}
	if newest == "" {
		return nil, nil
	}
	payload, err := l.readFile(newest)
	if err != nil {
		return nil, err
	}
	snapshot := &raftpb.Snapshot{}
	if err := proto.Unmarshal(payload, snapshot); err != nil {
		return nil, &CorruptError{File: newest, Reason: err.Error()}
	}
	return snapshot, nil
}

func (l *Log) readSegments(names []string, into *replay, state *State) error {
	synced := l.readMark()
	for _, name := range names {
		if number, ok := parseNumbered(segmentPrefix, name); ok {
			l.segments = append(l.segments, segment{number: number})
		}
	}
	for i := range l.segments {
		last := i == len(l.segments)-1
		if i > 0 && l.segments[i].number != l.segments[i-1].number+1 {
			return &CorruptError{File: numbered(segmentPrefix, l.segments[i].number), Reason: "segment before it is missing"}
		}
		cut, err := l.readSegment(&l.segments[i], into, last, synced)
		if err != nil {
			return err
		}
		state.TruncatedBytes += cut
	}
	if n := len(l.segments); synced.number > 0 && (n == 0 || l.segments[n-1].number < synced.number) {
		return &CorruptError{File: numbered(segmentPrefix, synced.number), Reason: "synced segment is missing"}
	}
	return nil
}

// readSegment replays one segment and returns how many bytes of a torn tail
// it cut. Only the last segment may have one, and only after what is known
// to be synced.
func (l *Log) readSegment(seg *segment, into *replay, last bool, synced mark) (cut int64, err error) {
	name := numbered(segmentPrefix, seg.number)
	data, err := l.fs.ReadFile(l.path(name))
	if err != nil {
		return 0, fmt.Errorf("read segment: %w", err)
	}
	for offset := int64(0); offset < int64(len(data)); {
		payload, next, ok := readFrame(data, seg.number, offset)
		if !ok {
			return l.cutTail(name, data, seg.number, offset, last, synced)
		}
		var record raftpb.Record
		if err := proto.Unmarshal(payload, &record); err != nil {
			return 0, &CorruptError{File: name, Offset: offset, Reason: err.Error()}
		}
		if err := into.take(&record); err != nil {
			return 0, &CorruptError{File: name, Offset: offset, Reason: err.Error()}
		}
		seg.last = max(seg.last, record.GetEntry().GetIndex())
		offset = next
	}
	if seg.number == synced.number && int64(len(data)) < synced.offset {
		return 0, &CorruptError{File: name, Offset: int64(len(data)), Reason: "synced bytes are missing"}
	}
	return 0, nil
}

func (l *Log) cutTail(name string, data []byte, number uint64, offset int64, last bool, synced mark) (int64, error) {
	reason := ""
	switch {
	case !last:
		reason = "damaged frame before the last segment"
	case synced.number == number && offset < synced.offset:
		reason = "damaged frame among synced bytes"
	case laterBatch(data, number, offset):
		reason = "damaged frame before a later batch"
	case !torn(data, number, offset):
		reason = "damaged frame that was written whole"
	}
	if reason != "" {
		return 0, &CorruptError{File: name, Offset: offset, Reason: reason}
	}
	file, err := l.fs.Open(l.path(name))
	if err != nil {
		return 0, fmt.Errorf("open torn segment: %w", err)
	}
	err = errors.Join(file.Truncate(offset), file.Sync(), file.Close())
	if err != nil {
		return 0, fmt.Errorf("cut torn tail: %w", err)
	}
	return int64(len(data)) - offset, nil
}

// laterBatch reports whether a batch starts after the damaged frame at
// offset, which proves that the frame had been synced.
func laterBatch(data []byte, number uint64, offset int64) bool {
	for at := offset + 1; at+headerBytes <= int64(len(data)); at++ {
		if _, ok := readHeader(data, number, at); !ok {
			continue
		}
		payload, _, ok := readFrame(data, number, at)
		var record raftpb.Record
		if ok && proto.Unmarshal(payload, &record) == nil && record.GetBatchStart() {
			return true
		}
	}
	return false
}

// mark tells up to where the log is known to be synced. Its file is written
// after each sync without one of its own, and may be lost.
type mark struct {
	number uint64
	offset int64
}

func (l *Log) writeMark() error {
	var data [markBytes]byte
	binary.LittleEndian.PutUint64(data[0:], l.segments[len(l.segments)-1].number)
	binary.LittleEndian.PutUint64(data[8:], uint64(l.size))
	binary.LittleEndian.PutUint64(data[16:], checksum(0, 0, data[:16]))
	if _, err := l.mark.WriteAt(data[:], 0); err != nil {
		return fmt.Errorf("write mark: %w", err)
	}
	return nil
}

func (l *Log) readMark() mark {
	data, err := l.fs.ReadFile(l.path(markName))
	if err != nil || len(data) != markBytes || binary.LittleEndian.Uint64(data[16:]) != checksum(0, 0, data[:16]) {
		return mark{}
	}
	return mark{number: binary.LittleEndian.Uint64(data), offset: int64(binary.LittleEndian.Uint64(data[8:]))}
}

// readFile reads a file that writeFile wrote.
func (l *Log) readFile(name string) ([]byte, error) {
	data, err := l.fs.ReadFile(l.path(name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, &CorruptError{File: name, Reason: "missing"}
	}
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	payload, next, ok := readFrame(data, 0, 0)
	if !ok || next != int64(len(data)) {
		return nil, &CorruptError{File: name, Reason: "checksum differs"}
	}
	return payload, nil
}
