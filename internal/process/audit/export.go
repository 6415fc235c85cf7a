package audit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

// Sink stores exported entries.
type Sink interface {
	// WriteAudit stores entries, which are sorted oldest first. It returns once
	// they are durable.
	WriteAudit(entries []Entry) error
}

// Exporter copies each entry of a chain to a sink once. Its methods are safe for
// concurrent use.
type Exporter struct {
	chain *Chain
	sink  Sink

	mu sync.Mutex
	// exported is the index of the last entry in the sink.
	exported uint64
}

// NewExporter returns an exporter that starts after the entry with index
// exported, the last one that the sink has.
func NewExporter(chain *Chain, sink Sink, exported uint64) *Exporter {
	return &Exporter{chain: chain, sink: sink, exported: exported}
}

// Export writes all new entries to the sink. If the chain has evicted some of
// them, it exports the rest and returns an *EvictedError.
func (e *Exporter) Export() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	entries, evicted := e.chain.After(e.exported)
	if len(entries) == 0 {
		return evicted
	}
	if err := e.sink.WriteAudit(entries); err != nil {
		return fmt.Errorf("export audit entries: %w", err)
	}
	e.exported = entries[len(entries)-1].Index
	return evicted
}

// Pending returns the number of entries that are not exported yet.
func (e *Exporter) Pending() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.chain.Head().Index - min(e.exported, e.chain.Head().Index)
}

// WriteJSONLines writes entries as JSON, one per line.
func WriteJSONLines(w io.Writer, entries []Entry) error {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for i := range entries {
		if err := encoder.Encode(&entries[i]); err != nil {
			return fmt.Errorf("encode audit entry %d: %w", entries[i].Index, err)
		}
	}
	if err := buffered.Flush(); err != nil {
		return fmt.Errorf("write audit entries: %w", err)
	}
	return nil
}
