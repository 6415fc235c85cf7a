package trail

import (
	"bytes"
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/request/tries"
	"cactusline.dev/cactusline/internal/version/ident"
)

const (
	// DefaultBytesPerSecond is what a Sender may send a second.
	DefaultBytesPerSecond ident.Bytes = 512
	// saved bounds the budget that a quiet Sender saves up, in seconds.
	saved = 16

	sendInterval = time.Second
	sendTimeout  = 2 * time.Second
	queueLimit   = 64
)

// Clock is what the package needs of a clock.
type Clock interface {
	Sleep(ctx context.Context, d time.Duration) error
}

// Config makes a Sender.
type Config struct {
	// Router names this process.
	Router string
	Clock  Clock
	Logger log.Logger
	// Send takes decisions to control, as JSON lines.
	Send func(ctx context.Context, lines []byte) error
	// BytesPerSecond is what may be sent a second.
	BytesPerSecond ident.Bytes
}

// Sender logs each decision and sends those worth explaining to control,
// within its budget. What does not fit stays in the log alone. It is safe for
// use by several goroutines.
type Sender struct {
	cfg     Config
	queue   chan []byte
	dropped *metrics.Counter
	sent    *metrics.Counter
}

// NewSender returns a sender; Run starts it.
func NewSender(cfg Config) *Sender {
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultBytesPerSecond
	}
	return &Sender{
		cfg:     cfg,
		queue:   make(chan []byte, queueLimit),
		dropped: metrics.GetOrCreateCounter(metricDropped),
		sent:    metrics.GetOrCreateCounter(metricSent),
	}
}

// Report takes the record of a request that has ended. It never blocks.
func (s *Sender) Report(r *tries.Record) {
	decision := NewDecision(s.cfg.Router, r)
	decision.count()
	_ = level.Info(s.cfg.Logger).Log("msg", "request decided", "Decision", decision)
	if decision.Routine() {
		return
	}
	line, err := decision.encode()
	if err != nil || ident.Bytes(len(line)) > min(maxDecision, saved*s.cfg.BytesPerSecond) {
		s.dropped.Inc()
		return
	}
	select {
	case s.queue <- append(line, '\n'):
	default:
		s.dropped.Inc()
	}
}

// Run sends until ctx ends.
func (s *Sender) Run(ctx context.Context) {
	budget := saved * s.cfg.BytesPerSecond
	var held []byte
	for s.cfg.Clock.Sleep(ctx, sendInterval) == nil {
		budget = min(budget+s.cfg.BytesPerSecond, saved*s.cfg.BytesPerSecond)
		var batch [][]byte
		batch, held = s.batch(held, budget)
		lines := bytes.Join(batch, nil)
		if len(lines) == 0 {
			continue
		}
		budget -= ident.Bytes(len(lines))
		s.send(ctx, lines, len(batch))
	}
}

// batch takes what the budget allows off the queue; held is the line that did
// not fit the last time.
func (s *Sender) batch(held []byte, budget ident.Bytes) (batch [][]byte, left []byte) {
	for {
		if held == nil {
			select {
			case held = <-s.queue:
			default:
				return batch, nil
			}
		}
		if ident.Bytes(len(held)) > budget {
			return batch, held
		}
		budget -= ident.Bytes(len(held))
		batch = append(batch, held)
		held = nil
	}
}

// send tries once: what is lost is in the log.
func (s *Sender) send(ctx context.Context, lines []byte, count int) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := s.cfg.Send(ctx, lines); err != nil {
		s.dropped.Add(count)
		_ = level.Warn(s.cfg.Logger).Log("msg", "decisions lost", "count", count, "err", err)
		return
	}
	s.sent.Add(count)
}
