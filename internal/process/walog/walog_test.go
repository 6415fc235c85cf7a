package walog_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/raftpb"
	"cactusline.dev/cactusline/internal/process/walog"
)

func openLog(folder string, fs walog.FS) (*walog.Log, *walog.State, error) {
	return walog.Open(walog.Config{
		Folder: folder, FS: fs, Rand: rand.New(rand.NewPCG(1, 1)),
		NewID: func(rng *rand.Rand) string { return fmt.Sprintf("c1/%x", rng.Uint64()) },
	})
}

// makeEntries returns the entries from first to last, each with size bytes of
// data.
func makeEntries(first, last uint64, size int) []*raftpb.Entry {
	var list []*raftpb.Entry
	for index := first; index <= last; index++ {
		data := slices.Repeat([]byte{byte(index) | 1}, size)
		list = append(list, &raftpb.Entry{Index: index, Term: 1, Data: data})
	}
	return list
}

// newSyncedLog creates a data folder with three synced batches. It returns the
// path of the log file and the size of that file before the last batch.
func newSyncedLog(t *testing.T) (folder, path string, lastBatchOffset int64) {
	folder = t.TempDir()
	log, _, err := openLog(folder, nil)
	assert.NilError(t, err)
	path = filepath.Join(folder, "log-0000000000000001")
	for batch := range uint64(3) {
		info, err := os.Stat(path)
		assert.NilError(t, err)
		lastBatchOffset = info.Size()
		hard := &raftpb.HardState{Term: 1 + batch}
		assert.NilError(t, log.Append(walog.Batch{HardState: hard, Entries: makeEntries(1+2*batch, 2+2*batch, 400)}))
	}
	assert.NilError(t, log.Close())
	return folder, path, lastBatchOffset
}

func rewrite(t *testing.T, path string, change func(data []byte) []byte) (restore func()) {
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	assert.NilError(t, os.WriteFile(path, change(slices.Clone(data)), 0o600))
	return func() { assert.NilError(t, os.WriteFile(path, data, 0o600)) }
}

func TestFlippedBitIsReportedAsCorrupt(t *testing.T) {
	for _, withMark := range []bool{true, false} {
		folder, path, _ := newSyncedLog(t)
		if !withMark {
			assert.NilError(t, os.Remove(filepath.Join(folder, "mark")))
		}
		info, err := os.Stat(path)
		assert.NilError(t, err)
		rng := rand.New(rand.NewPCG(2, 2))
		for at := int64(0); at < info.Size(); at += 1 + rng.Int64N(5) {
			restore := rewrite(t, path, func(data []byte) []byte {
				data[at] ^= 1 << rng.IntN(8)
				return data
			})
			_, _, err := openLog(folder, nil)
			var corrupt *walog.CorruptError
			assert.Assert(t, errors.As(err, &corrupt), "byte %d, with sync mark %t: %v", at, withMark, err)
			restore()
		}
	}
}

func TestTornTailOfUnsyncedWriteIsCut(t *testing.T) {
	folder, path, lastBatchOffset := newSyncedLog(t)
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	size := int64(len(data))
	tears := map[string]func(data []byte) []byte{"sector": func(data []byte) []byte {
		first := (lastBatchOffset/512 + 1) * 512
		clear(data[first : first+512])
		return data
	}}
	for length := lastBatchOffset; length < size; length += 37 {
		tears[fmt.Sprint(length)] = func(data []byte) []byte { return data[:length] }
	}
	for name, tear := range tears {
		t.Run(name, func(t *testing.T) {
			rewrite(t, path, tear)
			torn := t.TempDir()
			assert.NilError(t, os.CopyFS(filepath.Join(torn, "copy"), os.DirFS(folder)))
			assert.NilError(t, os.WriteFile(path, data, 0o600))
			copied := filepath.Join(torn, "copy")

			_, _, err := openLog(copied, nil)
			var corrupt *walog.CorruptError
			assert.Assert(t, errors.As(err, &corrupt), "cut although the sync mark covers it: %v", err)

			assert.NilError(t, os.Remove(filepath.Join(copied, "mark")))
			log, state, err := openLog(copied, nil)
			assert.NilError(t, err)
			defer log.Close()
			assert.Assert(t, len(state.Entries) >= 4 && len(state.Entries) <= 5)
			assert.Assert(t, state.HardState.GetTerm() >= 2)
		})
	}
}

