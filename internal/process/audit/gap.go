package audit

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
)

// Gap is a range of entries that are missing from a folder.
type Gap struct {
	// After is the head at the last entry before the gap, zero if there is
	// none.
	After Head
	// Next is the index of the first entry after the gap.
	Next uint64
}

// FillError reports entries that can't be used to fill a gap.
type FillError struct {
	Gap   Gap
	Fault Fault
}

// Error returns a message with the index and the fault of the entry.
func (e *FillError) Error() string {
	return fmt.Sprintf("audit entry %d does not fill the gap after entry %d: %s", e.Fault.Index, e.Gap.After.Index, e.Fault.Problem)
}

// FirstGap returns the first gap of the folder and whether there is one. A gap
// arises when the chain evicts entries before they are exported.
func (f *Folder) FirstGap() (Gap, bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	paths, err := f.paths()
	if err != nil {
		return Gap{}, false, err
	}
	var last Head
	for _, path := range paths {
		if first := firstIndex(path); first > last.Index+1 {
			return Gap{After: last, Next: first}, true, nil
		}
		if path == f.filePath {
			break
		}
		if last, err = lastHead(path); err != nil {
			return Gap{}, false, err
		}
	}
	return Gap{}, false, nil
}

// lastHead returns the head of the entries in a file that is not being written.
// An incomplete last line is truncated.
func lastHead(path string) (Head, error) {
	file, err := OpenFile(path)
	if err != nil {
		return Head{}, err
	}
	return file.Head(), file.Close()
}

// FillGap writes entries from another control process into a gap. They must
// start with the first missing entry and may fill only part of the gap; entries
// beyond the gap are ignored. It returns a *FillError unless the entries are
// valid and continue the hash chain from the last entry before the gap.
func (f *Folder) FillGap(gap Gap, entries []Entry) error {
	for len(entries) > 0 && entries[len(entries)-1].Index >= gap.Next {
		entries = entries[:len(entries)-1]
	}
	if len(entries) == 0 {
		return nil
	}
	var lines bytes.Buffer
	if err := WriteJSONLines(&lines, entries); err != nil {
		return err
	}
	report, err := Verifier{After: gap.After}.Verify(&lines)
	if err != nil {
		return err
	}
	if report.Fault == nil && report.First != gap.After.Index+1 {
		report.Fault = &Fault{Index: report.First, Problem: ProblemMissing}
	}
	if report.Fault != nil {
		return &FillError{Gap: gap, Fault: *report.Fault}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fill(gap, entries)
}

// fill appends to the file before the gap, or creates a file if that one is full,
// is open for writing or does not exist. The caller holds the lock.
func (f *Folder) fill(gap Gap, entries []Entry) error {
	path := filepath.Join(f.path, fmt.Sprintf("%020d%s", entries[0].Index, fileSuffix))
	paths, err := f.paths()
	if err != nil {
		return err
	}
	for _, candidate := range paths {
		info, err := os.Stat(candidate)
		if err == nil && firstIndex(candidate) <= gap.After.Index && candidate != f.filePath && info.Size() < maxFileSize {
			path = candidate
		}
	}
	file, err := OpenFile(path)
	if err != nil {
		return err
	}
	err = file.WriteAudit(entries)
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return fmt.Errorf("fill audit gap: %w", err)
	}
	return f.sync()
}
