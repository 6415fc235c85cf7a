package audit

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
)

// Sink takes exported entries, oldest first. It returns only once they are
// kept.
type Sink interface {
	WriteAudit(entries []Entry) error
}

// Exporter moves entries from a chain to a sink, each once. Its methods may
// be called at the same time.
type Exporter struct {
	chain *Chain
	sink  Sink

	mu   sync.Mutex
	done uint64
}

// NewExporter returns an exporter that goes on above the index done, the last
// that the sink has.
func NewExporter(chain *Chain, sink Sink, done uint64) *Exporter {
	return &Exporter{chain: chain, sink: sink, done: done}
}

// Export hands all new entries to the sink. If some were no longer kept, it
// exports the rest and returns a *EvictedError.
func (x *Exporter) Export() error {
	x.mu.Lock()
	defer x.mu.Unlock()
	entries, gap := x.chain.After(x.done)
	if len(entries) == 0 {
		return gap
	}
	if err := x.sink.WriteAudit(entries); err != nil {
		return fmt.Errorf("export audit entries: %w", err)
	}
	x.done = entries[len(entries)-1].Index
	return gap
}

// Pending returns the number of entries not yet exported.
func (x *Exporter) Pending() uint64 {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.chain.Head().Index - min(x.done, x.chain.Head().Index)
}

// WriteJSONLines writes entries as JSON lines.
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
