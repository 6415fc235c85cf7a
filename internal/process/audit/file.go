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
	// maxLineWithNewline is the size of the longest line with its newline, in
	// bytes. The last 2*maxLineWithNewline bytes of a file contain its last
	// complete line, even if an incomplete line follows.
	maxLineWithNewline = maxLine + 1
)

// ForkError reports an entry whose index is the next one but whose PrevHash
// does not match the last entry of the file: the file and the chain have
// diverged.
type ForkError struct {
	Last  Head
	Entry Entry
}

// Error returns a message with the index of the entry.
func (e *ForkError) Error() string {
	return fmt.Sprintf("audit entry %d does not follow from the last entry of the file", e.Entry.Index)
}

// File is a Sink that appends JSON lines to a file and syncs it. Its methods are
// safe for concurrent use.
type File struct {
	mu   sync.Mutex
	file *os.File
	last Head
}

// OpenFile opens or creates a file of audit entries for appending. It truncates
// an incomplete last line that a crash left.
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

// recover finds the last complete entry, truncates the file after it and leaves
// the file offset at the end.
func (f *File) recover() error {
	info, err := f.file.Stat()
	if err != nil {
		return fmt.Errorf("get file size: %w", err)
	}
	start := max(0, info.Size()-2*maxLineWithNewline)
	tail := make([]byte, info.Size()-start)
	if _, err := f.file.ReadAt(tail, start); err != nil && !errors.Is(err, io.EOF) {
		return fmt.Errorf("read last entry: %w", err)
	}
	completeSize := bytes.LastIndexByte(tail, '\n') + 1
	if completeSize > 0 {
		line := tail[bytes.LastIndexByte(tail[:completeSize-1], '\n')+1 : completeSize-1]
		entry, ok := parseLine(line)
		if !ok || entry.sum() != entry.Hash {
			return fmt.Errorf("last line is not a valid entry")
		}
		f.last = entry.head()
	} else if start > 0 {
		return fmt.Errorf("last line is longer than %d bytes", maxLine)
	}
	end := start + int64(completeSize)
	if err := f.file.Truncate(end); err != nil {
		return fmt.Errorf("truncate incomplete last line: %w", err)
	}
	if _, err := f.file.Seek(end, io.SeekStart); err != nil {
		return fmt.Errorf("seek to end: %w", err)
	}
	return nil
}

// Head returns the head of the entries in the file.
func (f *File) Head() Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

// WriteAudit implements Sink. It skips entries that the file already has. It
// returns a *ForkError if the next entry does not continue the hash chain.
// Entries after a gap are written; verification reports the gap.
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

// append writes and syncs entries. It truncates the remains of a failed write,
// so that a retry does not write an entry twice.
func (f *File) append(entries []Entry) error {
	end, err := f.file.Seek(0, io.SeekCurrent)
	if err != nil {
		return fmt.Errorf("get audit file offset: %w", err)
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
