// Package plain is a stand-in for a plain service, for development and for
// tests of processes: it registers entries (bibs, or deposits of orders), which
// may not be repeated, and looks them up, which may. It counts how often each
// key ran, and fails in configured ways.
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

// Names of the services that the package can stand in for.
const (
	// Registration assigns bibs: POST /bibs, GET /bibs/{id}.
	Registration ident.ServiceName = "registration"
	// Orders records deposits: POST /deposits, GET /deposits/{id}.
	Orders ident.ServiceName = "orders"
)

// IdempotencyKeyHeader is the header that carries the key of a request that may not be
// repeated.
const IdempotencyKeyHeader = "Idempotency-Key"

// bodyLimit bounds the body of a request, in bytes.
const bodyLimit = 1 << 20

// Fault is a way in which one request goes wrong.
type Fault int

// Faults.
const (
	// FaultNone lets the request pass.
	FaultNone Fault = iota
	// FaultLostAnswer runs the request and breaks the connection.
	FaultLostAnswer
	// FaultLostRequest breaks the connection before the request runs.
	FaultLostRequest
	// FaultCrossed answers with the entry that ran before this one.
	FaultCrossed
	// FaultSlow waits for the configured time before the request runs.
	FaultSlow
)

// Clock is the time that the service runs on.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config configures a Service. The zero value is a registration service
// without faults.
type Config struct {
	// Kind is Registration or Orders.
	Kind ident.ServiceName
	// Delay is how long each request takes.
	Delay time.Duration
	// SlowTime is how long FaultSlow adds.
	SlowTime time.Duration
	// Fault picks the fault of each request, if set. It may be called from
	// several goroutines at once.
	Fault func(r *http.Request) Fault
	// Clock is the system's if nil.
	Clock Clock
}

// Entry answers the requests: one bib or one deposit.
type Entry struct {
	// Bib numbers the entry, from 1.
	Bib uint64
	// Key as it reached the service.
	Key string
	// Runs is how often the service ran the key, this one included.
	Runs int
	// Body of the request that made the entry.
	Body string
}

// Counters tell what the service did.
type Counters struct {
	// Started counts requests that reached the service.
	Started int
	// Ran counts entries made.
	Ran int
	// Keys counts keys that ran.
	Keys int
	// MostRuns is the highest count of runs of one key.
	MostRuns int
}

// Load answers GET /load.
type Load struct {
	// Running counts requests under way.
	Running int
}

// Service is a stand-in plain service. Serve it over HTTP.
type Service struct {
	cfg Config
	mux *http.ServeMux

	// mu guards what follows.
	mu      sync.Mutex
	running int
	started int
	entries []Entry
	runs    map[string]int
}

// New returns a service with no entries.
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
	s.mux.HandleFunc("POST "+path, s.faulty(s.serveRun))
	s.mux.HandleFunc("GET "+path+"/{id}", s.faulty(s.serveLookup))
	s.mux.HandleFunc("GET /load", s.serveLoad)
	return s
}

// ServeHTTP answers one request.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Runs returns how often the service ran key.
func (s *Service) Runs(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[key]
}

// Counters returns what the service did so far.
func (s *Service) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := Counters{Started: s.started, Ran: len(s.entries), Keys: len(s.runs)}
	for _, runs := range s.runs {
		c.MostRuns = max(c.MostRuns, runs)
	}
	return c
}

// exchange is one request and the fault that befalls it.
type exchange struct {
	w     http.ResponseWriter
	r     *http.Request
	fault Fault
}

// faulty wraps a handler in the counting, the delay and the faults.
func (s *Service) faulty(handle func(exchange)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.count(1)
		defer s.count(-1)
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
			// The service works on when its caller is gone, as plain ones do.
			_ = s.cfg.Clock.Sleep(context.WithoutCancel(r.Context()), delay)
		}
		handle(x)
	}
}

func (s *Service) count(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += change
	if change > 0 {
		s.started++
	}
}

func (s *Service) serveRun(x exchange) {
	body, err := readBody(x)
	if err != nil {
		x.answer(http.StatusBadRequest, Error{Message: err.Error()})
		return
	}
	entry, before := s.run(x.r.Header.Get(IdempotencyKeyHeader), body)
	switch x.fault {
	case FaultLostAnswer:
		panic(http.ErrAbortHandler)
	case FaultCrossed:
		entry = before
	}
	x.answer(http.StatusCreated, entry)
}

// run makes an entry and returns it and the one before it.
func (s *Service) run(key, body string) (entry, before Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if key != "" {
		s.runs[key]++
	}
	if len(s.entries) > 0 {
		before = s.entries[len(s.entries)-1]
	}
	entry = Entry{Bib: uint64(len(s.entries) + 1), Key: key, Runs: s.runs[key], Body: body}
	s.entries = append(s.entries, entry)
	return entry, before
}

func (s *Service) serveLookup(x exchange) {
	entry, found := s.find(x.r.PathValue("id"))
	if x.fault == FaultLostAnswer {
		panic(http.ErrAbortHandler)
	}
	if !found {
		x.answer(http.StatusNotFound, Error{Message: "no such entry"})
		return
	}
	x.answer(http.StatusOK, entry)
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

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	load := Load{Running: s.running}
	s.mu.Unlock()
	exchange{w: w}.answer(http.StatusOK, load)
}

// Error answers a request that failed.
type Error struct {
	Message string
}

func (x exchange) answer(status int, body any) {
	x.w.Header().Set("Content-Type", "application/json")
	x.w.WriteHeader(status)
	_ = json.NewEncoder(x.w).Encode(body)
}
