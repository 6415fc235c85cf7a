package store

import (
	"fmt"

	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/patch"
)

// Document is the routing document that is held, as the operator sent it. The
// zero value is the empty document.
type Document struct {
	Version ident.Version
	Body    []byte
}

// Document returns the routing document. The caller must not change it.
func (s *Store) Document() Document {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.document
}

// DocumentPatch returns the command body that puts next in the place of base.
func DocumentPatch(base, next Document) (*cmdpb.PutDocument, error) {
	data, err := patch.Diff(base.Body, next.Body)
	if err != nil {
		return nil, fmt.Errorf("document %d: %w", next.Version, err)
	}
	return &cmdpb.PutDocument{Version: uint64(next.Version), Base: uint64(base.Version), Patch: data}, nil
}

// putDocument takes a document of a higher version. One whose version is not
// higher changes nothing, so that a change may be sent again. A patch of
// another base than the one held is refused as a conflict.
func (s *Store) putDocument(c *cmdpb.Command, body *cmdpb.PutDocument) *cmdpb.Result {
	version := ident.Version(body.GetVersion())
	if version <= s.document.Version {
		return &cmdpb.Result{Status: cmdpb.Status_STATUS_OK, Detail: "a higher or equal version is held"}
	}
	base := s.document
	if body.GetBase() == 0 {
		base = Document{}
	}
	if body.GetBase() != uint64(base.Version) {
		return &cmdpb.Result{
			Status: cmdpb.Status_STATUS_CONFLICT,
			Detail: fmt.Sprintf("patch is of version %d, held is %d", body.GetBase(), s.document.Version),
		}
	}
	next, err := patch.Apply(base.Body, body.GetPatch())
	if err != nil {
		return invalid(err.Error())
	}
	s.document = Document{Version: version, Body: next}
	s.notify()
	return s.record(&cmdpb.Result{Status: cmdpb.Status_STATUS_OK}, c, audit.Event{
		Kind: audit.KindApply, Request: c.GetChange(), Subject: fmt.Sprintf("Document@%d", version),
		Detail: fmt.Sprintf("%d bytes", len(next)),
	})
}

// encode returns the document as a patch of the empty one.
func (d Document) encode() (*cmdpb.PutDocument, error) {
	if d.Version == 0 {
		return nil, nil
	}
	return DocumentPatch(Document{}, d)
}

func decodeDocument(saved *cmdpb.PutDocument) (Document, error) {
	if saved.GetVersion() == 0 {
		return Document{}, nil
	}
	body, err := patch.Apply(nil, saved.GetPatch())
	if err != nil {
		return Document{}, fmt.Errorf("document %d: %w", saved.GetVersion(), err)
	}
	return Document{Version: ident.Version(saved.GetVersion()), Body: body}, nil
}
