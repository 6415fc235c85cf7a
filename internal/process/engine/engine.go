// Package engine is a stand-in for a model engine, for development and for
// tests of processes. It batches continuously, caches prompt prefixes in
// bounded memory, serves by priority, resumes and cancels streams, exports and
// imports its cache, publishes cache events late and with gaps, reports load
// with a lag and takes orders. Its answers follow from the request alone.
package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/request/chat"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Defaults of Config.
const (
	DefaultModel                     = ident.ModelName("stand-in")
	DefaultBatch                     = 64
	DefaultCacheTokens  ident.Tokens = 1 << 20
	DefaultAnswerTokens ident.Tokens = 32
	DefaultCrashTime                 = time.Second
	maxAnswerTokens     ident.Tokens = 1 << 16
)

// Clock is the time that the engine runs on.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config configures an Engine. The zero value is a fast engine that serves
// DefaultModel.
type Config struct {
	// Models are served from the start; DefaultModel if there are none.
	Models []ident.ModelName
	// MaxBatchSize bounds the requests that run at once.
	MaxBatchSize int
	// StepTime is how long one step takes, in which each running request
	// gains a token. Zero is as fast as the machine can.
	StepTime time.Duration
	// PrefillTokens bounds the prompt tokens that one step reads, over all
	// requests. Zero sets no bound.
	PrefillTokens ident.Tokens
	// CacheTokens bounds the cached prefixes.
	CacheTokens ident.Tokens
	// AnswerTokens is the length of an answer whose request sets no bound.
	AnswerTokens ident.Tokens
	// LoadReportInterval is the least time between two refreshes of the load report.
	LoadReportInterval time.Duration
	// EventDelay is the time from a change of the cache to its event.
	EventDelay time.Duration
	// EventLossRate is the share of events that are lost, from 0 to 1. Their
	// numbers are missing.
	EventLossRate float64
	// CheckFencing refuses orders that carry an older fencing number.
	CheckFencing bool
	// OrderLatency is how long an order takes.
	OrderLatency time.Duration
	// CrashMarker crashes the engine if the text of a request holds it.
	// Empty turns it off.
	CrashMarker string
	// RestartDelay is how long a crashed engine stays down.
	RestartDelay time.Duration
	// OnCrash is called after each crash, if set.
	OnCrash func()
	// Rand draws the events that are lost.
	Rand *rand.Rand
	// Clock is the system's if nil.
	Clock Clock
}

func (c Config) withDefaults() Config {
	if len(c.Models) == 0 {
		c.Models = []ident.ModelName{DefaultModel}
	}
	if c.MaxBatchSize == 0 {
		c.MaxBatchSize = DefaultBatch
	}
	if c.CacheTokens == 0 {
		c.CacheTokens = DefaultCacheTokens
	}
	if c.AnswerTokens == 0 {
		c.AnswerTokens = DefaultAnswerTokens
	}
	if c.RestartDelay == 0 {
		c.RestartDelay = DefaultCrashTime
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 1))
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	return c
}

// Engine is a stand-in model engine. Serve it over HTTP and call Run.
type Engine struct {
	cfg  Config
	mux  *http.ServeMux
	wake chan struct{}

	// mu guards what follows.
	mu       sync.Mutex
	waiting  queue
	running  []*sequence
	arrivals uint64
	cache    *cache
	events   *eventLog
	report   Load
	deploy   deployment
	life     lifetime
}

// New returns an engine. It answers chats once Run is called.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:    cfg,
		wake:   make(chan struct{}, 1),
		events: &eventLog{delay: cfg.EventDelay, loss: cfg.EventLossRate, rand: cfg.Rand},
		deploy: newDeployment(cfg.Models),
		life:   newLifetime(),
	}
	e.cache = newCache(cfg.CacheTokens, func(kind EventKind, b chat.BlockHash) {
		e.events.add(cfg.Clock.Now(), kind, b)
	})
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	e.mux.HandleFunc("GET /v1/models", e.serveModels)
	e.mux.HandleFunc("GET /load", e.serveLoad)
	e.mux.HandleFunc("GET /cache/events", e.serveEvents)
	e.mux.HandleFunc("POST /cache/export", e.serveExport)
	e.mux.HandleFunc("POST /cache/import", e.serveImport)
	e.mux.HandleFunc("POST /orders", e.serveOrder)
	return e
}

// ServeHTTP answers one request, or breaks its connection while the engine is
// down.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.Down() {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Run steps the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !e.step() {
			select {
			case <-ctx.Done():
			case <-e.wake:
			}
			continue
		}
		if e.cfg.StepTime > 0 {
			_ = e.cfg.Clock.Sleep(ctx, e.cfg.StepTime)
		}
	}
	return ctx.Err()
}
