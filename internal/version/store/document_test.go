package store_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/store"
)

// putDocument applies a document as a patch of base and returns the status.
func putDocument(t *testing.T, s *store.Store, index uint64, base, next store.Document) cmdpb.Status {
	t.Helper()
	body, err := store.DocumentPatch(base, next)
	assert.NilError(t, err)
	entry, err := store.EncodeCommand(&cmdpb.Command{Body: &cmdpb.Command_Document{Document: body}})
	assert.NilError(t, err)
	result, err := store.DecodeResult(s.Apply(index, entry))
	assert.NilError(t, err)
	return result.GetStatus()
}

func doc(version ident.Version, text string) store.Document {
	return store.Document{Version: version, Body: []byte(text)}
}

func TestDocumentIsPatchedFromTheOneHeld(t *testing.T) {
	s := store.New(store.Config{})
	first, second := doc(2, `{"a":{"b":1}}`), doc(5, `{"a":{"b":2}}`)
	assert.Equal(t, putDocument(t, s, 1, store.Document{}, first), cmdpb.Status_STATUS_OK)
	assert.Equal(t, putDocument(t, s, 2, doc(1, `{"x":{}}`), second), cmdpb.Status_STATUS_CONFLICT, "a patch of another base")
	assert.Equal(t, string(s.Document().Body), string(first.Body))
	assert.Equal(t, putDocument(t, s, 3, first, second), cmdpb.Status_STATUS_OK)
	assert.Equal(t, putDocument(t, s, 4, store.Document{}, doc(5, `{"other":1}`)), cmdpb.Status_STATUS_OK, "the version held is acknowledged")
	assert.Equal(t, putDocument(t, s, 5, store.Document{}, doc(3, `{"older":1}`)), cmdpb.Status_STATUS_OK)
	assert.Equal(t, string(s.Document().Body), string(second.Body))
}

func TestDocumentOutlivesASnapshot(t *testing.T) {
	s := store.New(store.Config{})
	held := doc(7, `{"a":{"b":{"c":3}}}`)
	assert.Equal(t, putDocument(t, s, 1, store.Document{}, held), cmdpb.Status_STATUS_OK)
	data, err := s.Snapshot()
	assert.NilError(t, err)
	restored := store.New(store.Config{})
	assert.NilError(t, restored.Restore(data))
	assert.Equal(t, restored.Document().Version, held.Version)
	assert.Equal(t, string(restored.Document().Body), string(held.Body))
}
