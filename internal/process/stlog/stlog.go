// Package stlog keeps on disk where recent streams began, for a restart after all
// processes that remember them have lost power. Origins are appended in batches; what was
// told in the last moments before a loss of power may be missing.
package stlog

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"google.golang.org/protobuf/proto"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/walog"
)

const (
	// writeInterval is the time between two writes. What is written survives the end of
	// the process, and a loss of power once it is synced.
	writeInterval = 50 * time.Millisecond
	// syncPause is how long after a sync the next one may begin, as a multiple of the time
	// that it took. The replicated log needs the disk too.
	syncPause = 10
	// rotateInterval is how long a file is written, unless it reaches maxFileBytes. Files
	// are kept for two to three of these.
	rotateInterval = 30 * time.Second
	maxFileBytes   = 4 << 20
	// maxFiles bounds the files. A process that restarts often begins a new one each time.
	maxFiles = 4
	// maxPendingStreams bounds the streams that wait to be written while the disk is slow.
	maxPendingStreams = 64 << 10
	// headerBytes is the length of a batch and its checksum.
	headerBytes = 8
	filePrefix  = "streams-"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Clock provides time, so that tests can replace it.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config configures a Log. All fields are required.
type Config struct {
	Folder string
	FS     walog.FS
	Clock  Clock
	Logger log.Logger
}

// Log is a folder with the origins of recent streams. It is safe for concurrent use.
type Log struct {
	cfg Config

	mu             sync.Mutex
	pending        []*wire.StreamOrigins
	pendingStreams int

	// The fields below are used only by Run.
	file      walog.File
	number    uint64
	written   int
	createdAt time.Time
	// unsynced is set while a write waits for a sync, which may begin at nextSync.
	unsynced bool
	nextSync time.Time
	failing  bool
}

// Open returns a log, and the origins that its folder holds. Files that cannot be read,
// and what follows a torn batch, are left out.
func Open(cfg Config) (*Log, []*wire.StreamOrigins, error) {
	if err := cfg.FS.MkdirAll(cfg.Folder); err != nil {
		return nil, nil, fmt.Errorf("create folder of streams: %w", err)
	}
	l := &Log{cfg: cfg}
	names, err := l.fileNames()
	if err != nil {
		return nil, nil, err
	}
	var held []*wire.StreamOrigins
	for _, name := range names {
		data, err := cfg.FS.ReadFile(filepath.Join(cfg.Folder, name))
		if err != nil {
			_ = level.Warn(cfg.Logger).Log("msg", "file of streams cannot be read", "file", name, "err", err)
			continue
		}
		held = append(held, decode(data)...)
	}
	if len(names) > 0 {
		_, _ = fmt.Sscanf(strings.TrimPrefix(names[len(names)-1], filePrefix), "%d", &l.number)
	}
	return l, held, nil
}

// fileNames returns the names of the files, the oldest first.
func (l *Log) fileNames() ([]string, error) {
	names, err := l.cfg.FS.Names(l.cfg.Folder)
	if err != nil {
		return nil, fmt.Errorf("list files of streams: %w", err)
	}
	var files []string
	for _, name := range names {
		if strings.HasPrefix(name, filePrefix) {
			files = append(files, name)
		}
	}
	return files, nil
}

// decode returns the batches of a file up to the first that is torn or damaged.
func decode(data []byte) []*wire.StreamOrigins {
	var batches []*wire.StreamOrigins
	for len(data) >= headerBytes {
		length, sum := binary.LittleEndian.Uint32(data), binary.LittleEndian.Uint32(data[4:])
		data = data[headerBytes:]
		if uint64(length) > uint64(len(data)) || crc32.Checksum(data[:length], castagnoli) != sum {
			break
		}
		batch := new(wire.StreamOrigins)
		if proto.Unmarshal(data[:length], batch) != nil {
			break
		}
		batches = append(batches, batch)
		data = data[length:]
	}
	return batches
}

// Append adds origins, which are written soon. It drops them while too many wait.
func (l *Log) Append(origins []*wire.StreamOrigins) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, batch := range origins {
		if l.pendingStreams+len(batch.GetStreams()) > maxPendingStreams {
			return
		}
		l.pendingStreams += len(batch.GetStreams())
		l.pending = append(l.pending, batch)
	}
}

