package store_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/store"
)

// putDocument applies a patch from base to next and returns the status of the
// result.
func putDocument(t *testing.T, s *store.Store, index uint64, base, next store.Document) cmdpb.Status {
	t.Helper()
	body, err := store.NewPutDocument(base, next)
	assert.NilError(t, err)
	entry, err := store.EncodeCommand(&cmdpb.Command{Body: &cmdpb.Command_Document{Document: body}})
	assert.NilError(t, err)
	result, err := store.DecodeResult(s.Apply(index, entry))
	assert.NilError(t, err)
	return result.GetStatus()
}

func newDocument(version ident.Version, text string) store.Document {
	return store.Document{Version: version, Body: []byte(text)}
}

// A patch applied to another document than its base would produce a wrong one.
// An older or resent version must be acknowledged without a change.
func TestDocumentPatchNeedsCurrentBase(t *testing.T) {
	s := store.New(store.Config{})
	first, second := newDocument(2, `{"a":{"b":1}}`), newDocument(5, `{"a":{"b":2}}`)
	assert.Equal(t, putDocument(t, s, 1, store.Document{}, first), cmdpb.Status_STATUS_OK)
	assert.Equal(t, putDocument(t, s, 2, newDocument(1, `{"x":{}}`), second), cmdpb.Status_STATUS_CONFLICT, "the base is not the current document")
	assert.Equal(t, string(s.Document().Body), string(first.Body))
	assert.Equal(t, putDocument(t, s, 3, first, second), cmdpb.Status_STATUS_OK)
	assert.Equal(t, putDocument(t, s, 4, store.Document{}, newDocument(5, `{"other":1}`)), cmdpb.Status_STATUS_OK, "a resent version is acknowledged")
	assert.Equal(t, putDocument(t, s, 5, store.Document{}, newDocument(3, `{"older":1}`)), cmdpb.Status_STATUS_OK)
	assert.Equal(t, string(s.Document().Body), string(second.Body))
}

// A store restored from a snapshot must hold the same routing document.
func TestDocumentSurvivesSnapshot(t *testing.T) {
	s := store.New(store.Config{})
	held := newDocument(7, `{"a":{"b":{"c":3}}}`)
	assert.Equal(t, putDocument(t, s, 1, store.Document{}, held), cmdpb.Status_STATUS_OK)
	data, err := s.Snapshot()
	assert.NilError(t, err)
	restored := store.New(store.Config{})
	assert.NilError(t, restored.Restore(data))
	assert.Equal(t, restored.Document().Version, held.Version)
	assert.Equal(t, string(restored.Document().Body), string(held.Body))
}
