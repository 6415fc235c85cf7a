package audit

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"sync"

	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// fileSize is the size above which a folder begins a new file.
	fileSize   ident.Bytes = 64 << 20
	fileSuffix             = ".jsonl"
	folderMode             = 0o700
	fileMode               = 0o600
)

// ChainError says that an entry does not follow from the last one that a
// folder holds: the two come from different histories.
type ChainError struct {
	Index uint64
}

// Error names the entry.
func (e *ChainError) Error() string {
	return fmt.Sprintf("audit entry %d does not follow from the last one exported", e.Index)
}

// Folder keeps exported entries as JSON lines in files that are named by
// their first entry. It implements Sink. Its methods may be called at the
// same time.
type Folder struct {
	path string

	mu   sync.Mutex
	file *os.File
	size ident.Bytes
	head Head
}

// OpenFolder opens a folder of exports, which it makes if it is missing. A
// last line that was cut short by a crash is removed.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("make audit folder: %w", err)
	}
	f := &Folder{path: path}
	files, err := f.files()
	if err != nil {
		return nil, err
	}
	if len(files) == 0 {
		return f, nil
	}
	if err := f.resume(files[len(files)-1]); err != nil {
		return nil, fmt.Errorf("open audit file: %w", err)
	}
	return f, nil
}

// files returns the paths of the exports, oldest first.
func (f *Folder) files() ([]string, error) {
	files, err := filepath.Glob(filepath.Join(f.path, "*"+fileSuffix))
	if err != nil {
		return nil, fmt.Errorf("list audit files: %w", err)
	}
	slices.Sort(files)
	return files, nil
}

// resume goes on with the newest file.
func (f *Folder) resume(path string) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read: %w", err)
	}
	whole := data[:bytes.LastIndexByte(data, '\n')+1]
	file, err := os.OpenFile(path, os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("open: %w", err)
	}
	f.file = file
	f.size = ident.Bytes(len(whole))
	if err := file.Truncate(int64(len(whole))); err != nil {
		return fmt.Errorf("cut: %w", err)
	}
	if _, err := file.Seek(0, io.SeekEnd); err != nil {
		return fmt.Errorf("seek: %w", err)
	}
	f.head, err = lastHead(path, whole)
	return err
}

// lastHead returns the head that the whole lines of a file end at. A file
// that a crash left without any ends where the one before it does, which its
// name tells, though not with which hash.
func lastHead(path string, whole []byte) (Head, error) {
	if len(whole) == 0 {
		first := firstOf(path)
		if first == 0 {
			return Head{}, fmt.Errorf("audit file %s is not named by its first entry", path)
		}
		return Head{Index: first - 1}, nil
	}
	last := bytes.TrimSuffix(whole, []byte("\n"))
	last = last[bytes.LastIndexByte(last, '\n')+1:]
	entry, ok := parseLine(last)
	if !ok {
		return Head{}, fmt.Errorf("audit file %s ends in a line that is no entry", path)
	}
	return entry.head(), nil
}

// Head returns the newest entry that the folder holds, synced.
func (f *Folder) Head() Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.head
}

// WriteAudit implements Sink: it returns once the entries are synced. It
// refuses entries that do not follow from the last one with a *ChainError. A
// gap in the indices is taken, since what is missing is gone from the chain.
func (f *Folder) WriteAudit(entries []Entry) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	var lines bytes.Buffer
	if err := WriteLines(&lines, entries); err != nil {
		return err
	}
	first := &entries[0]
	if first.Index <= f.head.Index || (first.Index == f.head.Index+1 && f.head.Hash != (Hash{}) && first.PrevHash != f.head.Hash) {
		return &ChainError{Index: first.Index}
	}
	if err := f.turn(first.Index); err != nil {
		return err
	}
	if _, err := f.file.Write(lines.Bytes()); err != nil {
		return f.undo(fmt.Errorf("write audit file: %w", err))
	}
	if err := f.file.Sync(); err != nil {
		return f.undo(fmt.Errorf("sync audit file: %w", err))
	}
	f.size += ident.Bytes(lines.Len())
	f.head = entries[len(entries)-1].head()
	return nil
}

// undo cuts off what a failed write left.
func (f *Folder) undo(cause error) error {
	err := f.file.Truncate(int64(f.size))
	if err == nil {
		_, err = f.file.Seek(int64(f.size), io.SeekStart)
	}
	return errors.Join(cause, err)
}

// turn begins a file for the entry where there is none or the last one is
// full.
func (f *Folder) turn(first uint64) error {
	if f.file != nil && f.size < fileSize {
		return nil
	}
	path := filepath.Join(f.path, fmt.Sprintf("%020d%s", first, fileSuffix))
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return fmt.Errorf("make audit file: %w", err)
	}
	if f.file != nil {
		_ = f.file.Close()
	}
	f.file = file
	f.size = 0
	return f.syncFolder()
}

func (f *Folder) syncFolder() error {
	folder, err := os.Open(f.path)
	if err != nil {
		return fmt.Errorf("open audit folder: %w", err)
	}
	defer func() { _ = folder.Close() }()
	if err := folder.Sync(); err != nil {
		return fmt.Errorf("sync audit folder: %w", err)
	}
	return nil
}

// Read hands each entry above an index to take, oldest first, until take
// returns an error, which it returns.
func (f *Folder) Read(after uint64, take func(Entry) error) error {
	last := f.Head().Index
	files, err := f.files()
	if err != nil {
		return err
	}
	for i, path := range files {
		if i+1 < len(files) && firstOf(files[i+1]) <= after+1 {
			continue
		}
		if err := readFile(path, after, last, take); err != nil {
			return err
		}
	}
	return nil
}

// firstOf returns the entry that a file's name tells, 0 if it tells none.
func firstOf(path string) uint64 {
	var first uint64
	_, _ = fmt.Sscanf(filepath.Base(path), "%d", &first)
	return first
}

// readFile reads the entries of one file that were synced when the reader
// began.
func readFile(path string, after, last uint64, take func(Entry) error) error {
	file, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("open audit file: %w", err)
	}
	defer func() { _ = file.Close() }()
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		entry, ok := parseLine(scanner.Bytes())
		if !ok {
			return fmt.Errorf("audit file %s holds a line that is no entry", path)
		}
		if entry.Index > last {
			return nil
		}
		if entry.Index <= after {
			continue
		}
		if err := take(entry); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read audit file: %w", err)
	}
	return nil
}

// Close closes the newest file.
func (f *Folder) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.file == nil {
		return nil
	}
	if err := f.file.Close(); err != nil {
		return fmt.Errorf("close audit file: %w", err)
	}
	return nil
}
