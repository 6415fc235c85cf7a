package walog

import (
	"errors"
	"fmt"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// writeFileAtomic replaces a whole file. After a crash the file holds either the
// old or the new content.
func (l *Log) writeFileAtomic(name string, payload []byte) error {
	temp := l.path(name + tempSuffix)
	file, err := l.fs.Create(temp)
	if err != nil {
		return fmt.Errorf("create %s: %w", name, err)
	}
	_, err = file.Write(appendFrame(nil, 0, 0, payload))
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := l.fs.Rename(temp, l.path(name)); err != nil {
		return fmt.Errorf("rename %s: %w", name, err)
	}
	if err := l.fs.SyncFolder(l.cfg.Folder); err != nil {
		return fmt.Errorf("sync folder of %s: %w", name, err)
	}
	return nil
}

func (l *Log) writeSnapshot(snapshot *raftpb.Snapshot) error {
	if err := l.writeFileAtomic(numberedName(snapshotPrefix, snapshot.GetIndex()), marshal(snapshot)); err != nil {
		return err
	}
	l.snapshotIndex = snapshot.GetIndex()
	return nil
}

// removeOldSnapshots removes all snapshots that are older than the current one.
func (l *Log) removeOldSnapshots() error {
	names, err := l.fs.Names(l.cfg.Folder)
	if err != nil {
		return fmt.Errorf("list data folder: %w", err)
	}
	for _, name := range names {
		index, ok := parseNumberedName(snapshotPrefix, name)
		if !ok || index >= l.snapshotIndex {
			continue
		}
		if err := l.fs.Remove(l.path(name)); err != nil {
			return fmt.Errorf("remove old snapshot: %w", err)
		}
	}
	return nil
}

// startSegment creates a segment that begins with the hard state, so that older
// segments can be removed. The folder is synced before the first write.
func (l *Log) startSegment() error {
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	file, err := l.fs.Create(l.path(numberedName(segmentPrefix, number)))
	if err != nil {
		return fmt.Errorf("create segment: %w", err)
	}
	if err := l.fs.SyncFolder(l.cfg.Folder); err != nil {
		_ = file.Close()
		return fmt.Errorf("sync folder: %w", err)
	}
	if l.segmentFile != nil {
		if err := l.segmentFile.Close(); err != nil {
			_ = file.Close()
			return fmt.Errorf("close previous segment: %w", err)
		}
	}
	l.segmentFile = file
	l.segmentSize = 0
	l.segments = append(l.segments, segment{number: number})
	buf := l.appendRecord(nil, &raftpb.Record{BatchStart: true, HardState: l.hardState})
	return l.writeSynced(buf)
}

// removeOldSegments removes the oldest segments that hold no entry after index.
func (l *Log) removeOldSegments(index uint64) error {
	for len(l.segments) > 1 && l.segments[0].lastIndex <= index {
		if err := l.fs.Remove(l.path(numberedName(segmentPrefix, l.segments[0].number))); err != nil {
			return fmt.Errorf("remove old segment: %w", err)
		}
		if err := l.fs.SyncFolder(l.cfg.Folder); err != nil {
			return fmt.Errorf("sync folder: %w", err)
		}
		l.segments = l.segments[1:]
	}
	return nil
}
