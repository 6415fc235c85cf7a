// Package walog implements the write-ahead log and snapshot store of one member.
// Data is on disk when Append or SaveSnapshot returns without an error. After the
// first failed write or sync all later writes fail, because it is unknown what has
// reached the disk; nothing is retried.
package walog

import (
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// DefaultSegmentBytes is the default of Config.SegmentBytes.
const DefaultSegmentBytes = 8 << 20

const (
	lockName       = "lock"
	identityName   = "identity"
	syncMarkName   = "mark"
	syncFailedName = "sync-failed"
	tempSuffix     = ".tmp"
)

// Config configures a Log. Folder is required. NewID is required if the data folder
// is empty.
type Config struct {
	// Folder is the data folder. It is created if it does not exist.
	Folder string
	// FS is the file system; nil means OSFS.
	FS FS
	// SegmentBytes is the size after which a new segment is started; zero means
	// DefaultSegmentBytes.
	SegmentBytes int64
	// NewID generates the identity of an empty data folder.
	NewID func(rng *rand.Rand) string
	// Rand is passed to NewID.
	Rand *rand.Rand
}

// State is the content of a data folder when it was opened. Entries directly
// follow Snapshot.
type State struct {
	ID        string
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
	// TruncatedBytes is the size of the torn tail that was cut off.
	TruncatedBytes int64
}

// Empty reports whether the data folder held no log.
func (s *State) Empty() bool {
	return s.HardState == nil && s.Snapshot == nil && len(s.Entries) == 0
}

// Batch is data that Append writes together. Snapshot replaces the whole log;
// Entries replace all entries from their first index on.
type Batch struct {
	Snapshot  *raftpb.Snapshot
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry
}

// Log is an open data folder. It is not safe for concurrent use.
type Log struct {
	cfg           Config
	fs            FS
	lock          io.Closer
	markFile      File
	segments      []segment
	segmentFile   File
	segmentSize   int64
	hardState     *raftpb.HardState
	snapshotIndex uint64 // index of the newest snapshot
	failure       error  // returned by all writes after the first failed one
}

// segment is one file of the log. lastIndex is the highest index of its entries.
type segment struct {
	number    uint64
	lastIndex uint64
}

// Open opens or creates a data folder and returns its content. The error may be
// *LockedError, *CorruptError or an error of the file system.
func Open(cfg Config) (*Log, *State, error) {
	if cfg.FS == nil {
		cfg.FS = OSFS{}
	}
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{cfg: cfg, fs: cfg.FS}
	if err := l.fs.MkdirAll(cfg.Folder); err != nil {
		return nil, nil, fmt.Errorf("create data folder: %w", err)
	}
	lock, err := l.fs.Lock(l.path(lockName))
	if err != nil {
		return nil, nil, fmt.Errorf("lock data folder: %w", err)
	}
	l.lock = lock
	state, err := l.load()
	if err != nil {
		_ = l.Close()
		return nil, nil, err
	}
	return l, state, nil
}

func (l *Log) path(name string) string { return filepath.Join(l.cfg.Folder, name) }

// Append makes batches durable with one sync.
func (l *Log) Append(batches ...Batch) error {
	if l.failure != nil {
		return l.failure
	}
	if err := l.writeBatches(batches); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) fail(err error) error {
	l.failure = &FailedError{Cause: err}
	return l.failure
}

func (l *Log) writeBatches(batches []Batch) error {
	if l.segmentSize >= l.cfg.SegmentBytes {
		if err := l.startSegment(); err != nil {
			return fmt.Errorf("start segment: %w", err)
		}
	}
	buf := l.appendRecord(nil, &raftpb.Record{BatchStart: true})
	hasSnapshot := false
	for _, batch := range batches {
		if batch.Snapshot != nil {
			hasSnapshot = true
			if err := l.writeSnapshot(batch.Snapshot); err != nil {
				return err
			}
		}
		buf = l.appendBatch(buf, batch)
	}
	if err := l.writeSynced(buf); err != nil || !hasSnapshot {
		return err
	}
	return l.removeOldSnapshots()
}

func (l *Log) appendBatch(buf []byte, batch Batch) []byte {
	if batch.Snapshot != nil {
		base := &raftpb.Snapshot{Index: batch.Snapshot.GetIndex(), Term: batch.Snapshot.GetTerm()}
		buf = l.appendRecord(buf, &raftpb.Record{Base: base})
	}
	if batch.HardState != nil {
		l.hardState = batch.HardState
		buf = l.appendRecord(buf, &raftpb.Record{HardState: batch.HardState})
	}
	current := &l.segments[len(l.segments)-1]
	for _, entry := range batch.Entries {
		buf = l.appendRecord(buf, &raftpb.Record{Entry: entry})
		current.lastIndex = max(current.lastIndex, entry.GetIndex())
	}
	return buf
}

func (l *Log) writeSynced(buf []byte) error {
	if _, err := l.segmentFile.Write(buf); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	l.segmentSize += int64(len(buf))
	if err := l.segmentFile.Sync(); err != nil {
		l.markSyncFailed()
		return fmt.Errorf("sync log: %w", err)
	}
	return l.writeSyncMark()
}

// markSyncFailed creates a file that prevents the data folder from being opened
// again after a failed sync: the next process could read data from the page cache
// that never reached the disk. Errors are ignored, because the disk has just
// failed.
func (l *Log) markSyncFailed() {
	file, err := l.fs.Create(l.path(syncFailedName))
	if err != nil {
		return
	}
	_ = file.Close()
	_ = l.fs.SyncFolder(l.cfg.Folder)
}

// SaveSnapshot makes a snapshot of the state machine durable and removes the
// segments that hold only entries covered by it. A snapshot that is not newer
// than the current one is ignored.
func (l *Log) SaveSnapshot(snapshot *raftpb.Snapshot) error {
	if l.failure != nil {
		return l.failure
	}
	if snapshot.GetIndex() <= l.snapshotIndex {
		return nil
	}
	if err := l.compact(snapshot); err != nil {
		return l.fail(err)
	}
	return nil
}

// compact saves a snapshot and removes the older snapshots and the segments that
// hold only entries covered by it.
func (l *Log) compact(snapshot *raftpb.Snapshot) error {
	if err := l.writeSnapshot(snapshot); err != nil {
		return err
	}
	if err := l.removeOldSnapshots(); err != nil {
		return err
	}
	if err := l.startSegment(); err != nil {
		return fmt.Errorf("start segment: %w", err)
	}
	return l.removeOldSegments(snapshot.GetIndex())
}

// Close closes the files and releases the lock of the data folder.
func (l *Log) Close() error {
	var first error
	for _, c := range []io.Closer{l.segmentFile, l.markFile, l.lock} {
		if c == nil {
			continue
		}
		if err := c.Close(); err != nil && first == nil {
			first = fmt.Errorf("close data folder: %w", err)
		}
	}
	l.segmentFile, l.markFile, l.lock = nil, nil, nil
	if l.failure == nil {
		l.failure = &FailedError{Cause: errClosed}
	}
	return first
}

func marshal(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("walog: encode %T: %v", m, err)) // happens only if an identity is not valid UTF-8
	}
	return data
}