func TestLostSectorBeforeLaterBatchIsReportedAsCorrupt(t *testing.T) {
	folder, path, lastBatchOffset := newSyncedLog(t)
	assert.NilError(t, os.Remove(filepath.Join(folder, "mark")))
	sector := (lastBatchOffset/512 - 1) * 512
	rewrite(t, path, func(data []byte) []byte {
		clear(data[sector : sector+512])
		return data
	})
	_, _, err := openLog(folder, nil)
	var corrupt *walog.CorruptError
	assert.Assert(t, errors.As(err, &corrupt), "%v", err)
}

// faultyFS is a file system on which a write or sync of the log fails once.
type faultyFS struct {
	walog.OSFS
	write, sync error
}

type faultyFile struct {
	walog.File
	fs *faultyFS
}

func (f *faultyFS) Create(path string) (walog.File, error) {
	file, err := f.OSFS.Create(path)
	if !strings.Contains(path, "log-") {
		return file, err
	}
	return &faultyFile{file, f}, err
}

func (f *faultyFile) Write(p []byte) (int, error) {
	if err := f.fs.write; err != nil {
		f.fs.write = nil
		n, _ := f.File.Write(p[:len(p)/2])
		return n, err
	}
	return f.File.Write(p)
}

func (f *faultyFile) Sync() error {
	if err := f.fs.sync; err != nil {
		f.fs.sync = nil
		return err
	}
	return f.File.Sync()
}

func TestFailedLogRejectsFurtherWrites(t *testing.T) {
	for name, fault := range map[string]faultyFS{
		"full disk": {write: syscall.ENOSPC}, "failed sync": {sync: syscall.EIO},
	} {
		t.Run(name, func(t *testing.T) {
			folder := t.TempDir()
			fs := &faultyFS{}
			log, _, err := openLog(folder, fs)
			assert.NilError(t, err)
			assert.NilError(t, log.Append(walog.Batch{Entries: makeEntries(1, 1, 10)}))
			fs.write, fs.sync = fault.write, fault.sync
			first := log.Append(walog.Batch{Entries: makeEntries(2, 2, 10)})
			var failed *walog.FailedError
			assert.Assert(t, errors.As(first, &failed), "%v", first)
			assert.Assert(t, fs.write == nil && fs.sync == nil)
			assert.Equal(t, log.Append(walog.Batch{Entries: makeEntries(2, 2, 10)}), first)
			assert.Equal(t, log.SaveSnapshot(&raftpb.Snapshot{Index: 1, Term: 1}), first)
			assert.NilError(t, log.Close())
			log, state, err := openLog(folder, nil)
			if name == "failed sync" {
				var corrupt *walog.CorruptError
				assert.Assert(t, errors.As(err, &corrupt), "%v", err)
				return
			}
			assert.NilError(t, err)
			defer log.Close()
			assert.Equal(t, len(state.Entries), 1)
		})
	}
}

func TestReopenKeepsIdentityAndLog(t *testing.T) {
	folder, _, _ := newSyncedLog(t)
	log, first, err := openLog(folder, nil)
	assert.NilError(t, err)
	_, _, err = openLog(folder, nil)
	var locked *walog.LockedError
	assert.Assert(t, errors.As(err, &locked), "%v", err)
	assert.NilError(t, log.SaveSnapshot(&raftpb.Snapshot{Index: 4, Term: 1, Data: []byte("state")}))
	assert.NilError(t, log.Append(walog.Batch{Entries: makeEntries(6, 7, 10)}))
	assert.NilError(t, log.Close())

	log, state, err := openLog(folder, nil)
	assert.NilError(t, err)
	defer log.Close()
	assert.Equal(t, state.ID, first.ID)
	assert.Equal(t, state.HardState.GetTerm(), uint64(3))
	assert.Equal(t, string(state.Snapshot.GetData()), "state")
	assert.Equal(t, len(state.Entries), 3)
	assert.Equal(t, state.Entries[0].GetIndex(), uint64(5))
}
