package group_test

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"

	"cactusline.dev/cactusline/internal/process/walog"
)

var errCrashed = errors.New("crashed")

const sectorBytes = 512

// simDisk is an in-memory file system that loses unsynced data and directory
// changes in a simulated power loss. File data survives or is lost sector by
// sector.
type simDisk struct {
	rng             *rand.Rand
	files           map[string]*memFile
	durableFiles    map[string]*memFile
	unsyncedChanges []func(files map[string]*memFile) // to the folder, in order
	opCount         int
	crashAtOp       int // operation at which to crash; 0 means none
	crashed         bool
}

// memFile holds the written and the synced content of a file.
type memFile struct {
	data   []byte
	synced []byte
}

// handle is an open file.
type handle struct {
	disk *simDisk
	file *memFile
}

func newDisk(rng *rand.Rand) *simDisk {
	return &simDisk{rng: rng, files: map[string]*memFile{}, durableFiles: map[string]*memFile{}}
}

// beginOp counts an operation. It returns an error for the operation at which
// a crash is due, and for all later ones until the restart.
func (d *simDisk) beginOp() error {
	d.opCount++
	if d.crashed || d.opCount == d.crashAtOp {
		d.crashed = true
		return errCrashed
	}
	return nil
}

// changeFiles applies a folder change that is durable only after SyncFolder.
func (d *simDisk) changeFiles(f func(files map[string]*memFile)) {
	f(d.files)
	d.unsyncedChanges = append(d.unsyncedChanges, f)
}

// losePower simulates a power loss and a restart: a random prefix of the
// unsynced folder changes survives, and unsynced file data is torn.
func (d *simDisk) losePower() {
	for _, f := range d.unsyncedChanges[:d.rng.IntN(len(d.unsyncedChanges)+1)] {
		f(d.durableFiles)
	}
	for _, name := range slices.Sorted(maps.Keys(d.durableFiles)) {
		d.tearUnsynced(d.durableFiles[name])
	}
	d.files = maps.Clone(d.durableFiles)
	d.unsyncedChanges = nil
	d.crashed = false
	d.crashAtOp = 0
}

// killProcess simulates the end of the process alone: everything written
// survives, and what was unsynced stays unsynced.
func (d *simDisk) killProcess() {
	d.crashed = false
	d.crashAtOp = 0
}

// tearUnsynced keeps the synced content of a file and a random subset of the
// sectors written since.
func (d *simDisk) tearUnsynced(f *memFile) {
	if slices.Equal(f.data, f.synced) {
		return
	}
	length := len(f.synced)
	if len(f.data) < length || d.rng.IntN(4) > 0 {
		length = len(f.data)
	}
	kept := make([]byte, length)
	copy(kept, f.synced)
	for at := 0; at < length; at += sectorBytes {
		end := min(length, at+sectorBytes)
		if d.rng.IntN(2) == 0 {
			copy(kept[at:end], f.data[at:end])
		}
	}
	f.data = kept
	f.synced = slices.Clone(kept)
}

func (d *simDisk) MkdirAll(string) error { return nil }

func (d *simDisk) Create(path string) (walog.File, error) {
	if err := d.beginOp(); err != nil {
		return nil, err
	}
	f := &memFile{}
	d.changeFiles(func(files map[string]*memFile) { files[path] = f })
	return &handle{d, f}, nil
}

func (d *simDisk) Open(path string) (walog.File, error) {
	return &handle{d, d.files[path]}, d.beginOp()
}

func (d *simDisk) ReadFile(path string) ([]byte, error) {
	f := d.files[path]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (d *simDisk) Names(string) ([]string, error) {
	var names []string
	for _, path := range slices.Sorted(maps.Keys(d.files)) {
		names = append(names, filepath.Base(path))
	}
	return names, nil
}

func (d *simDisk) Rename(from, to string) error {
	if err := d.beginOp(); err != nil {
		return err
	}
	f := d.files[from]
	d.changeFiles(func(files map[string]*memFile) {
		delete(files, from)
		files[to] = f
	})
	return nil
}

func (d *simDisk) Remove(path string) error {
	if err := d.beginOp(); err != nil {
		return err
	}
	d.changeFiles(func(files map[string]*memFile) { delete(files, path) })
	return nil
}

func (d *simDisk) SyncFolder(string) error {
	if err := d.beginOp(); err != nil {
		return err
	}
	d.durableFiles = maps.Clone(d.files)
	d.unsyncedChanges = nil
	return nil
}

func (d *simDisk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// Write appends to the file. The write at which the crash occurs leaves a
// random prefix of its data.
func (h *handle) Write(p []byte) (int, error) {
	if err := h.disk.beginOp(); err != nil {
		p = p[:h.disk.rng.IntN(len(p)+1)]
		h.file.data = append(h.file.data, p...)
		return len(p), err
	}
	h.file.data = append(h.file.data, p...)
	return len(p), nil
}

func (h *handle) WriteAt(p []byte, at int64) (int, error) {
	if err := h.disk.beginOp(); err != nil {
		return 0, err
	}
	end := int(at) + len(p)
	if end > len(h.file.data) {
		h.file.data = append(h.file.data, make([]byte, end-len(h.file.data))...)
	}
	copy(h.file.data[at:], p)
	return len(p), nil
}

func (h *handle) Truncate(size int64) error {
	if err := h.disk.beginOp(); err != nil {
		return err
	}
	h.file.data = h.file.data[:size:size]
	return nil
}

func (h *handle) Sync() error {
	if err := h.disk.beginOp(); err != nil {
		return err
	}
	h.file.synced = slices.Clone(h.file.data)
	return nil
}

func (h *handle) Close() error { return nil }
