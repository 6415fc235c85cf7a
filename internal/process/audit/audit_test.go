package audit_test

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/process/seeds"
)

func newChain(n, retained int) *audit.Chain {
	chain := audit.New(audit.Config{RetainedEntries: retained})
	for i := range n {
		chain.Append(audit.Event{
			Time: time.Unix(int64(i), 7), Kind: audit.KindClaim, Actor: "router-1\xff",
			Request: fmt.Sprint("r", i), Subject: "a<b>\u2028", Detail: "x",
		})
	}
	return chain
}

func exportLines(t testing.TB, chain *audit.Chain) []string {
	t.Helper()
	entries, err := chain.After(0)
	assert.NilError(t, err)
	var out bytes.Buffer
	assert.NilError(t, audit.WriteJSONLines(&out, entries))
	return strings.Split(strings.TrimSuffix(out.String(), "\n"), "\n")
}

func verify(t testing.TB, v audit.Verifier, lines []string) audit.Report {
	t.Helper()
	report, err := v.Verify(strings.NewReader(strings.Join(lines, "\n")))
	assert.NilError(t, err)
	return report
}

func TestRandomisedTamperingIsDetected(t *testing.T) {
	chain := newChain(40, 0)
	valid := exportLines(t, chain)
	verifier := audit.Verifier{KnownHead: chain.Head()}
	report := verify(t, verifier, valid)
	assert.Assert(t, report.Fault == nil)
	assert.Equal(t, report.Entries, 40)
	assert.Equal(t, report.Head, chain.Head())

	seeds.Run(t, seeds.Range{First: 1, Last: 200}, func(t *testing.T, seed uint64) {
		random := rand.New(rand.NewPCG(seed, 0))
		at := 1 + random.IntN(38)
		lines := slices.Clone(valid)
		want := audit.Fault{Line: at + 1, Index: uint64(at + 1)}
		switch random.IntN(6) {
		case 0: // a changed field
			old, text := "r"+fmt.Sprint(at), "r"+fmt.Sprint(at+100)
			lines[at] = strings.Replace(lines[at], `"`+old+`"`, `"`+text+`"`, 1)
			want.Problem = audit.ProblemChanged
		case 1: // a deleted line
			lines = slices.Delete(lines, at, at+1)
			want.Index, want.Problem = uint64(at+2), audit.ProblemMissing
		case 2: // two swapped lines
			lines[at], lines[at+1] = lines[at+1], lines[at]
			want.Index, want.Problem = uint64(at+2), audit.ProblemOutOfOrder
		case 3: // a truncated export
			lines = lines[:at]
			want.Problem = audit.ProblemTruncated
		case 4: // a duplicated line
			lines = slices.Insert(lines, at, lines[at-1])
			want.Index, want.Problem = uint64(at), audit.ProblemOutOfOrder
		case 5: // an incomplete line
			lines[at] = lines[at][:len(lines[at])-1-random.IntN(20)]
			want.Problem = audit.ProblemUnreadable
		}
		report := verify(t, verifier, lines)
		assert.Assert(t, report.Fault != nil)
		assert.Equal(t, *report.Fault, want)
	})
}

func TestRewrittenChainFailsAgainstKnownHead(t *testing.T) {
	chain := newChain(5, 0)
	forged := audit.New(audit.Config{})
	entries, err := chain.After(0)
	assert.NilError(t, err)
	for _, entry := range entries {
		event := entry.Event
		event.Detail = "forged"
		forged.Append(event)
	}
	lines := exportLines(t, forged)
	assert.Assert(t, verify(t, audit.Verifier{}, lines).Fault == nil, "a rewritten chain is valid by itself")
	report := verify(t, audit.Verifier{KnownHead: chain.Head()}, lines)
	assert.Equal(t, report.Fault.Problem, audit.ProblemHeadMismatch)

	spliced := slices.Concat(exportLines(t, chain)[:3], lines[3:])
	report = verify(t, audit.Verifier{}, spliced)
	assert.Equal(t, *report.Fault, audit.Fault{Line: 4, Index: 4, Problem: audit.ProblemBrokenChain})
}

