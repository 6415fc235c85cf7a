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

// read returns the lines of all entries above an index.
func read(t *testing.T, folder *audit.Folder, after uint64) []byte {
	t.Helper()
	var lines bytes.Buffer
	assert.NilError(t, folder.Read(after, func(e audit.Entry) error {
		return audit.WriteJSONLines(&lines, []audit.Entry{e})
	}))
	return lines.Bytes()
}

func TestFolderGoesOnAfterATornWrite(t *testing.T) {
	path := filepath.Join(t.TempDir(), "audit")
	chain := chainOf(5, 0)
	folder, err := audit.OpenFolder(path)
	assert.NilError(t, err)
	assert.NilError(t, audit.NewExporter(chain, folder, 0).Export())
	assert.NilError(t, folder.Close())
	files, err := filepath.Glob(filepath.Join(path, "*"))
	assert.NilError(t, err)
	whole, err := os.ReadFile(files[0])
	assert.NilError(t, err)

	// Any cut of the last line loses that line alone, and the next export
	// writes it again.
	lastLine := bytes.LastIndexByte(whole[:len(whole)-1], '\n') + 1
	for _, length := range []int{lastLine, lastLine + 1, len(whole) - 1, len(whole)} {
		assert.NilError(t, os.WriteFile(files[0], whole[:length], 0o600))
		folder, err = audit.OpenFolder(path)
		assert.NilError(t, err)
		head := folder.Last()
		assert.Equal(t, head.Index, uint64(4+length/len(whole)))
		assert.NilError(t, audit.NewExporter(chain, folder, head.Index).Export())
		assert.DeepEqual(t, read(t, folder, 0), whole)
		assert.DeepEqual(t, read(t, folder, 4), whole[lastLine:])
		report, err := audit.Verifier{KnownHead: chain.Head()}.Verify(bytes.NewReader(read(t, folder, 0)))
		assert.NilError(t, err)
		assert.Assert(t, report.Fault == nil, report.Fault)
		assert.NilError(t, folder.Close())
	}
}

func TestFolderRefusesAnotherHistory(t *testing.T) {
	folder, err := audit.OpenFolder(t.TempDir())
	assert.NilError(t, err)
	assert.NilError(t, audit.NewExporter(chainOf(3, 0), folder, 0).Export())
	other := audit.New(audit.Config{})
	for range 4 {
		other.Append(audit.Event{Kind: audit.KindNote, Detail: "other"})
	}
	var broken *audit.ForkError
	err = audit.NewExporter(other, folder, folder.Last().Index).Export()
	assert.Assert(t, errors.As(err, &broken), err)
	assert.Equal(t, broken.Entry.Index, uint64(4))
	assert.NilError(t, audit.NewExporter(chainOf(3, 0), folder, 0).Export(), "entries that it has are skipped")
	assert.Equal(t, folder.Last(), chainOf(3, 0).Head())
	assert.NilError(t, folder.Close())
}

func TestGapIsFilledByAnotherFolder(t *testing.T) {
	const kept, total = 4, 40
	chain := audit.New(audit.Config{RetainedEntries: kept})
	whole, err := audit.OpenFolder(t.TempDir())
	assert.NilError(t, err)
	path := t.TempDir()
	holed, err := audit.OpenFolder(path)
	assert.NilError(t, err)
	every, some := audit.NewExporter(chain, whole, 0), audit.NewExporter(chain, holed, 0)
	for i := range total {
		chain.Append(audit.Event{Kind: audit.KindNote, Request: "r"})
		assert.NilError(t, every.Export())
		// The other member is away at first, and again in the middle.
		if i == 10 || i == 11 || i == total-1 {
			var gap *audit.EvictedError
			_ = errors.As(some.Export(), &gap)
		}
	}
	assert.Assert(t, !bytes.Equal(read(t, holed, 0), read(t, whole, 0)))

	other := chainOf(total, 0)
	forged, err := other.After(0)
	assert.NilError(t, err)
	for fills := 0; ; fills++ {
		gap, found, err := holed.FirstGap()
		assert.NilError(t, err)
		if !found {
			assert.Assert(t, fills > 2, fills)
			break
		}
		var refused *audit.FillError
		if gap.After.Index > 0 {
			assert.Assert(t, errors.As(holed.FillGap(gap, forged[gap.After.Index:]), &refused), "entries of another history")
		}
		var batch []audit.Entry
		assert.NilError(t, whole.Read(gap.After.Index, func(e audit.Entry) error {
			batch = append(batch, e)
			return nil
		}))
		assert.Assert(t, errors.As(holed.FillGap(gap, batch[1:]), &refused), "entries that leave a hole")
		assert.NilError(t, holed.FillGap(gap, batch[:5]))
	}
	assert.DeepEqual(t, read(t, holed, 0), read(t, whole, 0))
	assert.NilError(t, holed.Close())
	again, err := audit.OpenFolder(path)
	assert.NilError(t, err)
	assert.Equal(t, again.Last(), chain.Head())
	assert.NilError(t, again.Close())
	assert.NilError(t, whole.Close())
}
