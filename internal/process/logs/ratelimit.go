package logs

import (
	"io"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

const (
	// DefaultLinesPerSecond exceeds what a gate logs at the planned peak of 8
	// requests per second for each gate, with room for lines about failures.
	DefaultLinesPerSecond = 100
	// burstSeconds is the size of a burst, in seconds at the configured rate.
	burstSeconds = 4
	// reservedFraction is the share of a burst reserved for warnings and errors.
	reservedFraction = 0.5
	// maxQueuedLines bounds the lines that wait for a blocked writer.
	maxQueuedLines = 1024
)

var (
	droppedInfo      = metrics.NewCounter(`cactusline_log_lines_dropped_total{level="info"}`)
	droppedWarn      = metrics.NewCounter(`cactusline_log_lines_dropped_total{level="warn"}`)
	droppedQueueFull = metrics.NewCounter(`cactusline_log_lines_dropped_total{level="queued"}`)
)

// RateLimited is a logger that drops lines above a rate, warnings and errors
// last. Before the next line that passes, it logs how many were dropped.
type RateLimited struct {
	next  log.Logger
	clock Clock
	rate  float64

	mu         sync.Mutex
	tokens     float64
	lastRefill time.Time
	dropped    int
}

// NewRateLimited returns a logger that passes at most rate lines per second on to
// next.
func NewRateLimited(next log.Logger, clock Clock, rate float64) *RateLimited {
	return &RateLimited{next: next, clock: clock, rate: rate, tokens: rate * burstSeconds, lastRefill: clock.Now()}
}

// Log implements log.Logger.
func (r *RateLimited) Log(keyvals ...any) error {
	pass, dropped := r.admit(isWarning(keyvals))
	if !pass {
		return nil
	}
	if dropped > 0 {
		if err := level.Warn(r.next).Log(FieldEvent, "LinesDropped", "Lines", dropped); err != nil {
			return err
		}
	}
	return r.next.Log(keyvals...)
}

// admit reports whether a line passes and how many lines were dropped since the
// last one that passed.
func (r *RateLimited) admit(warning bool) (pass bool, dropped int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.clock.Now()
	r.tokens = min(r.rate*burstSeconds, r.tokens+now.Sub(r.lastRefill).Seconds()*r.rate)
	r.lastRefill = now
	need := 1.0
	if !warning {
		need += r.rate * burstSeconds * reservedFraction
	}
	if r.tokens < need {
		r.dropped++
		if warning {
			droppedWarn.Inc()
		} else {
			droppedInfo.Inc()
		}
		return false, 0
	}
	r.tokens--
	dropped, r.dropped = r.dropped, 0
	return true, dropped
}

// isWarning reports whether a line has the level warn or error.
func isWarning(keyvals []any) bool {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == level.Key() {
			value := keyvals[i+1]
			return value == level.WarnValue() || value == level.ErrorValue()
		}
	}
	return false
}

// AsyncWriter writes lines to another writer in the background, so that callers
// are not blocked when that writer is.
type AsyncWriter struct {
	lines chan []byte
	quit  chan struct{}
	done  chan struct{}
}

// NewAsyncWriter returns an AsyncWriter that writes to w until it is closed.
func NewAsyncWriter(w io.Writer) *AsyncWriter {
	a := &AsyncWriter{lines: make(chan []byte, maxQueuedLines), quit: make(chan struct{}), done: make(chan struct{})}
	go a.run(w)
	return a
}

func (a *AsyncWriter) run(w io.Writer) {
	defer close(a.done)
	for {
		select {
		case line := <-a.lines:
			_, _ = w.Write(line) // there is nowhere to report the error
		case <-a.quit:
			a.drain(w)
			return
		}
	}
}

// drain writes the queued lines.
func (a *AsyncWriter) drain(w io.Writer) {
	for {
		select {
		case line := <-a.lines:
			_, _ = w.Write(line) // there is nowhere to report the error
		default:
			return
		}
	}
}

// Write implements io.Writer. It drops the line if the queue is full, and may drop
// it after Close.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	select {
	case a.lines <- append([]byte(nil), line...):
	default:
		droppedQueueFull.Inc()
	}
	return len(line), nil
}

// Close writes the queued lines and stops the background writer. It must be
// called at most once.
func (a *AsyncWriter) Close() error {
	close(a.quit)
	<-a.done
	return nil
}
