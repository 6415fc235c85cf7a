// Package logs writes log entries as JSON lines, with keys and other secrets
// redacted. Use the loggers with github.com/go-kit/log/level.
package logs

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/process/clock"
	"cactusline.dev/cactusline/internal/version/ident"
)

// Names of the fields of log entries.
const (
	FieldTime    = "Time"
	FieldLevel   = "Level"
	FieldProcess = "Process"
	FieldRequest = "Request"
	FieldTrace   = "Trace"
	FieldEvent   = "Event"
	FieldError   = "Error"
	// FieldFingerprint identifies a request whose response was lost, across resends.
	FieldFingerprint = "Fingerprint"
)

// Clock provides the timestamps of entries.
type Clock interface {
	Now() time.Time
}

// Config configures a logger. The zero value writes entries of level info and
// above to standard error.
type Config struct {
	// Writer receives each line in a single Write.
	Writer io.Writer
	// Level is the lowest level that is written: debug, info, warn or error.
	Level string
	// Process is the process name in each entry; if empty, it is left out.
	Process string
	// Clock is the system clock if nil.
	Clock Clock
}

// LevelError reports an unknown log level.
type LevelError struct {
	Level string
}

// Error returns a message with the level and the known ones.
func (e *LevelError) Error() string {
	return fmt.Sprintf("log level %q is not one of debug, info, warn, error", e.Level)
}

// New returns a logger. It returns a *LevelError if the level is unknown.
func New(cfg Config) (log.Logger, error) {
	if cfg.Writer == nil {
		cfg.Writer = os.Stderr
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System{}
	}
	if cfg.Level == "" {
		cfg.Level = "info"
	}
	lowest, err := level.Parse(cfg.Level)
	if err != nil {
		return nil, &LevelError{Level: cfg.Level}
	}
	var logger log.Logger = redactor{next: log.NewJSONLogger(log.NewSyncWriter(cfg.Writer))}
	now := log.Valuer(func() any { return cfg.Clock.Now().UTC().Format(time.RFC3339Nano) })
	logger = log.With(logger, FieldTime, now)
	if cfg.Process != "" {
		logger = log.With(logger, FieldProcess, cfg.Process)
	}
	return level.NewFilter(logger, level.Allow(lowest)), nil
}

// ForRequest returns a logger that adds the request ID to each entry, and the
// trace ID of the W3C traceparent if it holds one.
func ForRequest(logger log.Logger, request ident.RequestID, traceParent string) log.Logger {
	logger = log.With(logger, FieldRequest, string(request))
	if parts := strings.Split(traceParent, "-"); len(parts) >= 4 {
		logger = log.With(logger, FieldTrace, parts[1])
	}
	return logger
}