// Run writes what is appended until ctx ends. Failures are logged when they begin and
// end; what could not be written is lost.
func (l *Log) Run(ctx context.Context) {
	defer l.closeFile()
	for l.cfg.Clock.Sleep(ctx, writeInterval) == nil {
		l.mu.Lock()
		batches := l.pending
		l.pending, l.pendingStreams = nil, 0
		l.mu.Unlock()
		if len(batches) == 0 && !l.unsynced {
			continue
		}
		err := l.write(batches)
		if err == nil {
			err = l.sync()
		}
		if err != nil {
			l.closeFile()
			metrics.GetOrCreateCounter("cactusline_stream_log_failures_total").Inc()
		}
		if failing := err != nil; failing != l.failing {
			l.failing = failing
			_ = level.Warn(l.cfg.Logger).Log("msg", "keeping the origins of streams changed", "failing", failing, "err", err)
		}
	}
}

// sync syncs the current file, unless the last sync was too short a time ago.
func (l *Log) sync() error {
	began := l.cfg.Clock.Now()
	if !l.unsynced || began.Before(l.nextSync) {
		return nil
	}
	if err := l.file.Sync(); err != nil {
		return fmt.Errorf("sync streams: %w", err)
	}
	ended := l.cfg.Clock.Now()
	l.unsynced, l.nextSync = false, ended.Add(syncPause*ended.Sub(began))
	return nil
}

// write appends batches to the current file.
func (l *Log) write(batches []*wire.StreamOrigins) error {
	if len(batches) == 0 {
		return nil
	}
	now := l.cfg.Clock.Now()
	if l.file == nil || l.written >= maxFileBytes || now.Sub(l.createdAt) >= rotateInterval {
		if err := l.rotate(now); err != nil {
			return err
		}
	}
	var data []byte
	for _, batch := range batches {
		body, err := proto.Marshal(batch)
		if err != nil {
			return fmt.Errorf("encode streams: %w", err)
		}
		data = binary.LittleEndian.AppendUint32(data, uint32(len(body)))
		data = binary.LittleEndian.AppendUint32(data, crc32.Checksum(body, castagnoli))
		data = append(data, body...)
	}
	l.written += len(data)
	l.unsynced = true
	if _, err := l.file.Write(data); err != nil {
		return fmt.Errorf("write streams: %w", err)
	}
	return nil
}

// rotate begins a new file and removes the oldest.
func (l *Log) rotate(now time.Time) error {
	l.closeFile()
	names, err := l.fileNames()
	if err != nil {
		return err
	}
	var removed error
	for len(names) >= maxFiles {
		removed = errors.Join(removed, l.cfg.FS.Remove(filepath.Join(l.cfg.Folder, names[0])))
		names = names[1:]
	}
	if removed != nil {
		return fmt.Errorf("remove old streams: %w", removed)
	}
	l.number++
	file, err := l.cfg.FS.Create(filepath.Join(l.cfg.Folder, fmt.Sprintf("%s%020d", filePrefix, l.number)))
	if err != nil {
		return fmt.Errorf("create file of streams: %w", err)
	}
	l.file, l.written, l.createdAt = file, 0, now
	if err := l.cfg.FS.SyncFolder(l.cfg.Folder); err != nil {
		return fmt.Errorf("sync folder of streams: %w", err)
	}
	return nil
}

func (l *Log) closeFile() {
	if l.file != nil {
		_ = l.file.Close() // what was synced is kept
		l.file, l.unsynced = nil, false
	}
}
