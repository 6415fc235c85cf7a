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
	// DefaultLinesPerSecond is more than a gate writes at the planned peak of 8
	// requests a second each, with room for the lines of its failures.
	DefaultLinesPerSecond = 100
	// burstSeconds is how many seconds of lines may come at once.
	burstSeconds = 4
	// reserved is the part of the burst that is kept for warnings and errors.
	reserved = 0.5
	// queuedLines bounds the lines that wait for a writer that blocks.
	queuedLines = 1024
)

var (
	droppedRoutine = metrics.NewCounter(`cactusline_log_lines_dropped_total{level="info"}`)
	droppedUrgent  = metrics.NewCounter(`cactusline_log_lines_dropped_total{level="warn"}`)
	droppedQueued  = metrics.NewCounter(`cactusline_log_lines_dropped_total{level="queued"}`)
)

// Bounded limits the lines of a logger: those of warnings and errors are
// dropped last. It tells how many were dropped with the next line that passes.
type Bounded struct {
	next  log.Logger
	clock Clock
	rate  float64

	mu      sync.Mutex
	tokens  float64
	filled  time.Time
	dropped int
}

// NewBounded returns a logger that passes at most rate lines a second on.
func NewBounded(next log.Logger, clock Clock, rate float64) *Bounded {
	return &Bounded{next: next, clock: clock, rate: rate, tokens: rate * burstSeconds, filled: clock.Now()}
}

// Log implements log.Logger.
func (b *Bounded) Log(keyvals ...any) error {
	pass, dropped := b.admit(urgent(keyvals))
	if !pass {
		return nil
	}
	if dropped > 0 {
		if err := level.Warn(b.next).Log(FieldEvent, "LinesDropped", "Lines", dropped); err != nil {
			return err
		}
	}
	return b.next.Log(keyvals...)
}

// admit reports whether a line passes, and how many did not before it.
func (b *Bounded) admit(isUrgent bool) (pass bool, dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.clock.Now()
	b.tokens = min(b.rate*burstSeconds, b.tokens+now.Sub(b.filled).Seconds()*b.rate)
	b.filled = now
	need := 1.0
	if !isUrgent {
		need += b.rate * burstSeconds * reserved
	}
	if b.tokens < need {
		b.dropped++
		if isUrgent {
			droppedUrgent.Inc()
		} else {
			droppedRoutine.Inc()
		}
		return false, 0
	}
	b.tokens--
	dropped, b.dropped = b.dropped, 0
	return true, dropped
}

// urgent reports whether a line is a warning or an error.
func urgent(keyvals []any) bool {
	for i := 0; i+1 < len(keyvals); i += 2 {
		if keyvals[i] == level.Key() {
			value := keyvals[i+1]
			return value == level.WarnValue() || value == level.ErrorValue()
		}
	}
	return false
}

// Queue hands lines to a writer that may block, without blocking itself.
type Queue struct {
	lines chan []byte
	quit  chan struct{}
	done  chan struct{}
}

// NewQueue starts to write to w.
func NewQueue(w io.Writer) *Queue {
	q := &Queue{lines: make(chan []byte, queuedLines), quit: make(chan struct{}), done: make(chan struct{})}
	go q.run(w)
	return q
}

func (q *Queue) run(w io.Writer) {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			_, _ = w.Write(line) // there is nowhere left to tell of it
		case <-q.quit:
			q.drain(w)
			return
		}
	}
}

// drain writes the lines that wait.
func (q *Queue) drain(w io.Writer) {
	for {
		select {
		case line := <-q.lines:
			_, _ = w.Write(line) // as above
		default:
			return
		}
	}
}

// Write implements io.Writer. It drops the line if too many wait, and may drop
// it after Close.
func (q *Queue) Write(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		droppedQueued.Inc()
	}
	return len(line), nil
}

// Close writes the lines that wait. It is called once.
func (q *Queue) Close() error {
	close(q.quit)
	<-q.done
	return nil
}
