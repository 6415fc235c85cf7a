package engine

import (
	"encoding/json"
	"net/http"

	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

// ExportRequest is the request body of POST /cache/export.
type ExportRequest struct {
	// Blocks are the blocks to export. If empty, the most recently used ones
	// are exported.
	Blocks []chat.BlockHash `json:",omitempty"`
	// Tokens limits the export if Blocks is empty.
	Tokens ident.Tokens `json:",omitempty"`
}

// Export is the response to POST /cache/export and the request body of POST
// /cache/import.
type Export struct {
	// Blocks are the exported blocks. They are in the order of the request if
	// it named blocks, otherwise most recently used first.
	Blocks []chat.BlockHash
}

// ImportResult is the response to POST /cache/import.
type ImportResult struct {
	// Tokens is the number of cached tokens after the import.
	Tokens ident.Tokens
}

func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var req ExportRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&req); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	var export Export
	if len(req.Blocks) > 0 {
		export.Blocks = e.cache.cachedOf(req.Blocks)
	} else {
		export.Blocks = e.cache.mostRecent(int(req.Tokens / chat.BlockTokens))
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, export)
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var export Export
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, bodyLimit)).Decode(&export); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	e.mu.Lock()
	e.cache.insert(export.Blocks)
	cachedTokens := e.cache.tokens()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, ImportResult{Tokens: cachedTokens})
}
