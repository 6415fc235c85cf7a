// Package logs writes log entries as JSON lines, with keys and secrets taken
// out. Use the loggers with github.com/go-kit/log/level.
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

// Names of the fields that entries carry.
const (
	FieldTime    = "Time"
	FieldLevel   = "Level"
	FieldProcess = "Process"
	FieldRequest = "Request"
	FieldTrace   = "Trace"
	FieldEvent   = "Event"
	FieldError   = "Error"
)

// Clock tells the time of an entry.
type Clock interface {
	Now() time.Time
}

// Config configures a logger. The zero value writes entries of level info and
// above to standard error.
type Config struct {
	// Writer receives the lines, one Write each.
	Writer io.Writer
	// Level is the lowest that is written: debug, info, warn or error.
	Level string
	// Process names the process in each entry; empty leaves it out.
	Process string
	// Clock is the system's if nil.
	Clock Clock
}

// LevelError says that a level is not known.
type LevelError struct {
	Level string
}

// Error names the level and those that are known.
func (e *LevelError) Error() string {
	return fmt.Sprintf("log level %q is not one of debug, info, warn, error", e.Level)
}

// New returns a logger. Its error is a *LevelError.
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

// ForRequest returns a logger whose entries carry the request's id and the
// trace id out of a W3C trace parent, which may be empty.
func ForRequest(logger log.Logger, request ident.RequestID, traceParent string) log.Logger {
	logger = log.With(logger, FieldRequest, string(request))
	if parts := strings.Split(traceParent, "-"); len(parts) >= 4 {
		logger = log.With(logger, FieldTrace, parts[1])
	}
	return logger
}
