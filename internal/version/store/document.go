package store

import (
	"fmt"

	"cactusline.dev/cactusline/internal/process/audit"
	"cactusline.dev/cactusline/internal/version/cmdpb"
	"cactusline.dev/cactusline/internal/version/ident"
	"cactusline.dev/cactusline/internal/version/patch"
)

// Document is a version of the routing document, as the operator sent it. The
// zero value is the empty document.
type Document struct {
	Version ident.Version
	Body    []byte
}

// Document returns the current routing document. The caller must not modify
// it.
func (s *Store) Document() Document {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.document
}

// NewPutDocument returns the body of a command that replaces base with next.
func NewPutDocument(base, next Document) (*cmdpb.PutDocument, error) {
	data, err := patch.Diff(base.Body, next.Body)
	if err != nil {
		return nil, fmt.Errorf("document %d: %w", next.Version, err)
	}
	return &cmdpb.PutDocument{Version: uint64(next.Version), Base: uint64(base.Version), Patch: data}, nil
}

// putDocument replaces the routing document with one of a higher version. A
// version that is not higher is acknowledged without any change, so that a
// command may be resent. A patch whose base is not the current version is
// refused as a conflict.
func (s *Store) putDocument(c *cmdpb.Command, body *cmdpb.PutDocument) *cmdpb.Result {
	version := ident.Version(body.GetVersion())
	if version <= s.document.Version {
		return &cmdpb.Result{Status: cmdpb.Status_STATUS_OK, Detail: "a higher or equal version is held"}
	}
	base := s.document
	// Base 0 is the empty document: the patch holds the whole new one.
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
		return invalidResult(err.Error())
	}
	s.document = Document{Version: version, Body: next}
	s.notifyChanged()
	return s.appendAudit(&cmdpb.Result{Status: cmdpb.Status_STATUS_OK}, c, audit.Event{
		Kind: audit.KindApply, Request: c.GetChange(), Subject: fmt.Sprintf("Document@%d", version),
		Detail: fmt.Sprintf("%d bytes", len(next)),
	})
}

// toProto encodes the document as a patch of the empty document. It returns
// nil for the empty document.
func (d Document) toProto() (*cmdpb.PutDocument, error) {
	if d.Version == 0 {
		return nil, nil
	}
	return NewPutDocument(Document{}, d)
}

// documentFromProto decodes a document that toProto encoded.
func documentFromProto(saved *cmdpb.PutDocument) (Document, error) {
	if saved.GetVersion() == 0 {
		return Document{}, nil
	}
	body, err := patch.Apply(nil, saved.GetPatch())
	if err != nil {
		return Document{}, fmt.Errorf("document %d: %w", saved.GetVersion(), err)
	}
	return Document{Version: ident.Version(saved.GetVersion()), Body: body}, nil
}
