package ctrl_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/process/group"
)

// A control process fetches from another one the audit entries that its chain
// evicted before it could export them.
func TestMissingAuditEntriesAreFetched(t *testing.T) {
	t.Parallel()
	chain := audit.New(audit.Config{RetainedEntries: 8})
	whole, err := audit.OpenFolder(t.TempDir())
	assert.NilError(t, err)
	partial, err := audit.OpenFolder(t.TempDir())
	assert.NilError(t, err)
	wholeExporter, partialExporter := audit.NewExporter(chain, whole, 0), audit.NewExporter(chain, partial, 0)
	for range 1000 {
		chain.Append(audit.Event{Kind: audit.KindNote, Detail: strings.Repeat("x", 1000)})
		assert.NilError(t, wholeExporter.Export())
	}
	var evicted *audit.EvictedError
	assert.Assert(t, errors.As(partialExporter.Export(), &evicted))

	source := startControl(t, group.Member{}, whole)
	startControl(t, group.Member{ID: "b/1", VM: "b", Address: source.address}, partial)
	for found := true; found; time.Sleep(time.Millisecond) {
		_, found, err = partial.FirstGap()
		assert.NilError(t, err)
	}
	var head audit.Head
	next := uint64(1)
	assert.NilError(t, partial.Read(0, func(e audit.Entry) error {
		assert.Equal(t, e.Index, next)
		assert.Equal(t, e.PrevHash, head.Hash)
		head = audit.Head{Index: e.Index, Hash: e.Hash}
		next++
		return nil
	}))
	assert.Equal(t, head, chain.Head())
}
