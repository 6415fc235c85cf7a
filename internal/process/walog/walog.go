// Package walog is the synced write-ahead log and snapshot store of one
// member. What Append and SaveSnapshot have returned from without an error is
// on disk. The first failed write or sync makes the log fail for good: what
// reached the disk is then unknown, so nothing is tried again.
package walog

import (
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"

	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// DefaultSegmentBytes is the size after which a new segment is begun.
const DefaultSegmentBytes = 8 << 20

const (
	lockName     = "lock"
	identityName = "identity"
	markName     = "mark"
	unsyncedName = "sync-failed"
	tempSuffix   = ".tmp"
)

// Config sets up a Log. Folder is required.
type Config struct {
	// Folder is the data folder; it is made if it is missing.
	Folder string
	// FS is the file system, the operating system's if nil.
	FS FS
	// SegmentBytes is the size after which a new segment is begun.
	SegmentBytes int64
	// NewID draws the identity of a fresh folder.
	NewID func(rng *rand.Rand) string
	// Rand is what NewID draws from.
	Rand *rand.Rand
}

// State is what a folder held when it was opened. The entries follow the
// snapshot without a gap.
type State struct {
	ID        string
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry
	// TruncatedBytes is the length of the torn tail that was cut off.
	TruncatedBytes int64
}

// Empty reports whether the folder holds no log yet.
func (s *State) Empty() bool {
	return s.HardState == nil && s.Snapshot == nil && len(s.Entries) == 0
}

// Batch is what one Append makes durable together. A snapshot replaces the
// whole log; entries replace all from their first index on.
type Batch struct {
	Snapshot  *raftpb.Snapshot
	HardState *raftpb.HardState
	Entries   []*raftpb.Entry
}

// Log is an open data folder. It is for one goroutine.
type Log struct {
	cfg      Config
	fs       FS
	lock     io.Closer
	mark     File
	segments []segment
	file     File
	size     int64
	hard     *raftpb.HardState
	snapshot uint64
	failure  error
}

// segment is one file of the log; last is the highest entry index in it.
type segment struct {
	number uint64
	last   uint64
}

// Open opens or makes a data folder and returns what it holds. Errors:
// *LockedError, *CorruptError, or what the file system reports.
func Open(cfg Config) (*Log, *State, error) {
	if cfg.FS == nil {
		cfg.FS = OSFS{}
	}
	if cfg.SegmentBytes == 0 {
		cfg.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{cfg: cfg, fs: cfg.FS}
	if err := l.fs.MkdirAll(cfg.Folder); err != nil {
		return nil, nil, fmt.Errorf("make data folder: %w", err)
	}
	lock, err := l.fs.Lock(l.path(lockName))
	if err != nil {
		return nil, nil, fmt.Errorf("lock data folder: %w", err)
	}
	l.lock = lock
	state, err := l.recover()
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
	if err := l.write(batches); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) fail(err error) error {
	l.failure = &FailedError{Cause: err}
	return l.failure
}

func (l *Log) write(batches []Batch) error {
	if l.size >= l.cfg.SegmentBytes {
		if err := l.nextSegment(); err != nil {
			return fmt.Errorf("begin segment: %w", err)
		}
	}
	buf := l.frame(nil, &raftpb.Record{BatchStart: true})
	replaced := false
	for _, batch := range batches {
		if batch.Snapshot != nil {
			replaced = true
			if err := l.writeSnapshot(batch.Snapshot); err != nil {
				return err
			}
		}
		buf = l.frameBatch(buf, batch)
	}
	if err := l.writeSynced(buf); err != nil || !replaced {
		return err
	}
	return l.dropSnapshots()
}

func (l *Log) frameBatch(buf []byte, batch Batch) []byte {
	if batch.Snapshot != nil {
		base := &raftpb.Snapshot{Index: batch.Snapshot.GetIndex(), Term: batch.Snapshot.GetTerm()}
		buf = l.frame(buf, &raftpb.Record{Base: base})
	}
	if batch.HardState != nil {
		l.hard = batch.HardState
		buf = l.frame(buf, &raftpb.Record{HardState: batch.HardState})
	}
	current := &l.segments[len(l.segments)-1]
	for _, entry := range batch.Entries {
		buf = l.frame(buf, &raftpb.Record{Entry: entry})
		current.last = max(current.last, entry.GetIndex())
	}
	return buf
}

func (l *Log) writeSynced(buf []byte) error {
	if _, err := l.file.Write(buf); err != nil {
		return fmt.Errorf("write log: %w", err)
	}
	l.size += int64(len(buf))
	if err := l.file.Sync(); err != nil {
		l.refuseReopen()
		return fmt.Errorf("sync log: %w", err)
	}
	return l.writeMark()
}

// refuseReopen leaves a file that bars the folder after a failed sync: the
// next process would read from the cache what never reached the disk. It is
// best effort, since the disk has just failed.
func (l *Log) refuseReopen() {
	file, err := l.fs.Create(l.path(unsyncedName))
	if err != nil {
		return
	}
	_ = file.Close()
	_ = l.fs.SyncFolder(l.cfg.Folder)
}

// SaveSnapshot makes a snapshot of the machine durable and drops the
// segments whose entries all stand before it.
func (l *Log) SaveSnapshot(snapshot *raftpb.Snapshot) error {
	if l.failure != nil {
		return l.failure
	}
	if snapshot.GetIndex() <= l.snapshot {
		return nil
	}
	if err := l.compact(snapshot); err != nil {
		return l.fail(err)
	}
	return nil
}

func (l *Log) compact(snapshot *raftpb.Snapshot) error {
	if err := l.writeSnapshot(snapshot); err != nil {
		return err
	}
	if err := l.dropSnapshots(); err != nil {
		return err
	}
	if err := l.nextSegment(); err != nil {
		return fmt.Errorf("begin segment: %w", err)
	}
	return l.dropSegments(snapshot.GetIndex())
}

// Close releases the folder.
func (l *Log) Close() error {
	var first error
	for _, c := range []io.Closer{l.file, l.mark, l.lock} {
		if c == nil {
			continue
		}
		if err := c.Close(); err != nil && first == nil {
			first = fmt.Errorf("close data folder: %w", err)
		}
	}
	l.file, l.mark, l.lock = nil, nil, nil
	if l.failure == nil {
		l.failure = &FailedError{Cause: errClosed}
	}
	return first
}

func marshal(m proto.Message) []byte {
	data, err := proto.Marshal(m)
	if err != nil {
		panic(fmt.Sprintf("walog: encode %T: %v", m, err)) // only invalid UTF-8 in identities
	}
	return data
}
