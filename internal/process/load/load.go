// Package load generates multi-turn chat traffic for a router at a given rate and
// reports how the requests are answered.
package load

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"cactusline.dev/cactusline/internal/version/ident"
)

// Clock tells the time and sleeps.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config configures a load run. URL, Key, Model, Rate, ChatCount and Clock are
// required.
type Config struct {
	// URL is the base URL of the router, such as http://127.0.0.1:8080.
	URL string
	// Key is the customer's bearer key.
	Key   string
	Model ident.ModelName
	// Rate is the mean number of turns sent per second. They form a Poisson
	// process, independent of which turns are still unanswered.
	Rate float64
	// Duration is how long turns are sent.
	Duration time.Duration
	// ChatCount is the number of chats that the turns are spread over.
	ChatCount int
	// MaxTokens limits the length of each answer.
	MaxTokens ident.Tokens
	// FirstTokenObjective is the time within which the first token of an answer
	// must arrive for the turn to count as Served rather than Late.
	FirstTokenObjective time.Duration
	// TokenGapObjective is the longest time between tokens that 95% of the gaps
	// in an answer must meet for the turn to count as Served.
	TokenGapObjective time.Duration
	// Timeout limits the duration of each turn.
	Timeout time.Duration
	// Seed seeds the random send times and the choice of chats.
	Seed  uint64
	Clock Clock
	// Client is http.DefaultClient if nil.
	Client *http.Client
}

// Outcome classifies how a turn ended.
type Outcome string

// The outcomes of turns.
const (
	Served  Outcome = "served"  // complete and within the objectives
	Late    Outcome = "late"    // complete, but an objective was missed
	Refused Outcome = "refused" // not run: the router was overloaded or a limit was reached
	Failed  Outcome = "failed"  // all other cases
)

// Outcomes lists all outcomes in the order of a report.
var Outcomes = []Outcome{Served, Late, Refused, Failed}

// Range of the histograms in microseconds, and their number of significant
// decimal digits.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Report holds the number of turns by outcome and the latencies of the complete
// answers.
type Report struct {
	mu     sync.Mutex
	counts map[Outcome]int
	// causes counts refused and failed turns by cause.
	causes     map[string]int
	firstToken *hdrhistogram.Histogram
	tokenGaps  *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

func newReport() *Report {
	return &Report{
		counts:     make(map[Outcome]int),
		causes:     make(map[string]int),
		firstToken: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		tokenGaps:  hdrhistogram.New(minMicros, maxMicros, significantDigits),
		total:      hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

// Count returns the number of turns with an outcome.
func (r *Report) Count(outcome Outcome) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[outcome]
}

// Run sends turns until cfg.Duration has passed or ctx ends, and returns once every
// turn has been answered or has failed.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if cfg.Rate <= 0 || cfg.ChatCount <= 0 {
		return nil, errors.New("rate and number of chats must be positive")
	}
	if cfg.Client == nil {
		cfg.Client = http.DefaultClient
	}
	report := newReport()
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	turnCounts := make([]int, cfg.ChatCount)
	var pending sync.WaitGroup
	for sendAt, end := cfg.Clock.Now(), cfg.Clock.Now().Add(cfg.Duration); ; {
		sendAt = sendAt.Add(time.Duration(rng.ExpFloat64() / cfg.Rate * float64(time.Second)))
		if sendAt.After(end) || cfg.Clock.Sleep(ctx, sendAt.Sub(cfg.Clock.Now())) != nil {
			break
		}
		chatIndex := rng.IntN(cfg.ChatCount)
		turnCounts[chatIndex]++
		t := turn{cfg: &cfg, chat: chatIndex, number: turnCounts[chatIndex]}
		pending.Go(func() { report.add(t.run(ctx)) })
	}
	pending.Wait()
	return report, nil
}

func (r *Report) add(turnResult result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[turnResult.outcome]++
	if turnResult.cause != "" {
		r.causes[turnResult.cause]++
	}
	if turnResult.outcome != Served && turnResult.outcome != Late {
		return
	}
	// RecordValue fails only for values out of range, which clampedMicros replaces
	// by the nearest bound.
	_ = r.firstToken.RecordValue(clampedMicros(turnResult.firstToken))
	_ = r.total.RecordValue(clampedMicros(turnResult.total))
	for _, gap := range turnResult.tokenGaps {
		_ = r.tokenGaps.RecordValue(clampedMicros(gap))
	}
}

func clampedMicros(d time.Duration) int64 {
	return min(max(d.Microseconds(), minMicros), maxMicros)
}
