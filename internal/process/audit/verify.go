package audit

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// maxLine is the maximum length of a line in an export, in bytes.
const maxLine = 1 << 20

// Problem is a kind of fault in an export.
type Problem string

// The problems that verification distinguishes.
const (
	// ProblemChanged means that the entry's hash does not match its fields.
	ProblemChanged Problem = "changed"
	// ProblemMissing means that entries before this one are missing.
	ProblemMissing Problem = "missing"
	// ProblemOutOfOrder means that the entry is out of order or duplicated.
	ProblemOutOfOrder Problem = "out of order"
	// ProblemBrokenChain means that PrevHash is not the previous entry's hash.
	ProblemBrokenChain Problem = "does not follow from the entry before"
	// ProblemTruncated means that the export ends before the known head.
	ProblemTruncated Problem = "truncated"
	// ProblemHeadMismatch means that the entry at the index of the known head has
	// a different hash.
	ProblemHeadMismatch Problem = "differs from the known head"
	// ProblemUnreadable means that the line is not an entry.
	ProblemUnreadable Problem = "unreadable"
)

// Fault is the first fault found in an export.
type Fault struct {
	// Line is the line number, starting at 1.
	Line int
	// Index is the index of the entry.
	Index   uint64
	Problem Problem
}

// Report is the result of a verification.
type Report struct {
	// Entries is the number of valid entries before the first fault.
	Entries int
	// First is the index of the first entry.
	First uint64
	// Head is the head at the last valid entry.
	Head Head
	// Fault is nil for a valid export.
	Fault *Fault `json:",omitempty"`
}

// Verifier verifies exports against heads that are known from other sources.
type Verifier struct {
	// After is the head that the export must continue; the zero value accepts
	// any first entry.
	After Head
	// KnownHead is a head that the export must contain, taken from a control
	// process or an earlier report; the zero value means none is known.
	KnownHead Head
}

// Verify verifies an export without known heads. A fault is returned in the
// report with a nil error; an error means that the export could not be read.
func Verify(r io.Reader) (Report, error) {
	return Verifier{}.Verify(r)
}

// Verify verifies an export up to its first fault.
func (v Verifier) Verify(r io.Reader) (Report, error) {
	state := &verification{verifier: v, last: v.After}
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		state.line++
		if state.report.Fault == nil {
			state.verifyLine(scanner.Bytes())
		} else if state.report.Fault.Problem == ProblemMissing {
			state.findMissing(scanner.Bytes())
		}
	}
	switch err := scanner.Err(); {
	case errors.Is(err, bufio.ErrTooLong):
		state.line++
		state.fail(0, ProblemUnreadable)
	case err != nil:
		return state.report, fmt.Errorf("read audit export: %w", err)
	}
	state.finish()
	return state.report, nil
}

// verification is the state of a running Verify call.
type verification struct {
	verifier Verifier
	report   Report
	line     int
	last     Head
	// missing is the index that was expected where ProblemMissing was found.
	missing uint64
}

// fail records the first fault.
func (s *verification) fail(index uint64, problem Problem) {
	if s.report.Fault == nil {
		s.report.Fault = &Fault{Line: s.line, Index: index, Problem: problem}
	}
}

// verifyLine verifies one line.
func (s *verification) verifyLine(line []byte) {
	entry, ok := parseLine(line)
	if !ok {
		s.fail(s.last.Index+1, ProblemUnreadable)
		return
	}
	if s.last == (Head{}) && s.report.Entries == 0 {
		s.last = Head{Index: entry.Index - 1, Hash: entry.PrevHash}
	}
	if problem := s.checkEntry(&entry); problem != "" {
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

// checkEntry returns the problem with the next entry, or "" if it is valid. For
// ProblemMissing it also sets missing.
func (s *verification) checkEntry(entry *Entry) Problem {
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
	case entry.Index == s.verifier.KnownHead.Index && entry.Hash != s.verifier.KnownHead.Hash:
		return ProblemHeadMismatch
	}
	return ""
}

// findMissing changes ProblemMissing to ProblemOutOfOrder if the line has the
// missing entry.
func (s *verification) findMissing(line []byte) {
	if entry, ok := parseLine(line); ok && entry.Index == s.missing {
		s.report.Fault.Problem = ProblemOutOfOrder
	}
}

// finish records a fault if the export ends before the known head.
func (s *verification) finish() {
	if s.report.Fault == nil && s.last.Index < s.verifier.KnownHead.Index {
		s.line++
		s.fail(s.last.Index+1, ProblemTruncated)
	}
}

// parseLine parses one entry. It rejects unknown fields, because the hash does
// not cover them.
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
