package walog

import (
	"errors"
	"fmt"

	"cactusline.dev/cactusline/internal/process/raftpb"
)

// writeFile replaces a whole file so that either the old or the new one is
// there after a crash.
func (l *Log) writeFile(name string, payload []byte) error {
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
	if err := l.writeFile(numbered(snapshotPrefix, snapshot.GetIndex()), marshal(snapshot)); err != nil {
		return err
	}
	l.snapshot = snapshot.GetIndex()
	return nil
}

// dropSnapshots removes all snapshots but the current one.
func (l *Log) dropSnapshots() error {
	names, err := l.fs.Names(l.cfg.Folder)
	if err != nil {
		return fmt.Errorf("list data folder: %w", err)
	}
	for _, name := range names {
		index, ok := parseNumbered(snapshotPrefix, name)
		if !ok || index >= l.snapshot {
			continue
		}
		if err := l.fs.Remove(l.path(name)); err != nil {
			return fmt.Errorf("remove old snapshot: %w", err)
		}
	}
	return nil
}

// nextSegment begins a segment, with the hard state so that the ones before
// it can go. The folder is synced before anything is written.
func (l *Log) nextSegment() error {
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	file, err := l.fs.Create(l.path(numbered(segmentPrefix, number)))
	if err != nil {
		return fmt.Errorf("create: %w", err)
	}
	if err := l.fs.SyncFolder(l.cfg.Folder); err != nil {
		_ = file.Close()
		return fmt.Errorf("sync folder: %w", err)
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			_ = file.Close()
			return fmt.Errorf("close: %w", err)
		}
	}
	l.file = file
	l.size = 0
	l.segments = append(l.segments, segment{number: number})
	buf := l.frame(nil, &raftpb.Record{BatchStart: true, HardState: l.hard})
	return l.writeSynced(buf)
}

// dropSegments removes the oldest segments whose entries all stand at or
// before index.
func (l *Log) dropSegments(index uint64) error {
	for len(l.segments) > 1 && l.segments[0].last <= index {
		if err := l.fs.Remove(l.path(numbered(segmentPrefix, l.segments[0].number))); err != nil {
			return fmt.Errorf("remove old segment: %w", err)
		}
		if err := l.fs.SyncFolder(l.cfg.Folder); err != nil {
			return fmt.Errorf("sync folder: %w", err)
		}
		l.segments = l.segments[1:]
	}
	return nil
}