type memorySink struct {
	entries []audit.Entry
	fail    bool
}

func (s *memorySink) WriteAudit(entries []audit.Entry) error {
	if s.fail {
		return errors.New("disk full")
	}
	s.entries = append(s.entries, entries...)
	return nil
}

func TestExportSnapshotAndEviction(t *testing.T) {
	chain := newChain(10, 8)
	sink := &memorySink{fail: true}
	exporter := audit.NewExporter(chain, sink, 4)
	assert.ErrorContains(t, exporter.Export(), "disk full")
	assert.Equal(t, exporter.Pending(), uint64(6))
	sink.fail = false
	assert.NilError(t, exporter.Export())
	assert.Equal(t, len(sink.entries), 6)

	data, err := chain.Snapshot()
	assert.NilError(t, err)
	restored := audit.New(audit.Config{RetainedEntries: 8})
	assert.NilError(t, restored.Restore(data))
	assert.Equal(t, restored.Append(audit.Event{Kind: audit.KindOrder}), chain.Append(audit.Event{Kind: audit.KindOrder}))
	_, err = restored.After(1)
	var evicted *audit.EvictedError
	assert.Assert(t, errors.As(err, &evicted))
	assert.Equal(t, *evicted, audit.EvictedError{First: 2, Last: 3})
	again, err := restored.Snapshot()
	assert.NilError(t, err)
	original, err := chain.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(again, original))
}

func FuzzVerify(f *testing.F) {
	f.Add([]byte(strings.Join(exportLines(f, newChain(3, 0)), "\n")))
	f.Add([]byte(`{"Index":1}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		report, err := audit.Verify(bytes.NewReader(data))
		assert.NilError(t, err)
		assert.Assert(t, report.Entries <= bytes.Count(data, []byte("\n"))+1)
	})
}

func TestFileRecoversFromTornWrites(t *testing.T) {
	path := filepath.Join(t.TempDir(), "audit.jsonl")
	chain := newChain(10, 0)
	entries, err := chain.After(0)
	assert.NilError(t, err)
	write := func(entries []audit.Entry) audit.Head {
		file, err := audit.OpenFile(path)
		assert.NilError(t, err)
		assert.NilError(t, file.WriteAudit(entries))
		assert.NilError(t, file.Close())
		return file.Head()
	}
	assert.Equal(t, write(entries[:4]).Index, uint64(4))
	whole, err := os.ReadFile(path)
	assert.NilError(t, err)
	for cut := len(whole) - 1; cut > len(whole)-40; cut-- {
		assert.NilError(t, os.WriteFile(path, whole[:cut], 0o600))
		assert.Equal(t, write(entries), chain.Head(), "entries that the file already has are skipped")
		file, err := os.Open(path)
		assert.NilError(t, err)
		report, err := audit.Verifier{KnownHead: chain.Head()}.Verify(file)
		assert.NilError(t, err)
		assert.Assert(t, report.Fault == nil && report.Entries == 10)
		assert.NilError(t, file.Close())
	}

	file, err := audit.OpenFile(path)
	assert.NilError(t, err)
	other := newChain(9, 0)
	other.Append(audit.Event{Kind: audit.KindApply})
	other.Append(audit.Event{Kind: audit.KindApply})
	forked, err := other.After(10)
	assert.NilError(t, err)
	var fork *audit.ForkError
	assert.Assert(t, errors.As(file.WriteAudit(forked), &fork))
	assert.NilError(t, file.Close())
	assert.NilError(t, os.WriteFile(path, []byte("{}\n"), 0o600))
	_, err = audit.OpenFile(path)
	assert.ErrorContains(t, err, "not a valid entry")
}
