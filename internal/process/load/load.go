// Package load sends chats that return to a router at a given rate and counts
// how their turns are answered.
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

// Clock is what the package needs of a clock.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config makes a load. URL, Key, Model and Clock are required.
type Config struct {
	// URL is the callers' interface, such as http://127.0.0.1:8080.
	URL   string
	Key   string
	Model ident.ModelName
	// Rate is the turns a second, at random moments, whatever is still
	// unanswered.
	Rate     float64
	Duration time.Duration
	// ChatCount is how many chats the turns belong to.
	ChatCount int
	// MaxTokens bounds each answer.
	MaxTokens ident.Tokens
	// FirstTokenObjective bounds the time to the first token of an answer in aim, and Gap
	// that between tokens, for 95 in 100 of an answer's.
	FirstTokenObjective time.Duration
	TokenGapObjective   time.Duration
	Timeout             time.Duration
	// Seed draws the moments and the chats.
	Seed   uint64
	Clock  Clock
	Client *http.Client
}

// Outcome is how a turn ended.
type Outcome string

// The outcomes of turns.
const (
	Served  Outcome = "served"  // whole and in aim
	Late    Outcome = "late"    // whole, and out of aim
	Refused Outcome = "refused" // not run, with a time to come back or for a limit
	Failed  Outcome = "failed"  // anything else
)

// Outcomes are all of them in the order of a report.
var Outcomes = []Outcome{Served, Late, Refused, Failed}

// The bounds of the histograms, in microseconds and digits.
const (
	leastMicros = 1
	mostMicros  = int64(10 * time.Minute / time.Microsecond)
	digits      = 3
)

// Report counts the turns that were asked for.
type Report struct {
	mu     sync.Mutex
	counts map[Outcome]int
	// causes counts what refused and failed turns were told.
	causes map[string]int
	first  *hdrhistogram.Histogram
	gaps   *hdrhistogram.Histogram
	total  *hdrhistogram.Histogram
}

func newReport() *Report {
	return &Report{
		counts: make(map[Outcome]int),
		causes: make(map[string]int),
		first:  hdrhistogram.New(leastMicros, mostMicros, digits),
		gaps:   hdrhistogram.New(leastMicros, mostMicros, digits),
		total:  hdrhistogram.New(leastMicros, mostMicros, digits),
	}
}

// Count returns the number of turns with an outcome.
func (r *Report) Count(outcome Outcome) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counts[outcome]
}

// Run sends turns until the length is over or ctx ends, and returns once all are
// answered.
func Run(ctx context.Context, cfg Config) (*Report, error) {
	if cfg.Rate <= 0 || cfg.ChatCount <= 0 {
		return nil, errors.New("rate and chats must be above 0")
	}
	if cfg.Client == nil {
		cfg.Client = http.DefaultClient
	}
	report := newReport()
	rng := rand.New(rand.NewPCG(cfg.Seed, 0))
	turns := make([]int, cfg.ChatCount)
	var open sync.WaitGroup
	for at, end := cfg.Clock.Now(), cfg.Clock.Now().Add(cfg.Duration); ; {
		at = at.Add(time.Duration(rng.ExpFloat64() / cfg.Rate * float64(time.Second)))
		if at.After(end) || cfg.Clock.Sleep(ctx, at.Sub(cfg.Clock.Now())) != nil {
			break
		}
		chat := rng.IntN(cfg.ChatCount)
		turns[chat]++
		t := turn{cfg: &cfg, chat: chat, number: turns[chat]}
		open.Go(func() { report.add(t.run(ctx)) })
	}
	open.Wait()
	return report, nil
}

func (r *Report) add(a answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[a.outcome]++
	if a.cause != "" {
		r.causes[a.cause]++
	}
	if a.outcome != Served && a.outcome != Late {
		return
	}
	// Times beyond the bound are counted as the bound.
	_ = r.first.RecordValue(micros(a.first))
	_ = r.total.RecordValue(micros(a.total))
	for _, gap := range a.gaps {
		_ = r.gaps.RecordValue(micros(gap))
	}
}

func micros(d time.Duration) int64 {
	return min(max(d.Microseconds(), leastMicros), mostMicros)
}
