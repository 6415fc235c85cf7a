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
	syncMarkBytes  = 24
)

func numberedName(prefix string, number uint64) string {
	return fmt.Sprintf("%s%0*x", prefix, nameDigits, number)
}

func parseNumberedName(prefix, name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != nameDigits {
		return 0, false
	}
	number, err := strconv.ParseUint(digits, 16, 64)
	return number, err == nil
}

// load reads the data folder, cuts off a torn tail and opens the log for
// appending.
func (l *Log) load() (*State, error) {
	names, err := l.fs.Names(l.cfg.Folder)
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	if slices.Contains(names, syncFailedName) {
		return nil, &CorruptError{File: syncFailedName, Reason: "an earlier sync failed; the page cache may hold data that is not on disk"}
	}
	state := &State{}
	if state.ID, err = l.loadOrCreateIdentity(names); err != nil {
		return nil, err
	}
	if state.Snapshot, err = l.newestSnapshot(names); err != nil {
		return nil, err
	}
	l.snapshotIndex = state.Snapshot.GetIndex()
	replayed := replay{}
	if err := l.readSegments(names, &replayed, state); err != nil {
		return nil, err
	}
	if err := replayed.finish(state); err != nil {
		return nil, err
	}
	l.hardState = state.HardState
	return state, l.openForAppend(state)
}

// openForAppend starts a new segment. If no entry follows the snapshot, the older
// segments may end at a different index. A base record then makes the log continue
// after the snapshot.
func (l *Log) openForAppend(state *State) error {
	if err := l.syncLastSegment(); err != nil {
		return fmt.Errorf("sync last segment: %w", err)
	}
	mark, err := l.fs.Create(l.path(syncMarkName))
	if err != nil {
		return fmt.Errorf("open sync mark: %w", err)
	}
	l.markFile = mark
	if err := l.startSegment(); err != nil {
		return fmt.Errorf("start segment: %w", err)
	}
	if state.Snapshot == nil || len(state.Entries) > 0 {
		return nil
	}
	base := &raftpb.Snapshot{Index: state.Snapshot.GetIndex(), Term: state.Snapshot.GetTerm()}
	return l.writeSynced(l.appendRecord(nil, &raftpb.Record{BatchStart: true, Base: base}))
}

// syncLastSegment syncs the last segment. If a process ended between a write and
// its sync, the bytes just read from the segment may only be in the page cache.
func (l *Log) syncLastSegment() error {
	if len(l.segments) == 0 {
		return nil
	}
	file, err := l.fs.Open(l.path(numberedName(segmentPrefix, l.segments[len(l.segments)-1].number)))
	if err != nil {
		return err
	}
	return errors.Join(file.Sync(), file.Close())
}

// loadOrCreateIdentity returns the identity of the data folder. For an empty
// folder it creates one; a folder with a log but no identity is corrupt.
func (l *Log) loadOrCreateIdentity(names []string) (string, error) {
	if slices.Contains(names, identityName) {
		return l.readIdentity()
	}
	for _, name := range names {
		if strings.HasPrefix(name, segmentPrefix) || strings.HasPrefix(name, snapshotPrefix) {
			return "", &CorruptError{File: identityName, Reason: "missing although a log exists"}
		}
	}
	id := l.cfg.NewID(l.cfg.Rand)
	data := marshal(&raftpb.Identity{Format: raftpb.Format, Id: id})
	return id, l.writeFileAtomic(identityName, data)
}

func (l *Log) readIdentity() (string, error) {
	payload, err := l.readFramedFile(identityName)
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
		if _, ok := parseNumberedName(snapshotPrefix, name); ok {
			newest = name
		}
	}
	if newest == "" {
		return nil, nil
	}
	payload, err := l.readFramedFile(newest)
	if err != nil {
		return nil, err
	}
	snapshot := &raftpb.Snapshot{}
	if err := proto.Unmarshal(payload, snapshot); err != nil {
		return nil, &CorruptError{File: newest, Reason: err.Error()}
	}
	return snapshot, nil
}

func (l *Log) readSegments(names []string, replayed *replay, state *State) error {
	synced := l.readSyncMark()
	for _, name := range names {
		if number, ok := parseNumberedName(segmentPrefix, name); ok {
			l.segments = append(l.segments, segment{number: number})
		}
	}
	for i := range l.segments {
		isLast := i == len(l.segments)-1
		if i > 0 && l.segments[i].number != l.segments[i-1].number+1 {
			return &CorruptError{File: numberedName(segmentPrefix, l.segments[i].number), Reason: "previous segment is missing"}
		}
		cut, err := l.readSegment(&l.segments[i], replayed, isLast, synced)
		if err != nil {
			return err
		}
		state.TruncatedBytes += cut
	}
	if n := len(l.segments); synced.segmentNumber > 0 && (n == 0 || l.segments[n-1].number < synced.segmentNumber) {
		return &CorruptError{File: numberedName(segmentPrefix, synced.segmentNumber), Reason: "synced segment is missing"}
	}
	return nil
}

