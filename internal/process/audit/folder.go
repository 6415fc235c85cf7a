package audit

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"sync"
)

const (
	// maxFileSize is the size in bytes at which a folder starts a new file.
	maxFileSize = 64 << 20
	fileSuffix  = ".jsonl"
	folderPerm  = 0o700
)

// Folder is a Sink that stores entries in a sequence of Files. The name of each
// file is the index of its first entry. Its methods are safe for concurrent use.
type Folder struct {
	path string

	mu sync.Mutex
	// file is open for writing at filePath; nil if there are no entries.
	file     *File
	filePath string
	last     Head
}

// OpenFolder opens or creates a folder of audit files. It truncates an incomplete
// last line that a crash left.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderPerm); err != nil {
		return nil, fmt.Errorf("create audit folder: %w", err)
	}
	f := &Folder{path: path}
	paths, err := f.paths()
	if err != nil {
		return nil, err
	}
	for len(paths) > 0 && f.file == nil {
		last := len(paths) - 1
		if err := f.resume(paths[last]); err != nil {
			return nil, err
		}
		paths = paths[:last]
	}
	return f, nil
}

// paths returns the paths of the files, oldest first.
func (f *Folder) paths() ([]string, error) {
	paths, err := filepath.Glob(filepath.Join(f.path, "*"+fileSuffix))
	if err != nil {
		return nil, fmt.Errorf("list audit files: %w", err)
	}
	slices.Sort(paths)
	return paths, nil
}

// resume opens a file for writing, or removes it if it has no entries after a
// crash.
func (f *Folder) resume(path string) error {
	file, err := OpenFile(path)
	if err != nil {
		return err
	}
	if file.Head() != (Head{}) {
		f.file, f.filePath, f.last = file, path, file.Head()
		return nil
	}
	if err := errors.Join(file.Close(), os.Remove(path)); err != nil {
		return fmt.Errorf("remove empty audit file: %w", err)
	}
	return nil
}

// Head returns the head of the entries in the folder. The last entry is
// synced.
func (f *Folder) Head() Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

// WriteAudit implements Sink with the same rules as File.WriteAudit.
func (f *Folder) WriteAudit(entries []Entry) error {
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
	if err := f.rotate(entries[0].Index); err != nil {
		return err
	}
	if err := f.file.WriteAudit(entries); err != nil {
		return err
	}
	f.last = f.file.Head()
	return nil
}

// rotate starts a new file for the entry with index first if there is no file,
// the last file is full, or there is a gap before the entry.
func (f *Folder) rotate(first uint64) error {
	if f.file != nil && first == f.last.Index+1 {
		info, err := os.Stat(f.filePath)
		if err != nil {
			return fmt.Errorf("get audit file size: %w", err)
		}
		if info.Size() < maxFileSize {
			return nil
		}
	}
	path := filepath.Join(f.path, fmt.Sprintf("%020d%s", first, fileSuffix))
	file, err := OpenFile(path)
	if err != nil {
		return err
	}
	if f.file != nil {
		_ = f.file.Close()
	}
	f.file, f.filePath = file, path
	return f.sync()
}

// sync syncs the directory, so that the name of a new file is durable.
func (f *Folder) sync() error {
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

// Read calls visit for each entry above an index, oldest first. It stops at the
// first error from visit and returns it.
func (f *Folder) Read(after uint64, visit func(Entry) error) error {
	last := f.Head().Index
	paths, err := f.paths()
	if err != nil {
		return err
	}
	for i, path := range paths {
		if i+1 < len(paths) && firstIndex(paths[i+1]) <= after+1 {
			continue
		}
		if err := readFile(path, after, last, visit); err != nil {
			return err
		}
	}
	return nil
}

// firstIndex returns the index of a file's first entry according to its name, 0
// if the name is not a number.
func firstIndex(path string) uint64 {
	var first uint64
	_, _ = fmt.Sscanf(filepath.Base(path), "%d", &first)
	return first
}

// readFile calls visit for the entries of one file with an index above after and
// up to last.
func readFile(path string, after, last uint64, visit func(Entry) error) error {
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
			return fmt.Errorf("audit file %s has a line that is not an entry", path)
		}
		if entry.Index > last {
			return nil
		}
		if entry.Index <= after {
			continue
		}
		if err := visit(entry); err != nil {
			return err
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("read audit file: %w", err)
	}
	return nil
}

// Close closes the file that is open for writing.
func (f *Folder) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.file == nil {
		return nil
	}
	return f.file.Close()
}
