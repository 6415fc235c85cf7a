package audit_test

import (
	"bytes"
	"errors"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/audit"
)

// readLines returns all entries above an index as JSON lines.
func readLines(t *testing.T, folder *audit.Folder, after uint64) []byte {
	t.Helper()
	var lines bytes.Buffer
	assert.NilError(t, folder.Read(after, func(e audit.Entry) error {
		return audit.WriteJSONLines(&lines, []audit.Entry{e})
	}))
	return lines.Bytes()
}

func TestFolderRecoversFromTornWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "audit")
	chain := newChain(5, 0)
	folder, err := audit.OpenFolder(path)
	assert.NilError(t, err)
	assert.NilError(t, audit.NewExporter(chain, folder, 0).Export())
	assert.NilError(t, folder.Close())
	files, err := filepath.Glob(filepath.Join(path, "*"))
	assert.NilError(t, err)
	whole, err := os.ReadFile(files[0])
	assert.NilError(t, err)

	// Truncating the file within the last line loses only that line, and the
	// next export writes it again.
	lastLine := bytes.LastIndexByte(whole[:len(whole)-1], '\n') + 1
	for _, length := range []int{lastLine, lastLine + 1, len(whole) - 1, len(whole)} {
		assert.NilError(t, os.WriteFile(files[0], whole[:length], 0o600))
		folder, err = audit.OpenFolder(path)
		assert.NilError(t, err)
		head := folder.Head()
		assert.Equal(t, head.Index, uint64(4+length/len(whole)))
		assert.NilError(t, audit.NewExporter(chain, folder, head.Index).Export())
		assert.DeepEqual(t, readLines(t, folder, 0), whole)
		assert.DeepEqual(t, readLines(t, folder, 4), whole[lastLine:])
		report, err := audit.Verifier{KnownHead: chain.Head()}.Verify(bytes.NewReader(readLines(t, folder, 0)))
		assert.NilError(t, err)
		assert.Assert(t, report.Fault == nil, report.Fault)
		assert.NilError(t, folder.Close())
	}
}

func TestFolderRejectsDivergedChain(t *testing.T) {
	folder, err := audit.OpenFolder(t.TempDir())
	assert.NilError(t, err)
	assert.NilError(t, audit.NewExporter(newChain(3, 0), folder, 0).Export())
	other := audit.New(audit.Config{})
	for range 4 {
		other.Append(audit.Event{Kind: audit.KindNote, Detail: "other"})
	}
	var fork *audit.ForkError
	err = audit.NewExporter(other, folder, folder.Head().Index).Export()
	assert.Assert(t, errors.As(err, &fork), err)
	assert.Equal(t, fork.Entry.Index, uint64(4))
	assert.NilError(t, audit.NewExporter(newChain(3, 0), folder, 0).Export(), "entries that the folder already has are skipped")
	assert.Equal(t, folder.Head(), newChain(3, 0).Head())
	assert.NilError(t, folder.Close())
}

func TestGapIsFilledFromAnotherFolder(t *testing.T) {
	const retained, total = 4, 40
	chain := audit.New(audit.Config{RetainedEntries: retained})
	whole, err := audit.OpenFolder(t.TempDir())
	assert.NilError(t, err)
	path := t.TempDir()
	partial, err := audit.OpenFolder(path)
	assert.NilError(t, err)
	wholeExporter, partialExporter := audit.NewExporter(chain, whole, 0), audit.NewExporter(chain, partial, 0)
	for i := range total {
		chain.Append(audit.Event{Kind: audit.KindNote, Request: "r"})
		assert.NilError(t, wholeExporter.Export())
		// The partial folder is exported to only a few times, so entries at the
		// start and in the middle are evicted before it gets them.
		if i == 10 || i == 11 || i == total-1 {
			var evicted *audit.EvictedError
			_ = errors.As(partialExporter.Export(), &evicted)
		}
	}
	assert.Assert(t, !bytes.Equal(readLines(t, partial, 0), readLines(t, whole, 0)))

	other := newChain(total, 0)
	forged, err := other.After(0)
	assert.NilError(t, err)
	for fills := 0; ; fills++ {
		gap, found, err := partial.FirstGap()
		assert.NilError(t, err)
		if !found {
			assert.Assert(t, fills > 2, fills)
			break
		}
		var refused *audit.FillError
		if gap.After.Index > 0 {
			assert.Assert(t, errors.As(partial.FillGap(gap, forged[gap.After.Index:]), &refused), "entries of a diverged chain")
		}
		var batch []audit.Entry
		assert.NilError(t, whole.Read(gap.After.Index, func(e audit.Entry) error {
			batch = append(batch, e)
			return nil
		}))
		assert.Assert(t, errors.As(partial.FillGap(gap, batch[1:]), &refused), "entries that do not start at the gap")
		assert.NilError(t, partial.FillGap(gap, batch[:5]))
	}
	assert.DeepEqual(t, readLines(t, partial, 0), readLines(t, whole, 0))
	assert.NilError(t, partial.Close())
	again, err := audit.OpenFolder(path)
	assert.NilError(t, err)
	assert.Equal(t, again.Head(), chain.Head())
	assert.NilError(t, again.Close())
	assert.NilError(t, whole.Close())
}
