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

const sector = 512

// disk is a file system in memory that loses unsynced bytes and names at a
// crash, sector by sector.
type disk struct {
	rng     *rand.Rand
	names   map[string]*memFile
	durable map[string]*memFile
	journal []func(names map[string]*memFile)
	ops     int
	crashAt int
	dead    bool
}

type memFile struct {
	data   []byte
	synced []byte
}

// handle is an open file; it dies with the crash that follows.
type handle struct {
	disk *disk
	file *memFile
}

func newDisk(rng *rand.Rand) *disk {
	return &disk{rng: rng, names: map[string]*memFile{}, durable: map[string]*memFile{}}
}

// op counts one operation and fails it where the crash is due.
func (d *disk) op() error {
	d.ops++
	if d.dead || d.ops == d.crashAt {
		d.dead = true
		return errCrashed
	}
	return nil
}

func (d *disk) change(f func(names map[string]*memFile)) {
	f(d.names)
	d.journal = append(d.journal, f)
}

// crash leaves what a power loss may leave, ready for the next start.
func (d *disk) crash() {
	for _, f := range d.journal[:d.rng.IntN(len(d.journal)+1)] {
		f(d.durable)
	}
	for _, name := range slices.Sorted(maps.Keys(d.durable)) {
		d.tear(d.durable[name])
	}
	d.names = maps.Clone(d.durable)
	d.journal = nil
	d.dead = false
	d.crashAt = 0
}

// kill leaves what the end of the process alone leaves: all that was written,
// as little synced as it was.
func (d *disk) kill() {
	d.dead = false
	d.crashAt = 0
}

// tear keeps the synced bytes and a random part of the sectors written since.
func (d *disk) tear(f *memFile) {
	if slices.Equal(f.data, f.synced) {
		return
	}
	length := len(f.synced)
	if len(f.data) < length || d.rng.IntN(4) > 0 {
		length = len(f.data)
	}
	kept := make([]byte, length)
	copy(kept, f.synced)
	for at := 0; at < length; at += sector {
		end := min(length, at+sector)
		if d.rng.IntN(2) == 0 {
			copy(kept[at:end], f.data[at:end])
		}
	}
	f.data = kept
	f.synced = slices.Clone(kept)
}

func (d *disk) MkdirAll(string) error { return nil }

func (d *disk) Create(path string) (walog.File, error) {
	if err := d.op(); err != nil {
		return nil, err
	}
	f := &memFile{}
	d.change(func(names map[string]*memFile) { names[path] = f })
	return &handle{d, f}, nil
}

func (d *disk) Open(path string) (walog.File, error) {
	return &handle{d, d.names[path]}, d.op()
}

func (d *disk) ReadFile(path string) ([]byte, error) {
	f := d.names[path]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (d *disk) Names(string) ([]string, error) {
	var names []string
	for _, path := range slices.Sorted(maps.Keys(d.names)) {
		names = append(names, filepath.Base(path))
	}
	return names, nil
}

func (d *disk) Rename(from, to string) error {
	if err := d.op(); err != nil {
		return err
	}
	f := d.names[from]
	d.change(func(names map[string]*memFile) {
		delete(names, from)
		names[to] = f
	})
	return nil
}

func (d *disk) Remove(path string) error {
	if err := d.op(); err != nil {
		return err
	}
	d.change(func(names map[string]*memFile) { delete(names, path) })
	return nil
}

func (d *disk) SyncFolder(string) error {
	if err := d.op(); err != nil {
		return err
	}
	d.durable = maps.Clone(d.names)
	d.journal = nil
	return nil
}

func (d *disk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

// Write appends; the write during which the crash comes reaches the cache in
// part.
func (h *handle) Write(p []byte) (int, error) {
	if err := h.disk.op(); err != nil {
		p = p[:h.disk.rng.IntN(len(p)+1)]
		h.file.data = append(h.file.data, p...)
		return len(p), err
	}
	h.file.data = append(h.file.data, p...)
	return len(p), nil
}

func (h *handle) WriteAt(p []byte, at int64) (int, error) {
	if err := h.disk.op(); err != nil {
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
	if err := h.disk.op(); err != nil {
		return err
	}
	h.file.data = h.file.data[:size:size]
	return nil
}

func (h *handle) Sync() error {
	if err := h.disk.op(); err != nil {
		return err
	}
	h.file.synced = slices.Clone(h.file.data)
	return nil
}

func (h *handle) Close() error { return nil }
