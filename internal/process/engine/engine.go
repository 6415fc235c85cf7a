// Package engine simulates a model engine, for development and for tests of
// processes. It batches continuously, caches prompt prefixes in bounded memory,
// schedules by priority, resumes and cancels streams, exports and imports its
// cache, publishes cache events with a delay and with gaps, and reports its
// load with a lag. It executes orders to load and unload models, load adapters
// and set its role. Its answers depend on the request only.
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
	DefaultMaxBatchSize              = 64
	DefaultCacheTokens  ident.Tokens = 1 << 20
	DefaultAnswerTokens ident.Tokens = 32
	DefaultRestartDelay              = time.Second
	maxAnswerTokens     ident.Tokens = 1 << 16
)

// Clock provides the time and a cancelable sleep.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config configures an Engine. The zero value is an engine without delays that
// serves DefaultModel.
type Config struct {
	// Models are the models served from the start. The default is DefaultModel.
	Models []ident.ModelName
	// MaxBatchSize limits the requests that run concurrently.
	MaxBatchSize int
	// StepTime is the duration of a step, in which each running request
	// generates one token. Zero means as fast as possible.
	StepTime time.Duration
	// PrefillTokens limits the prompt tokens processed in one step, over all
	// requests. Zero means no limit.
	PrefillTokens ident.Tokens
	// CacheTokens limits the cached prefixes.
	CacheTokens ident.Tokens
	// AnswerTokens is the length of an answer if the request sets no limit.
	AnswerTokens ident.Tokens
	// LoadReportInterval is the minimum time between updates of the load
	// report.
	LoadReportInterval time.Duration
	// EventDelay is the time from a cache change to the publication of its
	// event.
	EventDelay time.Duration
	// EventLossRate is the share of events that are lost, from 0 to 1. Lost
	// events leave gaps in the numbers.
	EventLossRate float64
	// CheckFencing makes the engine refuse orders whose fencing number is lower
	// than the highest seen.
	CheckFencing bool
	// OrderLatency is how long an order takes.
	OrderLatency time.Duration
	// CrashMarker makes the engine crash on a request whose text contains it.
	// If empty, no request does.
	CrashMarker string
	// RestartDelay is how long the engine stays down after a crash.
	RestartDelay time.Duration
	// OnCrash is called after each crash, if set.
	OnCrash func()
	// Rand decides which events are lost.
	Rand *rand.Rand
	// Clock defaults to the system clock.
	Clock Clock
}

func (c Config) withDefaults() Config {
	if len(c.Models) == 0 {
		c.Models = []ident.ModelName{DefaultModel}
	}
	if c.MaxBatchSize == 0 {
		c.MaxBatchSize = DefaultMaxBatchSize
	}
	if c.CacheTokens == 0 {
		c.CacheTokens = DefaultCacheTokens
	}
	if c.AnswerTokens == 0 {
		c.AnswerTokens = DefaultAnswerTokens
	}
	if c.RestartDelay == 0 {
		c.RestartDelay = DefaultRestartDelay
	}
	if c.Rand == nil {
		c.Rand = rand.New(rand.NewPCG(1, 1))
	}
	if c.Clock == nil {
		c.Clock = clock.System{}
	}
	return c
}

// Engine is a simulated model engine. It must be served over HTTP while Run
// runs.
type Engine struct {
	cfg    Config
	mux    *http.ServeMux
	wakeup chan struct{}

	// mu guards the fields below.
	mu         sync.Mutex
	waiting    queue
	running    []*sequence
	arrivals   uint64
	cache      *cache
	events     *eventLog
	lastReport Load
	deployed   deploymentState
	lifecycle  lifecycle
}

// New returns an Engine. It answers chat requests once Run is called.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:       cfg,
		wakeup:    make(chan struct{}, 1),
		events:    &eventLog{delay: cfg.EventDelay, loss: cfg.EventLossRate, rand: cfg.Rand},
		deployed:  newDeploymentState(cfg.Models),
		lifecycle: newLifecycle(),
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

// ServeHTTP serves one request, or aborts its connection while the engine is
// down.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.Down() {
		panic(http.ErrAbortHandler)
	}
	e.mux.ServeHTTP(w, r)
}

// Run executes the steps of the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if !e.step() {
			select {
			case <-ctx.Done():
			case <-e.wakeup:
			}
			continue
		}
		if e.cfg.StepTime > 0 {
			_ = e.cfg.Clock.Sleep(ctx, e.cfg.StepTime)
		}
	}
	return ctx.Err()
}
