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
	// DefaultBytesPerSecond is the default send budget of a Sender.
	DefaultBytesPerSecond ident.Bytes = 512
	// maxSavedSeconds is how many seconds of unused budget a Sender can save.
	maxSavedSeconds = 16

	sendInterval = time.Second
	sendTimeout  = 2 * time.Second
	queueLimit   = 64 // decisions
)

// Clock is the clock by which a Sender waits between batches.
type Clock interface {
	Sleep(ctx context.Context, d time.Duration) error
}

// Config configures a Sender.
type Config struct {
	// Router is the name of this process.
	Router string
	Clock  Clock
	Logger log.Logger
	// Send sends decisions to the control process, as JSON lines.
	Send func(ctx context.Context, lines []byte) error
	// BytesPerSecond is the send budget; 0 means DefaultBytesPerSecond.
	BytesPerSecond ident.Bytes
}

// Sender logs each decision and sends those that are not routine to the control
// process, within a budget of bytes per second. Decisions over the budget are
// only logged. A Sender is safe for concurrent use.
type Sender struct {
	cfg     Config
	queue   chan []byte
	dropped *metrics.Counter
	sent    *metrics.Counter
}

// NewSender returns a sender. Call Run to send decisions.
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

// Report logs the decision of a request that has ended and queues it to be
// sent. It never blocks.
func (s *Sender) Report(r *tries.Record) {
	decision := NewDecision(s.cfg.Router, r)
	decision.count()
	_ = level.Info(s.cfg.Logger).Log("msg", "request decided", "Decision", decision)
	if decision.Routine() {
		return
	}
	line, err := decision.encode()
	// A line over the largest possible budget would block the queue forever.
	if err != nil || ident.Bytes(len(line)) > min(maxDecisionBytes, maxSavedSeconds*s.cfg.BytesPerSecond) {
		s.dropped.Inc()
		return
	}
	select {
	case s.queue <- append(line, '\n'):
	default:
		s.dropped.Inc()
	}
}

// Run sends queued decisions until ctx is done.
func (s *Sender) Run(ctx context.Context) {
	budget := maxSavedSeconds * s.cfg.BytesPerSecond
	var pending []byte
	for s.cfg.Clock.Sleep(ctx, sendInterval) == nil {
		budget = min(budget+s.cfg.BytesPerSecond, maxSavedSeconds*s.cfg.BytesPerSecond)
		var batch [][]byte
		batch, pending = s.batch(pending, budget)
		lines := bytes.Join(batch, nil)
		if len(lines) == 0 {
			continue
		}
		budget -= ident.Bytes(len(lines))
		s.send(ctx, lines, len(batch))
	}
}

// batch takes lines off the queue up to the budget. The line pending, which did
// not fit into the previous batch, comes first. It returns the line that does
// not fit this time.
func (s *Sender) batch(pending []byte, budget ident.Bytes) (batch [][]byte, next []byte) {
	for {
		if pending == nil {
			select {
			case pending = <-s.queue:
			default:
				return batch, nil
			}
		}
		if ident.Bytes(len(pending)) > budget {
			return batch, pending
		}
		budget -= ident.Bytes(len(pending))
		batch = append(batch, pending)
		pending = nil
	}
}

// send does not retry: decisions that fail to be sent are still in the log.
func (s *Sender) send(ctx context.Context, lines []byte, count int) {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if err := s.cfg.Send(ctx, lines); err != nil {
		s.dropped.Add(count)
		_ = level.Warn(s.cfg.Logger).Log("msg", "decisions could not be sent", "count", count, "err", err)
		return
	}
	s.sent.Add(count)
}
