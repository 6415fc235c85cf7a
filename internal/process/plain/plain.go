// Package plain simulates a plain HTTP service, for development and for tests
// of processes. Creating an entry is not repeatable, looking one up is. An
// entry is a bib (a start number) of the registration service, or a deposit of
// the orders service. The service counts the runs of each key and fails in
// configured ways.
package plain

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Names of the services that the package can simulate.
const (
	// Registration assigns bibs: POST /bibs, GET /bibs/{id}.
	Registration ident.ServiceName = "registration"
	// Orders records deposits: POST /deposits, GET /deposits/{id}.
	Orders ident.ServiceName = "orders"
)

// IdempotencyKeyHeader carries the key of a request that is not repeatable.
const IdempotencyKeyHeader = "Idempotency-Key"

// bodyLimit is the maximum size of a request body, in bytes.
const bodyLimit = 1 << 20

// Fault is a way in which one request fails.
type Fault int

// Faults of a request.
const (
	// FaultNone means that the request does not fail.
	FaultNone Fault = iota
	// FaultLostAnswer runs the request and then aborts the connection.
	FaultLostAnswer
	// FaultLostRequest aborts the connection before the request runs.
	FaultLostRequest
	// FaultWrongAnswer answers with the previous entry.
	FaultWrongAnswer
	// FaultSlow delays the request by SlowTime before it runs.
	FaultSlow
)

// Clock provides the time and a cancelable sleep.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config configures a Service. The zero value is a registration service
// without faults.
type Config struct {
	// Kind is Registration or Orders. The default is Registration.
	Kind ident.ServiceName
	// Delay is how long each request takes.
	Delay time.Duration
	// SlowTime is the additional delay of FaultSlow.
	SlowTime time.Duration
	// Fault selects the fault of each request, if set. It must be safe for
	// concurrent use.
	Fault func(r *http.Request) Fault
	// Clock defaults to the system clock.
	Clock Clock
}

// Entry is the response to a request: one bib or one deposit.
type Entry struct {
	// Bib is the number of the entry, from 1, for both services.
	Bib uint64
	// Key is the idempotency key that the service received.
	Key string
	// Runs is the number of runs of the key so far, including this one.
	Runs int
	// Body is the body of the request that created the entry.
	Body string
}

// Counters holds counts of the service's work.
type Counters struct {
	// Received counts the requests received, including those lost before they
	// ran.
	Received int
	// Created counts the entries created.
	Created int
	// Keys counts the distinct keys that ran.
	Keys int
	// MostRuns is the highest number of runs of any one key.
	MostRuns int
}

// Load is the response to GET /load.
type Load struct {
	// Running counts the requests in progress.
	Running int
}

// Service is a simulated plain service, to be served over HTTP.
type Service struct {
	cfg Config
	mux *http.ServeMux

	// mu guards the fields below.
	mu       sync.Mutex
	running  int
	received int
	entries  []Entry
	runs     map[string]int
}

// New returns a Service without entries.
func New(cfg Config) *Service {
	if cfg.Kind == "" {
		cfg.Kind = Registration
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	s := &Service{cfg: cfg, mux: http.NewServeMux(), runs: make(map[string]int)}
	path := "/bibs"
	if cfg.Kind == Orders {
		path = "/deposits"
	}
	s.mux.HandleFunc("POST "+path, s.withFaults(s.handleCreate))
	s.mux.HandleFunc("GET "+path+"/{id}", s.withFaults(s.handleLookup))
	s.mux.HandleFunc("GET /load", s.handleLoad)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Runs returns the number of runs of key.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// Counters returns the counts so far.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counters{Received: s.received, Created: len(s.entries), Keys: len(s.runs)}
	for _, runs := range s.runs {
		c.MostRuns = max(c.MostRuns, runs)
	}
	return c
}

// exchange is one request with its response writer and its fault.
type exchange struct {
	w     http.ResponseWriter
	r     *http.Request
	fault Fault
}

// withFaults wraps a handler to count the request and to apply the delay and
// the fault.
func (s *Service) withFaults(handler func(exchange)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.countRequest(1)
		defer s.countRequest(-1)
		x := exchange{w: w, r: r}
		delay := s.cfg.Delay
		if s.cfg.Fault != nil {
			x.fault = s.cfg.Fault(r)
		}
		if x.fault == FaultSlow {
			delay += s.cfg.SlowTime
		}
		if x.fault == FaultLostRequest {
			panic(http.ErrAbortHandler)
		}
		if delay > 0 {
			// A plain service continues the request after its caller has
			// disconnected.
			_ = s.cfg.Clock.Sleep(context.WithoutCancel(r.Context()), delay)
		}
		handler(x)
	}
}

func (s *Service) countRequest(delta int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += delta
	if delta > 0 {
		s.received++
	}
}

func (s *Service) handleCreate(x exchange) {
	body, err := readBody(x)
	if err != nil {
		x.writeJSON(http.StatusBadRequest, Error{Message: err.Error()})
		return
	}
	entry, previous := s.addEntry(x.r.Header.Get(IdempotencyKeyHeader), body)
	switch x.fault {
	case FaultLostAnswer:
		panic(http.ErrAbortHandler)
	case FaultWrongAnswer:
		entry = previous
	}
	x.writeJSON(http.StatusCreated, entry)
}

// addEntry creates an entry and returns it together with the previous one.
func (s *Service) addEntry(key, body string) (entry, previous Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key != "" {
		s.runs[key]++
	}
	if len(s.entries) > 0 {
		previous = s.entries[len(s.entries)-1]
	}
	entry = Entry{Bib: uint64(len(s.entries) + 1), Key: key, Runs: s.runs[key], Body: body}
	s.entries = append(s.entries, entry)
	return entry, previous
}

func (s *Service) handleLookup(x exchange) {
	entry, found := s.find(x.r.PathValue("id"))
	if x.fault == FaultLostAnswer {
		panic(http.ErrAbortHandler)
	}
	if !found {
		x.writeJSON(http.StatusNotFound, Error{Message: "no such entry"})
		return
	}
	x.writeJSON(http.StatusOK, entry)
}

func (s *Service) find(id string) (Entry, bool) {
	bib, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return Entry{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if bib == 0 || bib > uint64(len(s.entries)) {
		return Entry{}, false
	}
	return s.entries[bib-1], true
}

func (s *Service) handleLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := Load{Running: s.running}
	s.mu.Unlock()
	exchange{w: w}.writeJSON(http.StatusOK, load)
}

// Error is the response to a failed request.
type Error struct {
	Message string
}

func (x exchange) writeJSON(status int, body any) {
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(status)
	_ = json.NewEncoder(x.w).Encode(body)
}
