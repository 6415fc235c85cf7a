package engine

import (
	"encoding/json"
	"net/http"

	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

// ExportRequest is the body of POST /cache/export.
type ExportRequest struct {
	// Blocks to export; none asks for the most recently used ones.
	Blocks []chat.BlockHash `json:",omitempty"`
	// Tokens bounds the export where Blocks is empty.
	Tokens ident.Tokens `json:",omitempty"`
}

// Export answers POST /cache/export and is the body of POST /cache/import.
type Export struct {
	// Blocks that were found, each before those that follow on it where the
	// request named them so.
	Blocks []chat.BlockHash
}

// ImportResult answers POST /cache/import.
type ImportResult struct {
	// Tokens held in the cache after the import.
	Tokens ident.Tokens
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var req ExportRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&req); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	var found Export
	if len(req.Blocks) > 0 {
		found.Blocks = e.cache.present(req.Blocks)
	} else {
		found.Blocks = e.cache.hottest(int(req.Tokens / chat.BlockTokens))
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, found)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var export Export
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&export); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	e.cache.insert(export.Blocks)
	held := e.cache.tokens()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, ImportResult{Tokens: held})
}
