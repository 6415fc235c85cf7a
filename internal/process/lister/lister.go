// Package lister reads the platform's list of targets where this process is
// the one to do so, and puts it into the roster that all others follow.
package lister

import (
	"context"
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"cactusline.dev/cactusline/internal/conn/roster"
)

const (
	// DefaultPollInterval is between two reads. With the platform's own lag and the
	// way to the routers it stays below the time after which a leaving target
	// must get nothing new.
	DefaultPollInterval = 500 * time.Millisecond
	// idleInterval is between two looks whether this process is to read.
	idleInterval = 100 * time.Millisecond
)

// Catalog is the platform's list of targets. It bounds its own calls, and calls
// more before it goes on to a further page.
type Catalog interface {
	Targets(ctx context.Context, more func()) ([]roster.Target, error)
}

// Clock is what the package needs of a clock.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config makes a Lister. Interval has a default; all else is required.
type Config struct {
	Catalog Catalog
	Book    *roster.Publisher
	// IsReader reports whether this process is the one to read.
	IsReader     func() bool
	PollInterval time.Duration
	Clock        Clock
	Logger       log.Logger
}

// Lister reads the list.
type Lister struct {
	cfg  Config
	lost bool
}

var (
	reads  = metrics.NewCounter(`cactusline_catalog_reads_total{result="read"}`)
	failed = metrics.NewCounter(`cactusline_catalog_reads_total{result="failed"}`)
)

// New returns a lister; Run starts it.
func New(cfg Config) *Lister {
	if cfg.PollInterval == 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	return &Lister{cfg: cfg}
}

// Run reads until ctx ends.
func (l *Lister) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.cfg.IsReader() {
			_ = l.cfg.Clock.Sleep(ctx, idleInterval)
			continue
		}
		began := l.cfg.Clock.Now()
		err := l.read(ctx)
		if err != nil && !l.cfg.IsReader() {
			// Another process reads now; the platform is not lost.
			continue
		}
		l.note(err)
		_ = l.cfg.Clock.Sleep(ctx, l.cfg.PollInterval-l.cfg.Clock.Now().Sub(began))
	}
}

func (l *Lister) read(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	list, err := l.cfg.Catalog.Targets(ctx, func() {
		if !l.cfg.IsReader() {
			// The calls are left to the process that reads now.
			cancel()
		}
	})
	if err != nil {
		return fmt.Errorf("read list of targets: %w", err)
	}
	changed, gone := l.cfg.Book.Replace(list)
	for _, target := range changed {
		_ = level.Info(l.cfg.Logger).Log("msg", "target listed", "target", target.Name, "service", target.Service,
			"address", target.Address, "domain", target.Domain, "leaving", target.Leaving)
	}
	for _, target := range gone {
		_ = level.Info(l.cfg.Logger).Log("msg", "target gone", "target", target.Name, "service", target.Service)
	}
	return nil
}

// note logs when the platform is lost and when it is back.
func (l *Lister) note(err error) {
	if err == nil {
		reads.Inc()
	} else {
		failed.Inc()
	}
	if lost := err != nil; lost != l.lost {
		l.lost = lost
		_ = level.Warn(l.cfg.Logger).Log("msg", "platform's list", "lost", lost, "err", err)
	}
}
