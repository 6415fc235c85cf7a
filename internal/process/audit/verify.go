package audit

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxLine bounds one line of an export, in bytes.
const maxLine = 1 << 20

// Problem names what is wrong with an export.
type Problem string

// The problems that a verification tells apart.
const (
	// ProblemChanged: the entry's hash does not cover its fields.
	ProblemChanged Problem = "changed"
	// ProblemMissing: entries before this one are not in the export.
	ProblemMissing Problem = "missing"
	// ProblemOutOfOrder: the entry stands out of order, or twice.
	ProblemOutOfOrder Problem = "out of order"
	// ProblemBrokenChain: the entry does not follow from the one before.
	ProblemBrokenChain Problem = "does not follow from the entry before"
	// ProblemTruncated: the export ends before the known head.
	ProblemTruncated Problem = "truncated"
	// ProblemHeadMismatch: the entry at the known head has another hash.
	ProblemHeadMismatch Problem = "differs from the known head"
	// ProblemUnreadable: the line is no entry.
	ProblemUnreadable Problem = "unreadable"
)

// Fault is the first thing wrong with an export.
type Fault struct {
	// Line counts the export's lines from 1.
	Line int
	// Index is the entry in question.
	Index   uint64
	Problem Problem
}

// Report is the result of a verification.
type Report struct {
	// Entries counts the entries found sound.
	Entries int
	// First is the index of the first entry.
	First uint64
	// Head is the newest sound entry.
	Head Head
	// Fault is nil for a sound export.
	Fault *Fault `json:",omitempty"`
}

// Verifier verifies exports against what is known from elsewhere.
type Verifier struct {
	// After is the head that the export continues; the zero value lets it
	// start at any entry.
	After Head
	// KnownHead is a head that the export must contain, as a control process or an
	// earlier report told it; the zero value means none is known.
	KnownHead Head
}

// Verify verifies an export by itself. A report with a Fault comes with a nil
// error; an error means that the export could not be read.
func Verify(r io.Reader) (Report, error) {
	return Verifier{}.Verify(r)
}

// Verify verifies an export up to its first fault.
func (v Verifier) Verify(r io.Reader) (Report, error) {
	scan := &scan{want: v, last: v.After}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		scan.line++
		if scan.report.Fault == nil {
			scan.take(scanner.Bytes())
		} else if scan.report.Fault.Problem == ProblemMissing {
			scan.seek(scanner.Bytes())
		}
	}
	switch err := scanner.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		scan.line++
		scan.fail(0, ProblemUnreadable)
	case err != nil:
		return scan.report, fmt.Errorf("read audit export: %w", err)
	}
	scan.finish()
	return scan.report, nil
}

// scan is a verification under way.
type scan struct {
	want   Verifier
	report Report
	line   int
	last   Head
	// missing is the index that was expected where another one stood.
	missing uint64
}

// fail records the first fault.
func (s *scan) fail(index uint64, problem Problem) {
	if s.report.Fault == nil {
		s.report.Fault = &Fault{Line: s.line, Index: index, Problem: problem}
	}
}

// take verifies one line.
func (s *scan) take(line []byte) {
	entry, ok := parseLine(line)
	if !ok {
		s.fail(s.last.Index+1, ProblemUnreadable)
		return
	}
	if s.last == (Head{}) && s.report.Entries == 0 {
		s.last = Head{Index: entry.Index - 1, Hash: entry.PrevHash}
	}
	if problem := s.problem(&entry); problem != "" {
		s.fail(entry.Index, problem)
		return
	}
	if s.report.Entries == 0 {
		s.report.First = entry.Index
	}
	s.report.Entries++
	s.last = entry.head()
	s.report.Head = s.last
}

// problem returns what is wrong with the next entry.
func (s *scan) problem(entry *Entry) Problem {
	switch {
	case entry.sum() != entry.Hash:
		return ProblemChanged
	case entry.Index <= s.last.Index:
		return ProblemOutOfOrder
	case entry.Index > s.last.Index+1:
		s.missing = s.last.Index + 1
		return ProblemMissing
	case entry.PrevHash != s.last.Hash, entry.Index == 1 && entry.PrevHash != (Hash{}):
		return ProblemBrokenChain
	case entry.Index == s.want.KnownHead.Index && entry.Hash != s.want.KnownHead.Hash:
		return ProblemHeadMismatch
	}
	return ""
}

// seek looks for a missing entry further down, which makes it one out of
// order.
func (s *scan) seek(line []byte) {
	if entry, ok := parseLine(line); ok && entry.Index == s.missing {
		s.report.Fault.Problem = ProblemOutOfOrder
	}
}

// finish checks what the whole export must contain.
func (s *scan) finish() {
	if s.report.Fault == nil && s.last.Index < s.want.KnownHead.Index {
		s.line++
		s.fail(s.last.Index+1, ProblemTruncated)
	}
}

// parseLine reads one entry, without unknown fields, which no hash covers.
func parseLine(line []byte) (Entry, bool) {
	var entry Entry
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&entry); err != nil || entry.Index == 0 {
		return Entry{}, false
	}
	if decoder.InputOffset() != int64(len(line)) {
		return Entry{}, false
	}
	return entry, true
}
