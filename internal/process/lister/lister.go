// Package lister polls the platform's list of targets and publishes it in the
// roster that the other processes follow. One process at a time, the reader,
// polls; Config.IsReader tells which.
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
	// DefaultPollInterval is the time between the starts of two reads. This
	// interval, the platform's own delay and the time to reach the routers
	// together must be shorter than the time after which a leaving target must
	// get no new requests.
	DefaultPollInterval = 500 * time.Millisecond
	// idleInterval is the time between two checks whether this process has
	// become the reader.
	idleInterval = 100 * time.Millisecond
)

// Catalog returns the platform's list of targets. It limits the rate and the
// duration of its own calls, and calls beforeNextPage before it requests each
// further page.
type Catalog interface {
	Targets(ctx context.Context, beforeNextPage func()) ([]roster.Target, error)
}

// Clock is the time source of a Lister.
type Clock interface {
	Now() time.Time
	Sleep(ctx context.Context, d time.Duration) error
}

// Config configures a Lister. PollInterval has a default and Admit may be nil; all
// other fields are required.
type Config struct {
	Catalog   Catalog
	Publisher *roster.Publisher
	// Admit returns the targets of a list that may be published; nil for all.
	Admit func(ctx context.Context, list []roster.Target) []roster.Target
	// IsReader reports whether this process currently reads the list.
	IsReader     func() bool
	PollInterval time.Duration
	Clock        Clock
	Logger       log.Logger
}

// Lister polls the list of targets.
type Lister struct {
	cfg     Config
	failing bool // the last read failed
}

var (
	readsSucceeded = metrics.NewCounter(`cactusline_catalog_reads_total{result="read"}`)
	readsFailed    = metrics.NewCounter(`cactusline_catalog_reads_total{result="failed"}`)
)

// New returns a Lister; Run starts it.
func New(cfg Config) *Lister {
	if cfg.PollInterval == 0 {
		cfg.PollInterval = DefaultPollInterval
	}
	return &Lister{cfg: cfg}
}

// Run polls the list until ctx ends.
func (l *Lister) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if !l.cfg.IsReader() {
			_ = l.cfg.Clock.Sleep(ctx, idleInterval)
			continue
		}
		start := l.cfg.Clock.Now()
		err := l.poll(ctx)
		if err != nil && !l.cfg.IsReader() {
			// Another process has become the reader and the read was canceled,
			// so the error does not mean that the platform failed.
			continue
		}
		l.recordResult(err)
		_ = l.cfg.Clock.Sleep(ctx, l.cfg.PollInterval-l.cfg.Clock.Now().Sub(start))
	}
}

// poll reads the list, publishes it and logs what changed.
func (l *Lister) poll(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	list, err := l.cfg.Catalog.Targets(ctx, func() {
		if !l.cfg.IsReader() {
			// All processes share the platform's call limit: leave the
			// remaining calls to the new reader.
			cancel()
		}
	})
	if err != nil {
		return fmt.Errorf("read list of targets: %w", err)
	}
	if l.cfg.Admit != nil {
		list = l.cfg.Admit(ctx, list)
	}
	now := l.cfg.Clock.Now()
	changed, removed := l.cfg.Publisher.Replace(now, list)
	for _, target := range changed {
		_ = level.Info(l.cfg.Logger).Log("msg", "target listed", "target", target.Name, "service", target.Service,
			"address", target.Address, "domain", target.Domain, "leaving", target.Leaving, "cold", max(0, target.ColdUntil.Sub(now)))
	}
	for _, target := range removed {
		_ = level.Info(l.cfg.Logger).Log("msg", "target gone", "target", target.Name, "service", target.Service)
	}
	return nil
}

// recordResult counts a read, and logs when reads begin to fail and when they
// succeed again.
func (l *Lister) recordResult(err error) {
	if err == nil {
		readsSucceeded.Inc()
	} else {
		readsFailed.Inc()
	}
	if failing := err != nil; failing != l.failing {
		l.failing = failing
		_ = level.Warn(l.cfg.Logger).Log("msg", "availability of the platform's list of targets changed", "lost", failing, "err", err)
	}
}
