package lab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

// Entry is one replica in the platform's list.
type Entry struct {
	ID         string `json:"id"`
	Service    string `json:"service"`
	Addr       string `json:"addr"`
	Zone       string `json:"zone"`
	Version    string `json:"version"`
	Slots      int    `json:"slots"`
	State      string `json:"state"`
	ColdLeftMs int    `json:"coldLeftMs"`
}

// Cloud is the platform's list of replicas.
type Cloud struct {
	Address string

	server *http.Server
	mu     sync.Mutex
	// entries are JSON, since another writer's may hold anything that can be framed.
	entries []json.RawMessage
}

// NewCloud starts a list without entries.
func NewCloud() (*Cloud, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen for the list: %w", err)
	}
	c := &Cloud{Address: listener.Addr().String()}
	c.server = &http.Server{Handler: http.HandlerFunc(c.serve), ReadHeaderTimeout: time.Second}
	go func() { _ = c.server.Serve(listener) }()
	return c, nil
}

// SetRaw replaces the list by entries in JSON.
func (c *Cloud) SetRaw(entries ...json.RawMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = entries
}

// Set replaces the list.
func (c *Cloud) Set(entries ...Entry) {
	raw := make([]json.RawMessage, 0, len(entries))
	for _, entry := range entries {
		raw = append(raw, Encode(entry))
	}
	c.SetRaw(raw...)
}

// Encode returns the JSON of a value.
func Encode(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func (c *Cloud) serve(w http.ResponseWriter, _ *http.Request) {
	c.mu.Lock()
	page := Encode(map[string]any{"instances": c.entries, "next": nil})
	c.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(page)
}

// Close stops the list.
func (c *Cloud) Close() { _ = c.server.Close() }

// Record is the record of a case.
type Record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

// NewRecord creates a record.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, fmt.Errorf("create record: %w", err)
	}
	return &Record{file: file, started: time.Now()}, nil
}

// Logf adds a line with the seconds since the start of the case.
func (r *Record) Logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// Close closes the record.
func (r *Record) Close() { _ = r.file.Close() }
