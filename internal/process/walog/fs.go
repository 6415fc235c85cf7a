package walog

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is an open file. Write appends to it.
type File interface {
	io.Writer
	io.WriterAt
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// FS is the set of file system operations that the log uses.
type FS interface {
	// MkdirAll creates a folder and its parents.
	MkdirAll(folder string) error
	// Create creates or truncates a file and opens it for appending.
	Create(path string) (File, error)
	// Open opens an existing file for appending.
	Open(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	// Names returns the names of the files in a folder, sorted.
	Names(folder string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes the creation, renaming and removal of files durable.
	SyncFolder(folder string) error
	// Lock acquires a lock that is released when the process ends. It returns
	// *LockedError if another process holds the lock.
	Lock(path string) (io.Closer, error)
}

// OSFS is the operating system's file system.
type OSFS struct{}

const (
	filePerm   = 0o600
	folderPerm = 0o700
)

// osFile appends at an offset that it tracks itself, because os.File rejects
// WriteAt on a file opened with O_APPEND.
type osFile struct {
	*os.File
	end int64
}

// Write appends p.
func (f *osFile) Write(p []byte) (int, error) {
	n, err := f.WriteAt(p, f.end)
	f.end += int64(n)
	return n, err
}

// Truncate changes the size of the file; the next Write appends there.
func (f *osFile) Truncate(size int64) error {
	f.end = size
	return f.File.Truncate(size)
}

// MkdirAll creates a folder and its parents, and syncs the parent.
func (OSFS) MkdirAll(folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return nil
	}
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return err
	}
	return OSFS{}.SyncFolder(filepath.Dir(folder))
}

// Create creates or truncates a file.
func (OSFS) Create(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_TRUNC, filePerm)
	if err != nil {
		return nil, err
	}
	return &osFile{File: f}, nil
}

// Open opens a file for appending.
func (OSFS) Open(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_RDWR, filePerm)
	if err != nil {
		return nil, err
	}
	info, err := f.Stat()
	if err != nil {
		_ = f.Close()
		return nil, err
	}
	return &osFile{File: f, end: info.Size()}, nil
}

// ReadFile reads a whole file.
func (OSFS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Names returns the names of the files in a folder, sorted.
func (OSFS) Names(folder string) ([]string, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Rename renames a file.
func (OSFS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a file.
func (OSFS) Remove(path string) error { return os.Remove(path) }

// SyncFolder makes changes to the file names in a folder durable.
func (OSFS) SyncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return err
	}
	err = f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

// Lock acquires an exclusive lock on a file without waiting.
func (OSFS) Lock(path string) (io.Closer, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, filePerm)
	if err != nil {
		return nil, err
	}
	err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
	if err == nil {
		return f, nil
	}
	_ = f.Close()
	if errors.Is(err, syscall.EWOULDBLOCK) {
		return nil, &LockedError{Path: path}
	}
	return nil, fmt.Errorf("flock: %w", err)
}
