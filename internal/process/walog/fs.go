package walog

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// File is an open file of the log. Write appends.
type File interface {
	io.Writer
	io.WriterAt
	io.Closer
	Sync() error
	Truncate(size int64) error
}

// FS is the part of a file system that the log uses.
type FS interface {
	MkdirAll(folder string) error
	// Create makes an empty file, or empties one, and opens it for appending.
	Create(path string) (File, error)
	// Open opens a file that is there for appending.
	Open(path string) (File, error)
	ReadFile(path string) ([]byte, error)
	// Names returns the names of a folder's files in order.
	Names(folder string) ([]string, error)
	Rename(from, to string) error
	Remove(path string) error
	// SyncFolder makes created, renamed and removed names durable.
	SyncFolder(folder string) error
	// Lock takes a lock that ends with the process, or returns *LockedError.
	Lock(path string) (io.Closer, error)
}

// OSFS is the operating system's file system.
type OSFS struct{}

const (
	filePerm   = 0o600
	folderPerm = 0o700
)

// osFile appends by an own offset, since a file opened for appending takes no
// WriteAt.
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

// Truncate cuts the file.
func (f *osFile) Truncate(size int64) error {
	f.end = size
	return f.File.Truncate(size)
}

// MkdirAll makes a folder and its parents, and syncs the parent.
func (OSFS) MkdirAll(folder string) error {
	if _, err := os.Stat(folder); err == nil {
		return nil
	}
	if err := os.MkdirAll(folder, folderPerm); err != nil {
		return err
	}
	return OSFS{}.SyncFolder(filepath.Dir(folder))
}

// Create makes or empties a file.
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

// Names lists a folder.
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

// SyncFolder syncs a folder.
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

// Lock takes an exclusive lock on a file.
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
