package audit

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
)

const (
	filePerm = 0o600
	// tailBlock is how much of a file's end is read to find its last entry.
	tailBlock = maxLine + 1
)

// ForkError is the error for an entry that does not follow from the last one
// in a file although its index does: the file and the chain differ.
type ForkError struct {
	Last  Head
	Entry Entry
}

// Error names the entry.
func (e *ForkError) Error() string {
	return fmt.Sprintf("audit entry %d does not follow from the last entry of the file", e.Entry.Index)
}

// File is a Sink that appends JSON lines to a file and syncs it. Its methods
// may be called at the same time.
type File struct {
	mu   sync.Mutex
	file *os.File
	last Head
}

// OpenFile opens or creates a file of audit entries for appending. A last line
// that was torn by a crash is cut off.
func OpenFile(path string) (*File, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, filePerm)
	if err != nil {
		return nil, fmt.Errorf("open audit file: %w", err)
	}
	f := &File{file: file}
	if err := f.recover(); err != nil {
		return nil, errors.Join(fmt.Errorf("recover audit file %s: %w", path, err), file.Close())
	}
	return f, nil
}

// recover finds the last whole entry, cuts off what follows it and leaves the
// file positioned at its end.
func (f *File) recover() error {
	info, err := f.file.Stat()
	if err != nil {
		return fmt.Errorf("size: %w", err)
	}
	start := max(0, info.Size()-2*tailBlock)
	tail := make([]byte, info.Size()-start)
	if _, err := f.file.ReadAt(tail, start); err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("read end: %w", err)
	}
	whole := bytes.LastIndexByte(tail, '\n') + 1
	if whole > 0 {
		line := tail[bytes.LastIndexByte(tail[:whole-1], '\n')+1 : whole-1]
		entry, ok := parseLine(line)
		if !ok || entry.sum() != entry.Hash {
			return fmt.Errorf("last line is no sound entry")
		}
		f.last = entry.head()
	} else if start > 0 {
		return fmt.Errorf("last line is longer than %d bytes", maxLine)
	}
	end := start + int64(whole)
	if err := f.file.Truncate(end); err != nil {
		return fmt.Errorf("cut off torn line: %w", err)
	}
	if _, err := f.file.Seek(end, io.SeekStart); err != nil {
		return fmt.Errorf("seek end: %w", err)
	}
	return nil
}

// Last returns the last entry of the file.
func (f *File) Last() Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

// WriteAudit implements Sink. Entries that the file has already are skipped;
// one that does not follow from the last is a *ForkError. Entries after a gap
// are kept, and a verification will tell of the gap.
func (f *File) WriteAudit(entries []Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for len(entries) > 0 && entries[0].Index <= f.last.Index {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return nil
	}
	if first := entries[0]; first.Index == f.last.Index+1 && first.PrevHash != f.last.Hash {
		return &ForkError{Last: f.last, Entry: first}
	}
	if err := f.append(entries); err != nil {
		return err
	}
	f.last = entries[len(entries)-1].head()
	return nil
}

// append writes and syncs entries. What a failed write left is cut off, so
// that a retry does not write an entry twice.
func (f *File) append(entries []Entry) error {
	end, err := f.file.Seek(0, io.SeekCurrent)
	if err != nil {
		return fmt.Errorf("position of audit file: %w", err)
	}
	err = WriteJSONLines(f.file, entries)
	if err == nil {
		err = f.file.Sync()
	}
	if err == nil {
		return nil
	}
	_, seekErr := f.file.Seek(end, io.SeekStart)
	return errors.Join(fmt.Errorf("append to audit file: %w", err), f.file.Truncate(end), seekErr)
}

// Close closes the file.
func (f *File) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.file.Close(); err != nil {
		return fmt.Errorf("close audit file: %w", err)
	}
	return nil
}
