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
	// folderFileSize is the size above which a folder begins a new file.
	folderFileSize = 64 << 20
	fileSuffix     = ".jsonl"
	folderPerm     = 0o700
)

// Folder is a Sink that keeps entries in files, each a File named by its first
// entry. Its methods may be called at the same time.
type Folder struct {
	path string

	mu   sync.Mutex
	file *File
	name string
	last Head
}

// OpenFolder opens or makes a folder of audit files. A last line that was torn
// by a crash is cut off.
func OpenFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderPerm); err != nil {
		return nil, fmt.Errorf("make audit folder: %w", err)
	}
	f := &Folder{path: path}
	names, err := f.names()
	if err != nil {
		return nil, err
	}
	for len(names) > 0 && f.file == nil {
		last := len(names) - 1
		if err := f.resume(names[last]); err != nil {
			return nil, err
		}
		names = names[:last]
	}
	return f, nil
}

// names returns the paths of the files, oldest first.
func (f *Folder) names() ([]string, error) {
	names, err := filepath.Glob(filepath.Join(f.path, "*"+fileSuffix))
	if err != nil {
		return nil, fmt.Errorf("list audit files: %w", err)
	}
	slices.Sort(names)
	return names, nil
}

// resume goes on with a file, or removes one that a crash left empty.
func (f *Folder) resume(name string) error {
	file, err := OpenFile(name)
	if err != nil {
		return err
	}
	if file.Last() != (Head{}) {
		f.file, f.name, f.last = file, name, file.Last()
		return nil
	}
	if err := errors.Join(file.Close(), os.Remove(name)); err != nil {
		return fmt.Errorf("remove empty audit file: %w", err)
	}
	return nil
}

// Last returns the last entry of the folder, which is synced.
func (f *Folder) Last() Head {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.last
}

// WriteAudit implements Sink, as File does.
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
	if err := f.turn(entries[0].Index); err != nil {
		return err
	}
	if err := f.file.WriteAudit(entries); err != nil {
		return err
	}
	f.last = f.file.Last()
	return nil
}

// turn begins a file for the entry where there is none or the last one is
// full.
func (f *Folder) turn(first uint64) error {
	if f.file != nil {
		info, err := os.Stat(f.name)
		if err != nil {
			return fmt.Errorf("size of audit file: %w", err)
		}
		if info.Size() < folderFileSize {
			return nil
		}
	}
	name := filepath.Join(f.path, fmt.Sprintf("%020d%s", first, fileSuffix))
	file, err := OpenFile(name)
	if err != nil {
		return err
	}
	if f.file != nil {
		_ = f.file.Close()
	}
	f.file, f.name = file, name
	return f.sync()
}

// sync makes the name of a new file last.
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

// Read hands each entry above an index to take, oldest first, until take
// returns an error, which it returns.
func (f *Folder) Read(after uint64, take func(Entry) error) error {
	last := f.Last().Index
	files, err := f.names()
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
	return f.file.Close()
}
