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
		return audit.WriteLines(&lines, []audit.Entry{e})
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
		report, err := audit.Verifier{Known: chain.Head()}.Verify(bytes.NewReader(read(t, folder, 0)))
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