// readSegment replays one segment and returns the number of bytes of a torn tail
// that it cut off. Only the last segment may have a torn tail, and only after
// the position that is known to be synced.
func (l *Log) readSegment(seg *segment, replayed *replay, isLast bool, synced syncMark) (cut int64, err error) {
	name := numberedName(segmentPrefix, seg.number)
	data, err := l.fs.ReadFile(l.path(name))
	if err != nil {
		return 0, fmt.Errorf("read segment: %w", err)
	}
	for offset := int64(0); offset < int64(len(data)); {
		payload, next, ok := readFrame(data, seg.number, offset)
		if !ok {
			return l.truncateIfTorn(name, data, seg.number, offset, isLast, synced)
		}
		var record raftpb.Record
		if err := proto.Unmarshal(payload, &record); err != nil {
			return 0, &CorruptError{File: name, Offset: offset, Reason: err.Error()}
		}
		if err := replayed.apply(&record); err != nil {
			return 0, &CorruptError{File: name, Offset: offset, Reason: err.Error()}
		}
		seg.lastIndex = max(seg.lastIndex, record.GetEntry().GetIndex())
		offset = next
	}
	if seg.number == synced.segmentNumber && int64(len(data)) < synced.offset {
		return 0, &CorruptError{File: name, Offset: int64(len(data)), Reason: "synced bytes are missing"}
	}
	return 0, nil
}

// truncateIfTorn truncates the segment at the damaged frame at offset if the damage
// can be the result of an unsynced write, and returns *CorruptError otherwise.
func (l *Log) truncateIfTorn(name string, data []byte, segmentNumber uint64, offset int64, isLast bool, synced syncMark) (int64, error) {
	reason := ""
	switch {
	case !isLast:
		reason = "damaged frame in a segment that is not the last"
	case synced.segmentNumber == segmentNumber && offset < synced.offset:
		reason = "damaged frame in the synced part"
	case laterBatchExists(data, segmentNumber, offset):
		reason = "damaged frame before a later batch"
	case !isTorn(data, segmentNumber, offset):
		reason = "damaged frame that had been written completely"
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

// laterBatchExists reports whether a batch starts after the damaged frame at
// offset. A batch is written only after the one before it is synced, so the
// damaged frame was already synced.
func laterBatchExists(data []byte, segmentNumber uint64, offset int64) bool {
	for at := offset + 1; at+headerBytes <= int64(len(data)); at++ {
		if _, ok := readHeader(data, segmentNumber, at); !ok {
			continue
		}
		payload, _, ok := readFrame(data, segmentNumber, at)
		var record raftpb.Record
		if ok && proto.Unmarshal(payload, &record) == nil && record.GetBatchStart() {
			return true
		}
	}
	return false
}

// syncMark is a position up to which the log is known to be synced. Its file is
// written after each sync of the log but is not synced itself, so it may be lost.
type syncMark struct {
	segmentNumber uint64
	offset        int64
}

func (l *Log) writeSyncMark() error {
	var data [syncMarkBytes]byte
	binary.LittleEndian.PutUint64(data[0:], l.segments[len(l.segments)-1].number)
	binary.LittleEndian.PutUint64(data[8:], uint64(l.segmentSize))
	binary.LittleEndian.PutUint64(data[16:], checksum(0, 0, data[:16]))
	if _, err := l.markFile.WriteAt(data[:], 0); err != nil {
		return fmt.Errorf("write sync mark: %w", err)
	}
	return nil
}

func (l *Log) readSyncMark() syncMark {
	data, err := l.fs.ReadFile(l.path(syncMarkName))
	if err != nil || len(data) != syncMarkBytes || binary.LittleEndian.Uint64(data[16:]) != checksum(0, 0, data[:16]) {
		return syncMark{}
	}
	return syncMark{segmentNumber: binary.LittleEndian.Uint64(data), offset: int64(binary.LittleEndian.Uint64(data[8:]))}
}

// readFramedFile reads a file written by writeFileAtomic.
func (l *Log) readFramedFile(name string) ([]byte, error) {
	data, err := l.fs.ReadFile(l.path(name))
	if errors.Is(err, fs.ErrNotExist) {
		return nil, &CorruptError{File: name, Reason: "missing"}
	}
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	payload, next, ok := readFrame(data, 0, 0)
	if !ok || next != int64(len(data)) {
		return nil, &CorruptError{File: name, Reason: "checksum mismatch"}
	}
	return payload, nil
}
