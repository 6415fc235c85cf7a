package stlog_test

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/conn/wire"
	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/process/stlog"
	"cactusline.dev/cactusline/internal/process/walog"
)

// failingFS is the operating system's file system until it fails to create files.
type failingFS struct {
	walog.OSFS
	failing atomic.Bool
}

func (f *failingFS) Create(path string) (walog.File, error) {
	if f.failing.Load() {
		return nil, errors.New("disk full")
	}
	return f.OSFS.Create(path)
}

func open(t *testing.T, folder string, fs walog.FS) (*stlog.Log, []uint64) {
	t.Helper()
	l, held, err := stlog.Open(stlog.Config{Folder: folder, FS: fs, Clock: clock.System{}, Logger: log.NewNopLogger()})
	assert.NilError(t, err)
	var keys []uint64
	for _, batch := range held {
		keys = append(keys, batch.GetStreams()...)
	}
	return l, keys
}

func batch(keys ...uint64) []*wire.StreamOrigins {
	return []*wire.StreamOrigins{{Service: "s", Version: "v1", Streams: keys}}
}

// runFor runs a log for long enough to write what was appended.
func runFor(l *stlog.Log) {
	ctx, cancel := context.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	l.Run(ctx)
}

func TestStreamsAreHeldAfterARestart(t *testing.T) {
	folder := t.TempDir()
	var want []uint64
	for restart := range uint64(3) {
		l, held := open(t, folder, walog.OSFS{})
		assert.DeepEqual(t, held, want)
		l.Append(batch(restart, 100+restart))
		runFor(l)
		want = append(want, restart, 100+restart)
	}
}

func TestTornAndDamagedBatchesAreLeftOut(t *testing.T) {
	for name, damage := range map[string]func(data []byte) []byte{
		"torn":    func(data []byte) []byte { return data[:len(data)-1] },
		"damaged": func(data []byte) []byte { data[len(data)-1] ^= 1; return data },
		"length":  func(data []byte) []byte { return append(data, 0xff, 0xff, 0xff, 0xff, 1, 2, 3, 4, 5) },
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			l, _ := open(t, folder, walog.OSFS{})
			l.Append(batch(1))
			l.Append(batch(2))
			runFor(l)
			names, err := os.ReadDir(folder)
			assert.NilError(t, err)
			assert.Equal(t, len(names), 1)
			path := filepath.Join(folder, names[0].Name())
			data, err := os.ReadFile(path)
			assert.NilError(t, err)
			assert.NilError(t, os.WriteFile(path, damage(data), 0o600))
			_, held := open(t, folder, walog.OSFS{})
			assert.Equal(t, held[0], uint64(1))
		})
	}
}

func TestManyRestartsKeepFewFiles(t *testing.T) {
	folder := t.TempDir()
	for i := range uint64(8) {
		l, _ := open(t, folder, walog.OSFS{})
		l.Append(batch(i))
		runFor(l)
	}
	names, err := os.ReadDir(folder)
	assert.NilError(t, err)
	assert.Assert(t, len(names) <= 4, "%d files", len(names))
	_, held := open(t, folder, walog.OSFS{})
	assert.Equal(t, held[len(held)-1], uint64(7))
}

func TestFullDiskLosesStreamsAndNothingElse(t *testing.T) {
	folder, fs := t.TempDir(), new(failingFS)
	fs.failing.Store(true)
	l, _ := open(t, folder, fs)
	l.Append(batch(1))
	runFor(l)
	fs.failing.Store(false)
	l.Append(batch(2))
	runFor(l)
	_, held := open(t, folder, walog.OSFS{})
	assert.DeepEqual(t, held, []uint64{2})
	for i := range uint64(100_000) {
		l.Append(batch(i))
	}
}

// slowFS syncs slowly.
type slowFS struct{ walog.OSFS }

type slowFile struct{ walog.File }

func (slowFile) Sync() error {
	time.Sleep(100 * time.Millisecond)
	return nil
}

func (s slowFS) Create(path string) (walog.File, error) {
	file, err := s.OSFS.Create(path)
	return slowFile{file}, err
}

// Guards against streams that wait in the process while the disk is slow: what is written
// survives the end of the process without a sync.
func TestStreamsAreWrittenSoonWhileSyncsAreSlow(t *testing.T) {
	folder := t.TempDir()
	l, _ := open(t, folder, slowFS{})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go l.Run(ctx)
	for i := range uint64(8) {
		l.Append(batch(i))
		time.Sleep(60 * time.Millisecond)
	}
	time.Sleep(250 * time.Millisecond)
	_, held := open(t, folder, walog.OSFS{})
	assert.Equal(t, len(held), 8, "%v", held)
}
